"""What an instance knows of the software versions of the streams that it serves."""

from __future__ import annotations

from typing import Final

from clementinepin.helpers.clock import Clock
from clementinepin.serving import _messages as messages
from clementinepin.serving._slot_requests import SlotRequest
from clementinepin.serving.exceptions import OverloadedError
from clementinepin.systems import stream_versions
from clementinepin.tables.dispatch import DispatchTable

OTHER_SERVICE_RETRY_S: Final = 0.3


class OwnStreams:
    """Binds the requests of streams to the versions at which they began.

    Load pattern: the connection to a dispatcher breaks behind a grant, and the target fails before
    the first event. The dispatcher still takes the stream for one of the version that it granted,
    and callers may resume it through other instances, so it must begin at that version.
    """

    def __init__(self, table: DispatchTable, clock: Clock) -> None:
        self._table = table
        self._clock = clock

    def bind(self, request: SlotRequest, dispatcher: str) -> SlotRequest:
        """Return the request with the version at which it must run, if this instance knows one.

        ``dispatcher`` is the one that responds, empty without any. Raises OverloadedError if the
        stream began at another service.
        """
        if request.software_version or not request.stream_id:
            return request
        now = self._clock.monotonic()
        stream = stream_versions.find_stream(self._table, request.stream_id, now)
        if stream is None:
            return request
        if request.is_resumption and stream.service not in ("", request.service):
            message = f"the stream began at service {stream.service!r}, not {request.service!r}"
            raise OverloadedError(message, OTHER_SERVICE_RETRY_S)
        if request.is_resumption or stream.told not in ("", dispatcher):
            return request._replace(software_version=stream.software_version)
        return request

    def record_told(self, request: SlotRequest, dispatcher: str) -> None:
        """Record that a dispatcher knows at which version a stream begins."""
        now = self._clock.monotonic()
        stream_versions.record_told(self._table, request.stream_id, dispatcher, now)

    def describe(self, stream_id: str) -> messages.StreamVersion | None:
        """Return what a dispatcher should know about a stream; None if it can't be resumed."""
        now = self._clock.monotonic()
        stream = stream_versions.find_stream(self._table, stream_id, now)
        if stream is None:
            return None
        ttl_s = stream.expires_at - now
        return messages.StreamVersion(stream_id, stream.software_version, ttl_s, stream.service)

    def describe_all(self, dispatcher: str) -> list[messages.StreamVersion]:
        """Return what a new dispatcher should know; it is told with the next message."""
        now = self._clock.monotonic()
        rows = [self.describe(stream_id) for stream_id in self._table.streams.begun]
        described = [row for row in rows if row is not None]
        for row in described:
            stream_versions.record_told(self._table, row.stream_id, dispatcher, now)
        return described
