"""Splits a stream of server-sent events into complete events with their ids."""

from __future__ import annotations

import re
from typing import Final, NamedTuple

from clementinepin.targets.exceptions import TargetProtocolError

EVENT_MAX_BYTES: Final = 262_144  # events of the engines are smaller than 1 kB
EVENT_END: Final = re.compile(rb"(\r\n\r\n|\n\n)")
EVENT_END_MAX_BYTES: Final = 4  # of the longest match
ID_LINE: Final = re.compile(rb"^id: ?([0-9]{1,18})\r?$", re.MULTILINE)
COMMENT: Final = re.compile(rb"(?::[^\n]*\n|\r?\n)+")


class StreamEvent(NamedTuple):
    """One complete event as received, with the blank line that ended it.

    Its fields are parsed when they are read: only the ids at the ends of a piece matter to callers'
    streams.
    """

    raw: bytes

    @property
    def event_id(self) -> int:
        """Return the last numeric id, 0 if there is none."""
        ids = ID_LINE.findall(self.raw)
        return int(ids[-1]) if ids else 0

    @property
    def is_comment(self) -> bool:
        """Return whether there are only comments, which have no id and may come at any time."""
        return COMMENT.fullmatch(self.raw) is not None

    @property
    def text(self) -> str:
        """Return the data, its lines separated by line feeds."""
        return "\n".join(value.decode("utf-8", "replace") for value in self._list_values(b"data"))

    def _list_values(self, field: bytes) -> list[bytes]:
        lines = self.raw.replace(b"\r\n", b"\n").split(b"\n")
        parts = (line.partition(b":") for line in lines)
        return [value.removeprefix(b" ") for name, _, value in parts if name == field]


class EventSplitter:
    """Splits a byte stream into complete events; a partial one is kept until it is complete.

    ``_tail`` holds the last bytes of the partial event, which may begin the end of the event.
    """

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self._size = 0
        self._tail = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that the data completes.

        Raises TargetProtocolError if an event is too large.
        """
        searched = self._tail + data
        if EVENT_END.search(searched) is None:
            self._keep(data)
            self._tail = searched[1 - EVENT_END_MAX_BYTES :]
            return []
        # Each event is followed by the blank line that ended it.
        *complete, incomplete = EVENT_END.split(self.incomplete + data)
        self._pieces, self._size = [], 0
        self._keep(incomplete)
        self._tail = incomplete[1 - EVENT_END_MAX_BYTES :]
        pairs = zip(complete[::2], complete[1::2], strict=True)
        return [StreamEvent(raw + end) for raw, end in pairs]

    @property
    def incomplete(self) -> bytes:
        """Return the bytes of the incomplete event at the end."""
        return b"".join(self._pieces)

    def _keep(self, data: bytes) -> None:
        """Add bytes to the incomplete event."""
        self._size += len(data)
        if self._size > EVENT_MAX_BYTES:
            raise TargetProtocolError(f"an event is larger than {EVENT_MAX_BYTES} bytes")
        if data:
            self._pieces.append(data)
