"""Sends one HTTP request on a connection to a target and reads its response."""

from __future__ import annotations

import re
from collections.abc import Callable
from enum import StrEnum
from typing import Final, NamedTuple

from geventhttpclient.response import HTTPParseError

from clementinepin.helpers.clock import Clock
from clementinepin.targets._connection import Abort, Connection, ConnectionPool
from clementinepin.targets._parser import ResponseParser
from clementinepin.targets.exceptions import (
    ResponseTooLargeError,
    TargetLostError,
    TargetProtocolError,
)

READ_SIZE_BYTES: Final = 65_536
DRAIN_TIMEOUT_S: Final = 0.2
HEADERS_MAX_BYTES: Final = 65_536
SKIPPED_MAX_BYTES: Final = 2_000_000  # of interim responses and those to other requests
UNFORWARDED_MAX_BYTES: Final = 131_072  # of framing and trailers in a row; two full reads
MISMATCHED_RESPONSES_MAX: Final = 2  # a target that sends more has lost track of its requests
KEEP_ALIVE_SHARE: Final = 0.6  # a request must arrive before the target closes the connection
KEEP_ALIVE_TIMEOUT: Final = re.compile("timeout=([0-9]{1,9})")
BODYLESS_STATUSES: Final = frozenset({204, 304})


class BodyFraming(StrEnum):
    """What marks the end of a response's body.

    Only a length and chunks prove that the body is complete: a target that fails may end its
    connection in the same way as one that has sent everything.
    """

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"


class HttpRequest(NamedTuple):
    """A request to a target. ``deadline`` is in monotonic seconds.

    ``fresh`` requires a connection that has carried no other request. ``host`` replaces the
    target's address in the Host header. ``abort`` lets another greenlet abort the exchange.
    ``is_mismatched`` gets the headers of a response, with lower-cased names, and returns whether
    the response belongs to another request. Such responses are skipped until the matching one
    arrives. Without ``is_mismatched`` the first final response is used.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    deadline: float = 0.0
    fresh: bool = False
    host: str = ""
    abort: Abort | None = None
    is_mismatched: Callable[[dict[str, str]], bool] | None = None


class HttpExchange:
    """A sent request whose response is read in pieces.

    ``relay`` names the instance through which it goes, empty if it goes to the target directly.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        connection: Connection,
        request: HttpRequest,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._connection: Connection | None = connection
        self.relay = connection.relay
        self._method = request.method
        self._parser = ResponseParser(request.method, request.is_mismatched)
        self._failure: TargetLostError | None = None
        self._retires_connection = False
        self.status = 0
        self.header_lines: tuple[tuple[str, str], ...] = ()
        self.headers: dict[str, str] = {}
        self._read_headers()

    def read(self) -> bytes:
        """Return the next piece of the body, or empty bytes after a complete response.

        Raises TargetLostError if the response is cut short.
        """
        parser = self._parser
        unforwarded = 0
        while not parser.pieces:
            if unforwarded > UNFORWARDED_MAX_BYTES:
                self.close()
                raise TargetProtocolError(
                    f"{unforwarded} bytes of the response's body brought no data"
                )
            if self._failure is not None:
                raise self._failure
            if parser.ended:
                self._release_connection()
                return b""
            unforwarded += self._feed()
        return parser.take_body()

    def read_all(self, size_max: int) -> bytes:
        """Return the whole body.

        Raises ResponseTooLargeError if it exceeds ``size_max`` bytes, and TargetLostError if it is
        cut short.
        """
        pieces: list[bytes] = []
        total = 0
        while data := self.read():
            total += len(data)
            if total > size_max:
                self.close()
                raise ResponseTooLargeError(f"response body is larger than {size_max} bytes")
            pieces.append(data)
        return b"".join(pieces)

    def watch_stalls(self, deadline: float) -> None:
        """Replace the deadline, and also fail if the target sends nothing for STALL_CHECK_S."""
        if self._connection is not None:
            self._connection.watch_stalls(deadline)

    def set_read_deadline(self, deadline: float) -> None:
        """Replace the deadline of the response, in monotonic seconds."""
        if self._connection is not None:
            self._connection.set_read_deadline(deadline)

    def drain(self) -> None:
        """Read to the end of the response so that the connection can be reused.

        Waits at most DRAIN_TIMEOUT_S. The caller needs nothing more from the response, so a
        failure here only closes the connection.
        """
        if self._connection is not None and not self._parser.ended:
            self._connection.set_read_deadline(self._clock.monotonic() + DRAIN_TIMEOUT_S)
        try:
            if self.read():
                self.close()
        except TargetLostError:
            self.close()

    def retire_connection(self) -> None:
        """Let the connection carry no other request behind this response.

        A target may write a response once more, even when the next request is under way. A copy
        that can't be told from the response to that request would be taken for it.
        """
        self._retires_connection = True

    @property
    def framing(self) -> BodyFraming:
        """Return what marks the end of the body."""
        if "transfer-encoding" in self.headers:
            return BodyFraming.CHUNKED
        if "content-length" in self.headers or self._has_no_body:
            return BodyFraming.LENGTH
        return BodyFraming.CONNECTION

    def has_short_body(self, size_max: int) -> bool:
        """Return whether the head states a length of the body, of at most ``size_max`` bytes."""
        return self.framing is BodyFraming.LENGTH and (
            self._has_no_body or int(self.headers["content-length"]) <= size_max
        )

    @property
    def _has_no_body(self) -> bool:
        return self.status in BODYLESS_STATUSES or self._method == "HEAD"

    @property
    def ended(self) -> bool:
        """Return whether the whole response was received."""
        return self._parser.ended

    def close(self) -> None:
        """Close the connection unless it was released, so that the target stops its work."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _release_connection(self) -> None:
        """Return the connection to the pool, or close it if it can't be reused."""
        connection = self._connection
        if connection is None:
            return
        parser = self._parser
        must_close = (
            self._retires_connection
            or parser.has_trailing_message
            or parser.mismatched_responses
            or connection.is_writing
        )
        if must_close or parser.should_close():
            self.close()
            return
        self._connection = None
        self._pool.idle_max_s = _parse_idle_limit(self.headers, self._pool.idle_max_s)
        self._pool.release(connection)

    def _feed(self) -> int:
        """Parse the bytes of one read and return their number. Raises TargetLostError."""
        try:
            return self._parse_read()
        except TargetLostError as err:
            err.relay = self.relay
            raise

    def _parse_read(self) -> int:
        if self._connection is None:
            raise TargetLostError("the exchange is already closed")
        try:
            data = self._connection.read(READ_SIZE_BYTES)
            self._parser.feed(data)
        except HTTPParseError as err:
            self.close()
            if not data:
                raise TargetLostError("target closed the connection during its response") from err
            self._failure = TargetProtocolError(f"response can't be parsed: {err}")
            # Body bytes parsed before the fault are returned first; the next read raises it.
            if not self._parser.pieces:
                raise self._failure from err
            return len(data)
        except TargetLostError:
            self.close()
            raise
        if not data:
            self.close()
            if not self._parser.ended:
                raise TargetLostError("target closed the connection before the end of its response")
            # The end of the connection is that of the body, unless the target crashed.
            self._pool.replace()
        return len(data)

    def _read_headers(self) -> None:
        """Read until the headers of the matching final response are complete."""
        total = 0
        skipped_total = 0
        parser = self._parser
        while not parser.has_headers:
            skipped = parser.mismatched_responses
            size = self._feed()
            total += size
            skipped_total += size
            if parser.mismatched_responses > MISMATCHED_RESPONSES_MAX:
                self.close()
                raise TargetProtocolError("target sent only responses to other requests")
            if skipped_total > SKIPPED_MAX_BYTES:
                self.close()
                raise TargetProtocolError(f"no matching response within {SKIPPED_MAX_BYTES} bytes")
            # The limit is for one header section, without the bodies of skipped responses.
            if parser.headers_complete or parser.mismatched_responses > skipped:
                total = 0
            elif total > HEADERS_MAX_BYTES:
                self.close()
                raise TargetProtocolError(
                    f"headers of the response are larger than {HEADERS_MAX_BYTES} bytes"
                )
        self.status = parser.status
        self.header_lines = tuple(parser.items())
        self.headers = parser.list_headers()
        self._check_transfer_coding()

    def _check_transfer_coding(self) -> None:
        """Raise TargetProtocolError unless the body comes as it is or in chunks alone.

        No other coding was asked for. The parser reads chunks only if they are the last coding, and
        otherwise to the end of the connection, which proves nothing.
        """
        codings = [v for name, v in self.header_lines if name.lower() == "transfer-encoding"]
        if codings and [coding.strip().lower() for coding in codings] != ["chunked"]:
            self.close()
            raise TargetProtocolError(f"the response has the transfer coding {codings}")


def _parse_idle_limit(headers: dict[str, str], default_s: float) -> float:
    """Return how many seconds a connection may stay idle and still be reused.

    This is KEEP_ALIVE_SHARE of the timeout in the target's Keep-Alive header, else the default.
    """
    for part in headers.get("keep-alive", "").split(","):
        match = KEEP_ALIVE_TIMEOUT.fullmatch(part.strip())
        if match is not None:
            return int(match[1]) * KEEP_ALIVE_SHARE
    return default_s
