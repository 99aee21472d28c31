"""What an instance knows of the software versions of the streams that it serves."""

from __future__ import annotations

from clementinepin.helpers.clock import Clock
from clementinepin.serving import _messages as messages
from clementinepin.serving._slot_requests import SlotRequest
from clementinepin.systems import stream_versions
from clementinepin.tables.dispatch import DispatchTable


class OwnStreams:
    """Binds the requests of streams to the versions at which they began."""

    def __init__(self, table: DispatchTable, clock: Clock) -> None:
        self._table = table
        self._clock = clock

    def bind(self, request: SlotRequest) -> SlotRequest:
        """Return the request with the version at which it must run, if this instance knows one."""
        if not request.is_resumption or request.software_version:
            return request
        now = self._clock.monotonic()
        version = stream_versions.find_stream_version(self._table, request.stream_id, now)
        return request._replace(software_version=version or "")

    def describe(self, stream_id: str) -> messages.StreamVersion | None:
        """Return what a dispatcher should know about a stream; None if it can't be resumed."""
        now = self._clock.monotonic()
        stream = stream_versions.find_stream(self._table, stream_id, now)
        if stream is None:
            return None
        return messages.StreamVersion(stream_id, stream.software_version, stream.expires_at - now)

    def describe_all(self) -> list[messages.StreamVersion]:
        """Return what a new dispatcher should know."""
        rows = [self.describe(stream_id) for stream_id in self._table.streams.begun]
        return [row for row in rows if row is not None]
