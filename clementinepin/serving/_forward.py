"""Forwards a caller's request to targets and sends the response back.

A request is sent again only if it may run again, and to at most as many targets as the route
allows. Resumable event streams continue on another target.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, NamedTuple

from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.serving._call import Call
from clementinepin.serving._call_requests import choose_call_service, make_slot_request
from clementinepin.serving._fleet import FleetView
from clementinepin.serving._http import HOP_HEADERS, CallerConnection, CallerRequest
from clementinepin.serving._metrics import ServingMetrics
from clementinepin.serving._pools import TargetPools
from clementinepin.serving._responses import ResponseForwarder
from clementinepin.serving._slot_requests import Slot
from clementinepin.serving._slots import SlotBroker
from clementinepin.serving.exceptions import (
    AnswerLostError,
    CallerGoneError,
    DeadlineError,
    OverloadedError,
)
from clementinepin.serving.models import Route, RouteKind, Target
from clementinepin.serving.wire import Wire
from clementinepin.systems.dispatch_actions import RunOutcome
from clementinepin.systems.run_times import RunTimes, find_latest_start
from clementinepin.targets import HttpExchange, HttpRequest
from clementinepin.targets.exceptions import (
    TargetLostError,
    TargetNotReachedError,
    TargetProtocolError,
    TargetTimeoutError,
)

UNREACHED_MAX: Final = 4  # targets that could not be reached before the request fails
REFUSED_RETRY_S: Final = 0.3  # Retry-After if the targets refused or could not be reached
STOPPED_RETRY_S: Final = 0.1  # other instances serve meanwhile
STATUS_SERVER_ERROR_MIN: Final = 500
STATUS_SUCCESS_BELOW: Final = 300


class _Sent(NamedTuple):
    """A request that was sent to a target."""

    exchange: HttpExchange
    target: Target


class Forwarder:
    """Serves requests of the routes that lead to targets.

    ``finish_by`` is when the instance stops, in monotonic seconds; requests that may not be
    complete by then are rejected.
    """

    def __init__(
        self,
        fleet: FleetView,
        slots: SlotBroker,
        pools: TargetPools,
        wire: Wire,
        clock: Clock,
        metrics: ServingMetrics,
    ) -> None:
        self._metrics = metrics
        self._run_times = RunTimes()
        self.finish_by = float("inf")
        self._fleet = fleet
        self._slots = slots
        self._pools = pools
        self._wire = wire
        self._clock = clock

    def serve(
        self, connection: CallerConnection, request: CallerRequest, route: Route, started_at: float
    ) -> None:
        """Forward the request and write the response to the connection.

        Raises a ClementinepinError if the request fails; ``connection.answered`` then says whether
        a part of the response was already sent.
        """
        call = Call(request, self._wire.read_request(request.headers), route, started_at)
        connection.watch_caller(call.record_caller_gone)
        outcome = "failed"
        try:
            self._check_finish(call)
            self._run_attempts(connection, call)
            outcome = "served" if call.is_complete else "cut"
        except CallerGoneError:
            outcome = "caller_gone"
            raise
        except OverloadedError as err:
            outcome = err.code
            raise
        finally:
            connection.stop_watching()
            self._log_end(call, outcome)

    def _find_latest_start(self, call: Call) -> float:
        """Return the latest time at which a call may start so that it ends before the instance."""
        longest_s = self._run_times.estimate_longest(call.route.name, call.facts.output_tokens_max)
        return find_latest_start(self.finish_by, call.deadline, longest_s)

    def _check_finish(self, call: Call) -> None:
        """Raise OverloadedError if the instance may stop before the call is complete."""
        now = self._clock.monotonic()
        if now > self._find_latest_start(call):
            raise OverloadedError(
                f"this instance ends in {self.finish_by - now:.3f} s, maybe before the response",
                STOPPED_RETRY_S,
            )

    def _run_attempts(self, connection: CallerConnection, call: Call) -> None:
        """Send the request to targets until its response is complete."""
        while True:
            slot = self._acquire_slot(call)
            outcome = RunOutcome.CANCELLED
            try:
                outcome = self._use_slot(connection, call, slot)
            finally:
                reported = RunOutcome.CANCELLED if call.link_lost else outcome
                self._slots.release(
                    slot, reported, succeeded=call.has_succeeded, events=call.run_events
                )
            if call.is_complete:
                return
            if call.gone:
                raise CallerGoneError("the caller closed its connection")
            self._check_retry(connection, call, outcome)

    def _acquire_slot(self, call: Call) -> Slot:
        call.service = choose_call_service(call, self._fleet.targets.list_services)
        request = make_slot_request(call, call.service, self._run_times.get_mean(call.route.name))
        if not (call.response_started or call.maybe_run):
            start_by = min(request.deadline, self._find_latest_start(call))
            request = request._replace(deadline=start_by)
        requested_at = self._clock.monotonic()

        def set_cancel_wait(cancel: Callable[[], None]) -> None:
            call.cancel_wait = cancel
            if call.gone:  # the caller left between two waits
                cancel()

        try:
            return self._slots.acquire(request, set_cancel_wait)
        except OverloadedError as err:
            if call.stop_sparing():
                return self._acquire_slot(call)
            log = self._log(call).bind(reason=str(err), **err.inputs)
            log.bind(retry_after_s=round(err.retry_after_s, 3)).info("request_rejected")
            if call.response_started or call.maybe_run:
                raise AnswerLostError("no other target is available after a lost attempt") from err
            raise
        finally:
            call.waited_s += self._clock.monotonic() - requested_at

    def _use_slot(self, connection: CallerConnection, call: Call, slot: Slot) -> RunOutcome:
        version = call.software_version or slot.software_version
        target = self._fleet.targets.find_usable(slot.target_id, version)
        if target is None or call.gone:
            call.excluded.add(slot.target_id)
            return RunOutcome.CANCELLED
        call.target_id = slot.target_id
        call.link_lost = False
        call.resumed_at_event_id = call.last_event_id
        call.target_version = target.software_version
        if call.response_started:
            self._log(call).bind(last_event=call.last_event_id).info("stream_resumed")
        try:
            with self._slots.watch_silence(
                slot, call.facts.request_id, lambda: self._leave_lost_link(call)
            ):
                exchange = self._send(call, target)
        except TargetNotReachedError as err:
            call.unreached += 1
            call.excluded.add(slot.target_id)
            self._log(call).bind(error=str(err)).info("target_not_reached")
            return RunOutcome.CANCELLED if call.abort.triggered else RunOutcome.UNREACHED
        except TargetLostError as err:
            return self._record_target_lost(call, err)
        call.relay = exchange.relay
        call.target_load = self._wire.read_load(exchange.headers)
        call.first_byte_at = self._clock.monotonic()
        call.framing = exchange.framing
        limit_per_s = self._wire.read_limit(exchange.headers)
        leaves = self._wire.says_leaving(exchange.status, exchange.headers)
        if leaves:
            self._fleet.targets.record_leaving(target.start, request_id=call.facts.request_id)
        started_at_ms = target.started_at_ms if leaves else None
        self._slots.report_load(slot, call.target_load, limit_per_s, started_at_ms)
        return self._handle_response(connection, call, _Sent(exchange, target))

    def _leave_lost_link(self, call: Call) -> bool:
        """Abort an attempt whose response can't come, if the request may be sent another way.

        Return False if the attempt does not go by the own link.
        """
        if call.abort.relay:
            return False
        if call.may_resend(self._clock.monotonic()):
            call.abort.trigger()
        return True

    def _send(self, call: Call, target: Target) -> HttpExchange:
        request = call.request
        now = self._clock.monotonic()
        headers = [
            (name, value)
            for name, value in request.header_lines
            if name.lower() not in HOP_HEADERS and not self._wire.is_replaced_header(name.lower())
        ]
        headers.extend(self._wire.make_target_headers(target.target_id, call.deadline - now))
        if call.last_event_id and call.response_started:
            headers = [h for h in headers if h[0].lower() != "last-event-id"]
            headers.append(self._wire.make_resume_header(call.last_event_id))
        call.renew_abort()
        call.sends += 1
        message = HttpRequest(
            method=request.method,
            path=request.path,
            headers=tuple(headers),
            body=request.body,
            deadline=call.get_read_deadline(self._clock.monotonic()),
            host=request.headers.get("host", ""),
            abort=call.abort,
            is_mismatched=(
                None
                if call.may_resend(self._clock.monotonic())
                else self._make_mismatch_check(call)
            ),
        )
        try:
            return self._pools.get(target).send(message)
        except TargetNotReachedError:
            call.sends -= 1
            raise

    def _make_mismatch_check(self, call: Call) -> Callable[[dict[str, str]], bool]:
        """Return a function that tells whether a response's headers name another request.

        Such a response is skipped, because the target's only response to this request may follow.
        """
        return lambda headers: self._wire.names_other_request(call.facts.request_id, headers)

    def _handle_response(self, connection: CallerConnection, call: Call, sent: _Sent) -> RunOutcome:
        exchange = sent.exchange
        wire = self._wire
        if not wire.is_response_to(call.facts.request_id, exchange.status, exchange.headers):
            exchange.close()
            return self._record_target_lost(
                call, TargetProtocolError("the response belongs to another request")
            )
        if wire.is_refusal(exchange.status, exchange.headers):
            exchange.close()  # the target may write the refusal once more, to a later request
            call.excluded.add(sent.target.target_id)
            self._log(call).bind(status=exchange.status).info("target_refused")
            return RunOutcome.REFUSED
        if exchange.status < STATUS_SUCCESS_BELOW and not wire.has_signature(exchange.headers):
            exchange.close()
            return self._record_target_lost(
                call, TargetProtocolError("a success status without the target's signature")
            )
        call.maybe_run = True
        if not wire.names_request(call.facts.request_id, exchange.headers):
            exchange.retire_connection()
        if exchange.status >= STATUS_SERVER_ERROR_MIN and call.may_resend(self._clock.monotonic()):
            exchange.close()  # the next attempt has the same id
            call.excluded.add(sent.target.target_id)
            self._log(call).bind(status=exchange.status).info("target_failed")
            return RunOutcome.BROKEN
        return self._forward_response(connection, call, exchange)

    def _forward_response(
        self, connection: CallerConnection, call: Call, exchange: HttpExchange
    ) -> RunOutcome:
        """Send the response on as it arrives.

        If it breaks off after its start, a resumable stream is resumed by the next attempt and any
        other response ends visibly incomplete.
        """
        if call.response_started and exchange.status != 200:
            exchange.close()
            return self._record_target_lost(
                call, TargetProtocolError(f"resuming the stream got status {exchange.status}")
            )
        try:
            if ResponseForwarder(connection, call, self._clock).forward(exchange):
                call.has_succeeded = exchange.status < STATUS_SUCCESS_BELOW
            elif self._fleet.targets.has_other(call.target_id, call.excluded):
                call.spare_target()  # the other one's word on the end proves more
        except TargetLostError as err:
            exchange.close()
            return self._record_target_lost(call, err)
        except OSError:
            call.gone = True
            exchange.close()
            return RunOutcome.CANCELLED
        failed = exchange.status >= STATUS_SERVER_ERROR_MIN
        return RunOutcome.BROKEN if failed else RunOutcome.SERVED

    def _record_target_lost(self, call: Call, err: TargetLostError) -> RunOutcome:
        """Record that a target may have run the request and its response was lost."""
        call.maybe_run = True
        if call.gone:
            return RunOutcome.CANCELLED
        call.excluded.add(call.target_id)
        if self._clock.monotonic() < call.deadline:
            call.link_lost = self._pools.is_link_lost(call.target_id, err)
        log = self._log(call).bind(error=f"{err.code}: {err}", run_events=call.run_events)
        log.bind(link_lost=call.link_lost, relay=err.relay).info("target_lost")
        if isinstance(err, TargetTimeoutError) and self._clock.monotonic() >= call.deadline:
            return RunOutcome.CANCELLED
        return RunOutcome.BROKEN

    def _check_retry(self, connection: CallerConnection, call: Call, outcome: RunOutcome) -> None:
        """Return if another attempt may follow, else raise the error that describes the outcome.

        Raises DeadlineError, OverloadedError, or AnswerLostError if the request may have run.
        """
        if self._clock.monotonic() >= call.deadline:
            if call.response_started:
                raise AnswerLostError("the deadline passed during the response")
            raise DeadlineError("the deadline passed before the response")
        if outcome is RunOutcome.BROKEN:
            if not call.may_resend(self._clock.monotonic()):
                raise AnswerLostError("the target's response was lost")
            return
        if outcome is RunOutcome.REFUSED and call.sends >= call.route.attempts_max:
            if call.maybe_run:
                raise AnswerLostError("no attempt is left after a lost response")
            raise OverloadedError("the target refused and no attempt is left", REFUSED_RETRY_S)
        if call.unreached >= UNREACHED_MAX:
            if call.maybe_run:
                raise AnswerLostError("no target could be reached")
            raise OverloadedError("no target could be reached", REFUSED_RETRY_S)

    def _log(self, call: Call) -> Any:
        configuration = self._fleet.configuration.current
        return logger.bind(
            request_id=call.facts.request_id,
            route=call.route.name,
            configuration=configuration.version if configuration else 0,
            target=call.target_id,
            software_version=call.target_version,
            prompt_parts=call.facts.prefix_ids[:-1],
        )

    def _log_end(self, call: Call, outcome: str) -> None:
        took_s = self._clock.monotonic() - call.started_at
        if outcome == "served":
            first_s = call.first_byte_at - call.started_at
            events = call.last_event_id - call.facts.last_event_id
            self._run_times.record(call.route.name, took_s, first_s, events)
        self._metrics.count_request(outcome, took_s, call.waited_s)
        if call.relay:
            self._metrics.count_relayed("request")
        self._log(call).bind(
            outcome=outcome,
            sends=call.sends,
            returned=call.returned,
            waited_ms=round(call.waited_s * 1000, 1),
            took_ms=round(took_s * 1000, 1),
            first_byte_ms=round((call.first_byte_at - call.started_at) * 1000, 1),
            target_load=call.target_load,
            framing=call.framing,
            relay=call.relay,
            last_event=call.last_event_id,
            resumes=call.facts.resumes,
            resumed_after=call.facts.last_event_id,
            dispatcher=self._slots.dispatcher_name,
        ).info("request_ended")


def is_job_route(route: Route) -> bool:
    """Return whether requests of the route submit jobs."""
    return route.kind is RouteKind.JOB
