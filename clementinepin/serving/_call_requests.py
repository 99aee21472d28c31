"""Requests for slots on behalf of callers: what the dispatcher is told about a call."""

from __future__ import annotations

from collections.abc import Callable, Container
from typing import TypedDict

from clementinepin.serving._call import Call, make_fingerprint
from clementinepin.serving._slot_requests import SlotRequest
from clementinepin.serving.models import RouteKind
from clementinepin.systems import estimates, service_choice


class _StreamFields(TypedDict, total=False):
    """The fields of a ``SlotRequest`` that describe a resumable stream."""

    software_version: str
    stream_id: str
    stream_until: float
    is_resumption: bool
    resumed_at: float


def make_slot_request(call: Call, service: str, mean_run_s: float | None) -> SlotRequest:
    """Return the request for a slot at a service for the next attempt of a call.

    ``mean_run_s`` is how long recent requests of the route took, None if there were none. It counts
    only for a call that states no number of tokens.
    """
    facts, route = call.facts, call.route
    run_s = estimates.estimate_run(facts.output_tokens_max, facts.length_hint)
    if mean_run_s is not None and not facts.output_tokens_max and not facts.length_hint:
        run_s = mean_run_s
    start_by = call.started_at + max(0.0, route.objective_s - estimates.FIRST_EVENT_S)
    useful_until = call.deadline
    if route.kind is RouteKind.STREAM and not call.response_started:
        patience_s = estimates.estimate_patience(route.objective_s, route.gap_objective_s)
        useful_until = min(call.deadline, call.started_at + patience_s)
    return SlotRequest(
        service=service,
        is_batch=False,
        on_time_by=start_by,
        deadline=useful_until - estimates.FIRST_EVENT_LATE_S,
        run_s=run_s,
        prefix_ids=facts.prefix_ids,
        excluded=frozenset(call.excluded),
        returned=call.returned or call.response_started,
        priority=route.priority,
        fingerprint=make_fingerprint(call.request),
        timeout_at=call.deadline,
        **_describe_stream(call),
    )


def _describe_stream(call: Call) -> _StreamFields:
    """Return the fields of a slot request by which a stream keeps its software version."""
    facts, route = call.facts, call.route
    if not route.resumable:
        return {}
    is_resumption = facts.last_event_id > 0
    time_left_s = route.timeout_s if facts.time_left_s is None else facts.time_left_s
    return {
        "software_version": call.software_version,
        "stream_id": facts.resumes if is_resumption else facts.request_id,
        "stream_until": call.started_at + time_left_s,
        "is_resumption": is_resumption,
        "resumed_at": call.started_at,
    }


def choose_call_service(call: Call, list_usable: Callable[[], Container[str]]) -> str:
    """Return the service for the next attempt of a call.

    ``list_usable`` returns the services that have targets.

    A stream goes on at the service at which it began, also if its caller resumes it.
    """
    if call.response_started:
        return call.service
    shares, facts = call.route.shares, call.facts
    if len(shares) == 1:
        return shares[0].service
    key = facts.resumes if facts.last_event_id else facts.request_id
    return service_choice.choose_service(
        shares, key or make_fingerprint(call.request), list_usable()
    )
