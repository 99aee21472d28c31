"""Decoder of an engine's server-sent events. It parses only the fields that are used."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import msgspec

from clementinepin.helpers.decoding import make_json_decoder
from clementinepin.targets.exceptions import (
    ResponseMismatchError,
    TargetProtocolError,
    TargetRejectedError,
)
from clementinepin.targets.models import StreamChunk

EVENT_MAX_BYTES: Final = 1_000_000
EVENT_END: Final = b"\n\n"
DATA_PREFIX: Final = b"data:"
FIELDS: Final = frozenset({b"", b"event", b"id", b"retry"})  # besides data; empty in comments
SHOWN_MAX_BYTES: Final = 60
DONE_DATA: Final = b"[DONE]"
ENGINE_ERROR_STATUS: Final = 500


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    text: str | None = None
    delta: _Delta | None = None
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    id: str = ""
    choices: list[_Choice] = []
    error: Any = None
    usage: msgspec.Raw | None = None


_decode_event: Callable[[bytes], _Event] = make_json_decoder(_Event)


def make_event_ids(request_id: str) -> frozenset[str]:
    """Return the ids that an engine may put on the events of a request."""
    return frozenset({f"cmpl-{request_id}", f"chatcmpl-{request_id}"})


class EventDecoder:
    """Turns raw stream bytes into chunks and checks that each event has the request's id."""

    def __init__(self, request_id: str) -> None:
        self._ids = make_event_ids(request_id)
        self._partial = b""
        self.done = False

    def feed(self, data: bytes) -> StreamChunk | None:
        """Return the complete events in the data as one chunk, or None if there are none.

        Raises TargetProtocolError, ResponseMismatchError or TargetRejectedError.
        """
        if self.done:
            raise TargetProtocolError("target sent data after the last event of its stream")
        if self._partial:
            data = self._partial + data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        if data.endswith(EVENT_END):
            self._partial = b""
            return self._decode(data)
        end = data.rfind(EVENT_END)
        if end < 0:
            self._store_partial(data)
            return None
        complete = data[: end + len(EVENT_END)]
        self._store_partial(data[end + len(EVENT_END) :])
        return self._decode(complete)

    def _store_partial(self, partial: bytes) -> None:
        if len(partial) > EVENT_MAX_BYTES:
            raise TargetProtocolError(f"event is larger than {EVENT_MAX_BYTES} bytes")
        self._partial = partial

    def _decode(self, complete: bytes) -> StreamChunk:
        """Return the chunk for a sequence of complete events."""
        texts: list[str] = []
        finish_reason = None
        usage = b""
        for event in complete.split(EVENT_END):
            if not event:
                continue
            if self.done:
                raise TargetProtocolError("target sent events after the last event of its stream")
            payload = _extract_data(event)
            if payload is None:
                continue
            if payload == DONE_DATA:
                self.done = True
                continue
            parsed = self._parse(payload)
            if parsed.usage is not None:
                usage = bytes(parsed.usage)
            if not parsed.choices:
                continue
            choice = parsed.choices[0]
            text = choice.text if choice.delta is None else choice.delta.content
            if text:
                texts.append(text)
            finish_reason = choice.finish_reason or finish_reason
        return StreamChunk(complete, "".join(texts), len(texts), self.done, finish_reason, usage)

    def _parse(self, payload: bytes) -> _Event:
        """Return the event in a payload. Raises if it is malformed, an error or mismatched."""
        try:
            event = _decode_event(payload)
        except msgspec.DecodeError as err:
            raise TargetProtocolError(f"event can't be parsed: {err}") from err
        if event.error is not None:
            raise TargetRejectedError(ENGINE_ERROR_STATUS, payload)
        if event.id not in self._ids:
            raise ResponseMismatchError(f"event has the id {event.id!r} of another request")
        return event


def _extract_data(event: bytes) -> bytes | None:
    """Return the data of an event, or None for comments and events without data.

    Raises TargetProtocolError if it has a line of another kind: the target may have written
    another message, such as an error, into the body.
    """
    if event.startswith(DATA_PREFIX) and b"\n" not in event:
        return event[len(DATA_PREFIX) :].strip()
    lines = []
    for line in event.split(b"\n"):
        if line.startswith(DATA_PREFIX):
            lines.append(line)
        elif line.partition(b":")[0] not in FIELDS:
            raise TargetProtocolError(f"{line[:SHOWN_MAX_BYTES]!r} is not a line of an event")
    if not lines:
        return None
    return b"\n".join(line[len(DATA_PREFIX) :].strip() for line in lines)
