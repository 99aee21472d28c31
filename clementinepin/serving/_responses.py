"""Sends a target's response on to the caller, and decides whether it is complete.

The end of a connection proves nothing: a response is complete after its length or last chunk. An
event stream must also end after a whole event.
"""

from __future__ import annotations

from typing import Final

from clementinepin.helpers.clock import Clock
from clementinepin.serving._call import Call
from clementinepin.serving._events import EventSplitter, StreamEvent
from clementinepin.serving._http import HOP_HEADERS, CallerConnection
from clementinepin.serving.models import RouteKind
from clementinepin.systems import stream_ends
from clementinepin.tables.streams import RunEnd
from clementinepin.targets import BodyFraming, HttpExchange
from clementinepin.targets.exceptions import TargetProtocolError

BODY_HELD_BYTES: Final = 65_536  # it comes in one or two reads
STATUS_SUCCESS_BELOW: Final = 300
SHOWN_MAX_BYTES: Final = 60  # of what can't be an event, in a log line


class ResponseForwarder:
    """Sends the responses of the targets of one request to its caller, as they arrive."""

    def __init__(self, connection: CallerConnection, call: Call, clock: Clock) -> None:
        self._connection = connection
        self._call = call
        self._clock = clock

    def forward(self, exchange: HttpExchange) -> bool:
        """Send a response on; return whether it is complete.

        If not, another run of the resumable stream is to show that no event follows the last one.
        Raises TargetLostError if the response breaks off or no run is left to show that, and
        OSError if the caller is gone.
        """
        if is_event_stream(exchange):
            self._forward_events(exchange)
            if self._call.awaits_end:
                return False
        else:
            self._forward_body(exchange)
        self.complete()
        return True

    def complete(self) -> None:
        """End the response as complete."""
        self._connection.end_response()
        self._call.is_complete = True

    def _start(self, exchange: HttpExchange) -> None:
        """Send the status and headers unless an earlier attempt already did."""
        if not self._call.response_started:
            header_lines = [h for h in exchange.header_lines if h[0].lower() not in HOP_HEADERS]
            self._connection.start_response(exchange.status, header_lines)
            self._call.response_started = True

    def _forward_body(self, exchange: HttpExchange) -> None:
        """Send body bytes on.

        A short one with a length is read whole before its head is sent, so that another target can
        respond if it breaks off. Otherwise clears ``call.can_resend``, as no other target can
        continue it. Raises TargetProtocolError if part of an event stream was already sent.
        """
        call = self._call
        if call.response_started:
            raise TargetProtocolError("the response to a resumed stream is not an event stream")
        body = b""
        if call.may_resend(self._clock.monotonic()):
            body = self._read_ahead(exchange)
        call.can_resend = False
        self._start(exchange)
        if body:
            self._connection.send_data(body)
        while data := exchange.read():
            self._connection.send_data(data)

    def _read_ahead(self, exchange: HttpExchange) -> bytes:
        """Return a short body whole, or the first piece of one that only its connection ends.

        If there is none, another target is asked: the first one may have failed behind its head.
        """
        call = self._call
        if exchange.has_short_body(BODY_HELD_BYTES):
            return exchange.read_all(BODY_HELD_BYTES)
        if exchange.framing is not BodyFraming.CONNECTION:
            return b""
        body = exchange.read()
        if not body and not call.ends and exchange.status < STATUS_SUCCESS_BELOW:
            call.ends.append(RunEnd(call.target_id, brought_events=False))
            raise TargetProtocolError("the response ended behind its head, without framing")
        return body

    def _forward_events(self, exchange: HttpExchange) -> None:
        """Send complete events on.

        The headers are sent with the first event: until then another target may still respond.
        Raises TargetProtocolError if the stream ends within an event: it was broken off, whatever
        its framing says.
        """
        call = self._call
        splitter = EventSplitter()
        is_resumed = call.response_started
        brought_events = False
        while data := exchange.read():
            events = splitter.feed(data)
            if not events:
                continue
            if call.route.resumable:
                exchange.set_read_deadline(call.get_read_deadline(self._clock.monotonic()))
            if is_resumed and not brought_events:
                _check_joint(call, events)
            sound = events[: count_sound(call, events, is_first=not brought_events)]
            if sound:
                self._send_events(exchange, sound)
                brought_events = brought_events or not all(event.is_comment for event in sound)
            if len(sound) < len(events):
                raise TargetProtocolError(
                    f"{events[len(sound)].raw[:SHOWN_MAX_BYTES]!r} came in the place of the event"
                    f" after {call.last_event_id}"
                )
        if splitter.incomplete.strip():
            raise TargetProtocolError("the stream ended within an event")
        self._record_end(exchange, brought_events=brought_events)

    def _send_events(self, exchange: HttpExchange, events: list[StreamEvent]) -> None:
        call = self._call
        call.software_version = call.target_version
        call.can_resend = call.can_resend and call.route.resumable
        self._start(exchange)
        self._connection.send_data(b"".join(event.raw for event in events))
        last = next((event for event in reversed(events) if not event.is_comment), None)
        if last is not None:
            call.ends.clear()
            call.last_event_id = max(call.last_event_id, last.event_id)

    def _record_end(self, exchange: HttpExchange, *, brought_events: bool) -> None:
        """Decide whether another run must show that no event follows the last one.

        The end of a connection doesn't prove the end of a stream: a target may fail behind the head
        of its response. Runs that are to go on after the last event and bring none may. If none may
        follow, the stream counts as broken off, so that its caller can resume it; one with events
        that can't be resumed is taken for complete. Raises TargetProtocolError.
        """
        call = self._call
        is_proven = exchange.framing is not BodyFraming.CONNECTION
        if not is_proven and not call.route.resumable:
            if not brought_events:
                raise TargetProtocolError("the stream ended before its first event")
            is_proven = True
        if not is_proven:
            call.ends.append(RunEnd(call.target_id, call.run_events > 0))
            # A stream has at least one event.
            is_proven = call.last_event_id > 0 and stream_ends.is_end_proven(
                call.ends, call.route.attempts_max
            )
        if is_proven:
            call.ends.clear()
            self._start(exchange)
        elif not call.may_resend(self._clock.monotonic()):
            raise TargetProtocolError(f"the end after event {call.last_event_id} can't be checked")


def is_event_stream(exchange: HttpExchange) -> bool:
    """Return whether the response is a server-sent event stream with status 200."""
    kind = exchange.headers.get("content-type", "")
    return exchange.status == 200 and kind.startswith("text/event-stream")


def count_sound(call: Call, events: list[StreamEvent], *, is_first: bool) -> int:
    """Return how many events at the start of a piece of a response belong to its stream.

    The ids of a stream increase. What has none may be a message that the target wrote into the
    body, such as an error.
    """
    if call.route.kind is not RouteKind.STREAM:
        return len(events)
    last = 0 if is_first and not call.route.resumable else call.last_event_id
    for count, event in enumerate(events):
        event_id = event.event_id
        if event_id <= last and not event.is_comment:
            return count
        last = max(last, event_id)
    return len(events)


def _check_joint(call: Call, events: list[StreamEvent]) -> None:
    """Raise TargetProtocolError unless the first event of a resumed run follows the last one."""
    first = next((event for event in events if not event.is_comment), None)
    if first is not None and first.event_id != call.last_event_id + 1:
        raise TargetProtocolError(
            f"the stream was resumed with event {first.event_id} after {call.last_event_id}"
        )
