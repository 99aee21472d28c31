"""Server-sent events as bytes: cut at their borders, with their ids."""

from __future__ import annotations

from typing import Final, NamedTuple

EVENT_MAX_BYTES: Final = 1_000_000  # an event of the engines is below a kilobyte
EVENT_END: Final = b"\n\n"


class StreamEvent(NamedTuple):
    """One complete event. ``event_id`` is 0 without a numeric id; ``text`` is its data."""

    raw: bytes
    event_id: int
    text: str


class EventCutter:
    """Cuts a byte stream into complete events; a partial one is held back."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events completed by the data; raises ValueError when one is too large."""
        data = self._rest + data if self._rest else data
        *complete, self._rest = data.split(EVENT_END)
        if len(self._rest) > EVENT_MAX_BYTES:
            raise ValueError("event is too large")
        return [_read_event(raw) for raw in complete]

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that is not complete."""
        return self._rest


def _read_event(raw: bytes) -> StreamEvent:
    event_id = 0
    texts: list[str] = []
    for line in raw.replace(b"\r\n", b"\n").split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id" and value.isdigit():
            event_id = int(value)
        elif name == b"data":
            texts.append(value.decode("utf-8", "replace"))
    return StreamEvent(raw + EVENT_END, event_id, "\n".join(texts))
