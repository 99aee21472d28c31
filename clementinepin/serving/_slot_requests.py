"""Requests for slots, and their conversion to messages and to the dispatcher's own requests.

Times travel as durations, because the clocks of two instances differ.
"""

from __future__ import annotations

from typing import NamedTuple

from clementinepin.serving import _messages as messages
from clementinepin.tables.crashes import BrokenRun
from clementinepin.tables.dispatch import PendingRequest, make_traits


class SlotRequest(NamedTuple):
    """The requirements of one request for a slot; times are monotonic seconds of this instance.

    ``on_time_by`` is the latest start that meets the objective, ``deadline`` the latest useful
    start, and ``run_s`` the expected time in the slot. The caller gives up at ``timeout_at``, after
    all retries; 0.0 means at the deadline. ``is_firm`` marks a batch item that is not
    preemptible. ``returned`` marks a caller that was rejected before. The last five fields are
    those of ``PendingRequest``.
    """

    service: str
    is_batch: bool
    on_time_by: float
    deadline: float
    run_s: float
    prefix_ids: tuple[str, ...] = ()
    excluded: frozenset[str] = frozenset()
    returned: bool = False
    is_firm: bool = False
    priority: int = 0
    fingerprint: str = ""
    timeout_at: float = 0.0
    software_version: str = ""
    stream_id: str = ""
    stream_until: float = 0.0
    is_resumption: bool = False
    resumed_at: float = float("inf")

    @property
    def traits(self) -> frozenset[str]:
        """Return what the request may share with others."""
        return make_traits(self.prefix_ids, self.fingerprint)

    @property
    def parts(self) -> frozenset[str]:
        """Return the parts of its prompt that the request may share with others."""
        return make_traits(self.prefix_ids, "")


class Slot(NamedTuple):
    """A granted slot. ``alone`` marks a local decision, made without the dispatcher.

    It is granted for the target at ``software_version``; empty is any, from an older dispatcher.
    """

    number: int
    target_id: str
    alone: bool
    software_version: str = ""


def make_request_message(
    data_centre: str, number: int, request: SlotRequest, warm: list[str], now: float
) -> messages.RequestSlot:
    """Return the message that asks a dispatcher for a slot."""
    return messages.RequestSlot(
        number=number,
        service=request.service,
        is_batch=request.is_batch,
        on_time_in_s=request.on_time_by - now,
        deadline_in_s=request.deadline - now,
        run_s=request.run_s,
        prefix_ids=list(request.prefix_ids),
        data_centre=data_centre,
        excluded=list(request.excluded),
        returned=request.returned,
        is_firm=request.is_firm,
        warm=warm,
        priority=request.priority,
        fingerprint=request.fingerprint,
        timeout_in_s=max(0.0, request.timeout_at - now),
        software_version=request.software_version,
        stream_id=request.stream_id,
        stream_ttl_s=max(0.0, request.stream_until - now),
        is_resumption=request.is_resumption,
    )


def make_local_request(
    name: str, data_centre: str, number: int, request: SlotRequest, now: float
) -> PendingRequest:
    """Return a request of this instance for its own decisions."""
    return PendingRequest(
        key=(name, number),
        service=request.service,
        is_batch=request.is_batch,
        requested_at=now,
        on_time_by=request.on_time_by,
        deadline=request.deadline,
        run_s=request.run_s,
        prefix_ids=request.prefix_ids,
        data_centre=data_centre,
        excluded=request.excluded,
        fingerprint=request.fingerprint,
        timeout_at=request.timeout_at or request.deadline,
        software_version=request.software_version,
        stream_id=request.stream_id,
        stream_until=request.stream_until,
        is_resumption=request.is_resumption,
        resumed_at=request.resumed_at,
    )


def describe_slot(
    number: int, request: SlotRequest, target_id: str, since: float, now: float
) -> messages.SlotInUse:
    """Return what a dispatcher should know about a slot that was taken at ``since``."""
    return messages.SlotInUse(
        number,
        request.service,
        target_id,
        request.is_batch,
        request.is_firm,
        max(0.0, since + request.run_s - now),
        list(request.prefix_ids),
        request.fingerprint,
    )


def describe_broken_run(run: BrokenRun, at: float, now: float) -> messages.BrokenRun:
    """Return what a dispatcher should know about a run that was broken off at ``at``."""
    traits, age_s = sorted(run.traits), max(0.0, now - at)
    return messages.BrokenRun(run.key[1], run.target_id, run.service, traits, run.events, age_s)


def make_broken_run(name: str, run: messages.BrokenRun) -> BrokenRun:
    """Return the run of a message."""
    key, traits = (name, run.number), frozenset(run.traits)
    return BrokenRun(key, run.target_id, run.service, traits, run.events)


def list_inputs(reply: messages.RejectSlot) -> dict[str, float]:
    """Return the figures behind a rejection, for the log."""
    return {
        "taken": reply.taken,
        "slots": reply.slots,
        "waiting": reply.waiting,
        "start_in_s": reply.start_in_s,
        "pressure": reply.pressure,
        "spare": reply.spare,
    }


def make_pending_request(name: str, message: messages.RequestSlot, now: float) -> PendingRequest:
    """Return the request of a message, by the clock of the receiver."""
    return PendingRequest(
        key=(name, message.number),
        service=message.service,
        is_batch=message.is_batch,
        requested_at=now,
        on_time_by=now + message.on_time_in_s,
        deadline=now + message.deadline_in_s,
        run_s=message.run_s,
        prefix_ids=tuple(message.prefix_ids),
        data_centre=message.data_centre,
        excluded=frozenset(message.excluded),
        returned=message.returned,
        is_firm=message.is_firm,
        warm=frozenset(message.warm),
        priority=message.priority,
        fingerprint=message.fingerprint,
        timeout_at=now + (message.timeout_in_s or message.deadline_in_s),
        software_version=message.software_version,
        stream_id=message.stream_id,
        stream_until=now + message.stream_ttl_s,
        is_resumption=message.is_resumption,
        resumed_at=now,
    )


def make_adopted_request(name: str, slot: messages.SlotInUse, now: float) -> PendingRequest:
    """Return a request for a slot that an instance reports as already in use."""
    return PendingRequest(
        key=(name, slot.number),
        service=slot.service,
        is_batch=slot.is_batch,
        requested_at=now,
        on_time_by=now,
        deadline=now,
        run_s=slot.run_s,
        prefix_ids=tuple(slot.prefix_ids),
        is_firm=slot.is_firm,
        fingerprint=slot.fingerprint,
    )
