"""Splits a stream of server-sent events into complete events with their ids."""

from __future__ import annotations

import re
from typing import Final, NamedTuple

EVENT_MAX_BYTES: Final = 1_000_000  # events of the engines are smaller than 1 kB
EVENT_END: Final = re.compile(rb"(\r\n\r\n|\n\n)")


class StreamEvent(NamedTuple):
    """One complete event. ``event_id`` is 0 if it has no numeric id; ``text`` is its data."""

    raw: bytes
    event_id: int
    text: str


class EventSplitter:
    """Splits a byte stream into complete events; a partial one is kept until it is complete."""

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that the data completes. Raises ValueError if one is too large."""
        data = self._incomplete + data if self._incomplete else data
        # Each event is followed by the blank line that ended it.
        *complete, self._incomplete = EVENT_END.split(data)
        if len(self._incomplete) > EVENT_MAX_BYTES:
            raise ValueError(f"incomplete event of {len(self._incomplete)} bytes is too large")
        pairs = zip(complete[::2], complete[1::2], strict=True)
        return [_read_event(raw, end) for raw, end in pairs]

    @property
    def incomplete(self) -> bytes:
        """Return the bytes of the incomplete event at the end."""
        return self._incomplete


def _read_event(raw: bytes, end: bytes) -> StreamEvent:
    event_id = 0
    texts: list[str] = []
    for line in raw.replace(b"\r\n", b"\n").split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id" and value.isdigit():
            event_id = int(value)
        elif name == b"data":
            texts.append(value.decode("utf-8", "replace"))
    return StreamEvent(raw + end, event_id, "\n".join(texts))
