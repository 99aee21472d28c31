"""Runs one item of a job: requests a slot, sends the item to its target and reads the events.

A preempted or broken run resumes after its last event. An item is marked dead if it expires, if
all its attempts fail or if the target can never process it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import gevent
from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.helpers.containment import report_failure
from clementinepin.helpers.texts import count_bytes
from clementinepin.serving._events import EventSplitter
from clementinepin.serving._fleet import FleetView
from clementinepin.serving._held_texts import HeldTexts
from clementinepin.serving._item_routes import ItemRoutes
from clementinepin.serving._item_state import ItemRun
from clementinepin.serving._metrics import ServingMetrics
from clementinepin.serving._pools import TargetPools
from clementinepin.serving._slot_requests import Slot, SlotRequest
from clementinepin.serving._slots import SlotBroker
from clementinepin.serving.exceptions import CallerGoneError, OverloadedError
from clementinepin.serving.models import ItemState, Route, Target
from clementinepin.serving.wire import Wire
from clementinepin.systems import estimates
from clementinepin.systems.dispatch_actions import RunOutcome
from clementinepin.tables.mechanisms import Mechanism
from clementinepin.targets import Abort, BodyFraming, HttpExchange, HttpRequest
from clementinepin.targets.exceptions import (
    TargetLostError,
    TargetNotReachedError,
    TargetProtocolError,
)

FIRST_RESPONSE_TIMEOUT_S: Final = 4.0  # a slot is free, so a longer wait means a stalled target
TEXT_MAX_BYTES: Final = 700_000  # in base64 it fits into a value of the store, 1 MiB
RUN_MAX_S: Final = 30.0  # several times the longest item on the slowest engine
RETRY_PAUSE_S: Final = 0.2  # between a failure and the next slot request
RETRY_PAUSE_MAX_S: Final = 1.6
END_CHECKS_MAX: Final = 3  # lost runs in a row that check an end, after which the item begins again
ROUTE_PAUSE_S: Final = 4.0  # a route that is missing comes back with a configuration, if at all
# An item that is due within less than this many of its run times is not preemptible.
NOT_PREEMPTIBLE_FACTOR: Final = 1.5
GAP_EVENTS_MIN: Final = 5  # fewer events say little about the time between two
GAP_WEIGHT: Final = 0.2  # of the newest run in a route's mean time between events
STATUS_OK: Final = 200
STATUS_UNPROCESSABLE: Final = 422


class ItemRunner:
    """Runs items until they are completed, dead or cancelled.

    An item holds a place of the service to which its route leads, and none while it has no route.
    """

    def __init__(
        self,
        fleet: FleetView,
        slots: SlotBroker,
        pools: TargetPools,
        wire: Wire,
        clock: Clock,
        metrics: ServingMetrics,
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._counts_rest = Mechanism.RUN_REST not in disabled
        self._metrics = metrics
        self._fleet = fleet
        self._slots = slots
        self._pools = pools
        self._wire = wire
        self._clock = clock
        self._event_gaps: dict[str, float] = {}
        self._held_texts = HeldTexts()
        self._routes = ItemRoutes(fleet, self._leave_service)

    def run(self, run: ItemRun) -> None:
        """Run the item until it is completed, dead or cancelled.

        Load pattern: the operators remove a route, or all targets of a service are lost, with
        hundreds of items waiting. Items of other services run meanwhile.
        """
        try:
            self._run_to_end(run)
        finally:
            self._held_texts.forget(run)

    def _run_to_end(self, run: ItemRun) -> None:
        while run.state is None and not run.cancelled:
            service = self._routes.find_service(run)
            if service is None:
                self._wait_for_route(run)
                continue
            try:
                with self._routes.take_place(service):
                    self._run_at(run, service)
            except Exception as err:
                # Without an end of this item its job would never end.
                report_failure("item", err, request_id=run.item.item_id)
                gevent.sleep(RETRY_PAUSE_MAX_S)

    def _leave_service(self, run: ItemRun, service: str) -> None:
        """End an item's wait for a slot of a service that its route has left.

        Load pattern: the operators move a route and then take the targets of its former service
        away, while items wait for their slots.
        """
        self._log_wait(run, f"its route has left service {service!r}")
        run.cancel_wait()

    def _wait_for_route(self, run: ItemRun) -> None:
        if not self._give_up_expired(run):
            self._log_wait(run, "no route")
            self._routes.wait_for_change(ROUTE_PAUSE_S)

    def _give_up_expired(self, run: ItemRun) -> bool:
        """Mark the item dead if it has expired, and return whether it has."""
        if self._clock.wall() * 1000 < run.head.expires_ms:
            return False
        self._mark_dead(run, "the item expired")
        return True

    def _run_at(self, run: ItemRun, service: str) -> None:
        """Run the item until it is done or cancelled, or its route leads elsewhere or nowhere."""
        while run.state is None and not run.cancelled:
            route = self._routes.find_route(run)
            if route is None or not self._routes.leads_to(run, service):
                return
            if self._give_up_expired(run):
                return
            self._check_origin(run, service)
            outcome = self._run_once(run, route, service)
            if run.state is None and outcome is not RunOutcome.SERVED and not run.cancelled:
                pause_s = max(run.retry_after_s, get_retry_pause(run.losses))
                gevent.sleep(0.0 if run.preempted else pause_s)

    def _check_origin(self, run: ItemRun, service: str) -> None:
        """Begin an item again if no target can go on with its events.

        They are those of another service, or all targets of their software version are gone.
        """
        versions = {
            target.software_version
            for target in self._fleet.targets.rows.values()
            if target.service == service and not target.draining
        }
        is_known = not versions or run.software_version in ("", *versions)
        if run.service in ("", service) and is_known:
            return
        logger.bind(
            request_id=run.item.item_id,
            job=run.head.job_id,
            service=run.service,
            software_version=run.software_version,
            events=run.last_event_id,
        ).info("item_begun_again")
        run.begin_again()

    def _run_once(self, run: ItemRun, route: Route, service: str) -> RunOutcome:
        """Acquire a slot of a service, run the item on it once and return how that ended."""
        run.abort = Abort()
        run.preempted = False
        run.retry_after_s = 0.0
        run.framing = ""
        request = self._make_slot_request(run, route, service)
        try:
            with self._routes.watch(run, service):
                slot = self._slots.acquire(request, self._make_cancel_setter(run))
        except (OverloadedError, CallerGoneError) as err:
            self._log_wait(run, str(err))
            if isinstance(err, OverloadedError):
                run.retry_after_s = min(err.retry_after_s, RETRY_PAUSE_MAX_S)
            return RunOutcome.REFUSED
        run.wait_reason = ""
        outcome = RunOutcome.CANCELLED
        granted_at = self._clock.monotonic()
        self._slots.watch_preemption(slot, run.preempt)
        try:
            outcome = self._use_slot(run, route, service, slot)
        except Exception as err:
            # No answer of a target: the item stays owed.
            report_failure("item_run", err, request_id=run.item.item_id)
            run.losses += 1
            run.begin_again()
        finally:
            succeeded = run.state is ItemState.COMPLETED
            self._slots.release(slot, outcome, succeeded=succeeded, events=run.run_events)
            self._metrics.count_item_run(outcome)
        logger.bind(
            request_id=run.item.item_id,
            job=run.head.job_id,
            target=slot.target_id,
            outcome=str(outcome),
            preempted=run.preempted,
            events=run.last_event_id,
            ran_ms=round((self._clock.monotonic() - granted_at) * 1000, 1),
            failures=run.failures,
            framing=run.framing,
            software_version=run.target_version,
            alone=slot.alone,
            dispatcher=self._slots.dispatcher_name,
        ).info("item_run_ended")
        return outcome

    def _make_cancel_setter(self, run: ItemRun) -> Callable[[Callable[[], None]], None]:
        """Return a function that stores how to cancel the run's wait for a slot."""

        def set_cancel_wait(cancel: Callable[[], None]) -> None:
            run.cancel_wait = cancel

        return set_cancel_wait

    def _make_slot_request(self, run: ItemRun, route: Route, service: str) -> SlotRequest:
        facts = self._wire.read_request(
            {k.lower(): v for k, v in self._wire.make_item_headers(run.item)}
        )
        run.prefix_ids = facts.prefix_ids
        run_s = estimates.estimate_rest(
            estimates.estimate_run(facts.output_tokens_max, facts.length_hint),
            run.last_event_id if self._counts_rest else 0,
            self._event_gaps.get(route.name, 0.0),
        )
        now = self._clock.monotonic()
        due_in_s = run.head.due_ms / 1000 - self._clock.wall()
        return SlotRequest(
            service=service,
            is_batch=True,
            on_time_by=now + due_in_s - run_s,
            deadline=now + max(0.0, run.head.expires_ms / 1000 - self._clock.wall()),
            run_s=run_s,
            prefix_ids=facts.prefix_ids,
            is_firm=0 < due_in_s < run_s * NOT_PREEMPTIBLE_FACTOR,
            software_version=run.software_version,
        )

    def _use_slot(self, run: ItemRun, route: Route, service: str, slot: Slot) -> RunOutcome:
        version = run.software_version or slot.software_version
        target = self._fleet.targets.find_usable(slot.target_id, version)
        if not self._routes.leads_to(run, service):
            self._log_wait(run, f"its route has left service {service!r}")
            return RunOutcome.CANCELLED
        if target is None or run.cancelled:
            return RunOutcome.CANCELLED
        run.resumed_at_event_id = run.last_event_id
        run.target_id, run.target_version = target.target_id, target.software_version
        run.target_service = target.service
        try:
            with self._slots.watch_silence(slot, run.item.item_id, run.leave_lost_link):
                exchange = self._send(run, target)
            if exchange.relay:
                self._metrics.count_relayed("item")
            self._report_response(run, slot, target, exchange)
            return self._handle_response(run, route, exchange)
        except TargetNotReachedError as err:
            self._log_target_lost(run, target, err)
            return RunOutcome.CANCELLED if run.abort.triggered else RunOutcome.UNREACHED
        except TargetLostError as err:
            if run.abort.triggered:
                return RunOutcome.CANCELLED
            self._log_target_lost(run, target, err)
            if self._pools.is_link_lost(target.target_id, err):
                return RunOutcome.CANCELLED
            if run.last_event_id == run.resumed_at_event_id:
                run.losses += 1
            if run.awaits_end and run.losses >= END_CHECKS_MAX:
                self._log_end_unchecked(run)
                run.begin_again()
            return RunOutcome.BROKEN

    def _report_response(
        self, run: ItemRun, slot: Slot, target: Target, exchange: HttpExchange
    ) -> None:
        """Pass on what the head of a response says about its target."""
        headers = exchange.headers
        started_at_ms = None
        if self._wire.says_leaving(exchange.status, headers):
            started_at_ms = target.started_at_ms
            self._fleet.targets.record_leaving(target.start, request_id=run.item.item_id)
        load, limit_per_s = self._wire.read_load(headers), self._wire.read_limit(headers)
        self._slots.report_load(slot, load, limit_per_s, started_at_ms)

    def _send(self, run: ItemRun, target: Target) -> HttpExchange:
        now = self._clock.monotonic()
        headers = self._wire.make_item_headers(run.item)
        headers.extend(self._wire.make_target_headers(target.target_id, RUN_MAX_S))
        if run.last_event_id:
            headers.append(self._wire.make_resume_header(run.last_event_id))
        message = HttpRequest(
            method="POST",
            path=run.item.path,
            headers=tuple(headers),
            body=run.item.body,
            deadline=now + FIRST_RESPONSE_TIMEOUT_S,
            host=run.head.host,
            abort=run.abort,
        )
        return self._pools.get(target).send(message)

    def _handle_response(self, run: ItemRun, route: Route, exchange: HttpExchange) -> RunOutcome:
        """Read the response into the run and return the outcome for the slot.

        A failed status is also SERVED: the target responded, and the item counts the failure.
        """
        wire = self._wire
        run.framing = exchange.framing
        if not wire.is_response_to(run.item.item_id, exchange.status, exchange.headers):
            exchange.close()
            raise TargetProtocolError("the response belongs to another request")
        if wire.is_refusal(exchange.status, exchange.headers):
            exchange.close()  # the target may write the refusal once more, to a later request
            return RunOutcome.REFUSED
        if exchange.status != STATUS_OK:
            exchange.close()  # a copy of the response could not be told from that to the next run
            self._record_failed_status(run, route, exchange.status)
            return RunOutcome.SERVED
        if not wire.has_signature(exchange.headers):
            exchange.close()
            raise TargetProtocolError("a success status without the target's signature")
        exchange.watch_stalls(self._clock.monotonic() + RUN_MAX_S)
        started_at, events_before = self._clock.monotonic(), run.last_event_id
        try:
            self._read_events(run, exchange)
        finally:
            exchange.close()
            events = run.last_event_id - events_before
            self._record_event_gap(route, self._clock.monotonic() - started_at, events)
        if exchange.framing is not BodyFraming.CONNECTION or run.record_end():
            run.state = ItemState.COMPLETED
        return RunOutcome.SERVED

    def _record_event_gap(self, route: Route, ran_s: float, events: int) -> None:
        """Update the route's mean time between events, in seconds, with a run that has ended."""
        if events < GAP_EVENTS_MIN:
            return
        gap_s = ran_s / events
        mean_s = self._event_gaps.get(route.name, gap_s)
        self._event_gaps[route.name] = mean_s + GAP_WEIGHT * (gap_s - mean_s)

    def _read_events(self, run: ItemRun, exchange: HttpExchange) -> None:
        """Append the events of the response to the run.

        Raises TargetProtocolError if an event is out of order or the stream ends within one, or if
        the text, or those of all items together, get too large; then the item begins again.
        """
        splitter = EventSplitter()
        size = count_bytes(run.texts)
        while data := exchange.read():
            for event in splitter.feed(data):
                event_id = event.event_id
                if event_id != run.last_event_id + 1:
                    if event.is_comment:
                        continue
                    raise TargetProtocolError(
                        f"event {event_id} received, {run.last_event_id + 1} expected"
                    )
                size += len(event.raw)
                if size > TEXT_MAX_BYTES:
                    self._drop_text(run)
                    raise TargetProtocolError(f"text is larger than {TEXT_MAX_BYTES} bytes")
                run.texts.append(event.text)
                run.last_event_id = event_id
                run.software_version = run.target_version
                run.service = run.target_service
                run.ends.clear()
                run.losses = 0
            try:
                self._held_texts.update(run, size)
            except TargetProtocolError:
                self._drop_text(run)
                raise
        if splitter.incomplete.strip():
            raise TargetProtocolError("the stream ended within an event")

    def _drop_text(self, run: ItemRun) -> None:
        self._held_texts.forget(run)
        run.begin_again()

    def _record_failed_status(self, run: ItemRun, route: Route, status: int) -> None:
        """Count a failed attempt, drop its events, mark the item dead if it may not run again.

        An item that only awaits the check of its end keeps its events.
        """
        if status == STATUS_UNPROCESSABLE:
            run.failures += 1
            self._mark_dead(run, "the target can never process the item")
        else:
            self._record_failure(run, route, str(status))

    def _record_failure(self, run: ItemRun, route: Route, reason: str) -> None:
        run.failures += 1
        if not run.awaits_end:
            run.begin_again()
        if run.failures >= route.attempts_max:
            self._mark_dead(run, f"{run.failures} attempts failed, the last with {reason}")

    def _log_wait(self, run: ItemRun, reason: str) -> None:
        """Log why an item waits, once per reason: it retries several times a second."""
        if reason != run.wait_reason:
            run.wait_reason = reason
            logger.bind(request_id=run.item.item_id, job=run.head.job_id, reason=reason).info(
                "item_waiting"
            )

    def _log_end_unchecked(self, run: ItemRun) -> None:
        logger.bind(
            request_id=run.item.item_id, job=run.head.job_id, events=run.last_event_id
        ).info("item_end_unchecked")

    def _mark_dead(self, run: ItemRun, reason: str) -> None:
        run.texts.clear()
        run.state = ItemState.DEAD
        logger.bind(request_id=run.item.item_id, job=run.head.job_id, reason=reason).info(
            "item_given_up"
        )

    def _log_target_lost(self, run: ItemRun, target: Target, err: Exception) -> None:
        logger.bind(
            request_id=run.item.item_id,
            job=run.head.job_id,
            target=target.target_id,
            error=str(err),
            losses=run.losses,
            run_events=run.run_events,
            prompt_parts=run.prefix_ids[:-1],
        ).info("item_target_lost")


def get_retry_pause(losses: int) -> float:
    """Return the seconds to wait after a failed run, by the losses in a row before the next one.

    Load pattern: a burst of crashes. Items are never what crashes targets, so each is sent until it
    ends, but not as fast as targets come back.
    """
    return min(RETRY_PAUSE_MAX_S, RETRY_PAUSE_S * 2.0 ** min(losses, 20))
