"""One HTTP request and its answer on one connection to a target."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple

from geventhttpclient.response import HTTPParseError, HTTPResponse

from clementinepin.helpers.clock import Clock
from clementinepin.targets._connection import Abort, Connection, ConnectionPool
from clementinepin.targets.exceptions import TargetLostError, TargetProtocolError
from clementinepin.targets.models import TargetAddress

READ_SIZE_BYTES: Final = 65_536
DRAIN_TIMEOUT_S: Final = 0.2
HEADERS_MAX_BYTES: Final = 65_536
STATUS_FINAL_MIN: Final = 200
FOREIGN_ANSWERS_MAX: Final = 2  # more before the own one: the target has lost count of requests
IDLE_SHARE: Final = 0.6  # leaves time for a request to arrive before the target closes
SKIPPED_HEADERS: Final = frozenset({"host", "content-length", "transfer-encoding", "connection"})


class HttpRequest(NamedTuple):
    """A request for a target. ``deadline`` is monotonic seconds.

    ``fresh`` asks for a connection that never carried another request; ``host`` replaces the
    target's own address in the Host header; ``abort`` lets another greenlet give up.
    ``is_foreign`` tells by the lower-cased headers of an answer that it belongs to another
    request: such answers are passed over, and the own one is awaited behind them. Without it the
    first answer is taken.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    deadline: float = 0.0
    fresh: bool = False
    host: str = ""
    abort: Abort | None = None
    is_foreign: Callable[[dict[str, str]], bool] | None = None


class _Parser(HTTPResponse):
    """Response parser that hands the body over in pieces and notes extra bytes.

    ``status`` and headers are those of the first final answer that is not foreign, whatever comes
    behind it.
    """

    def __init__(
        self, method: str, is_foreign: Callable[[dict[str, str]], bool] | None = None
    ) -> None:
        super().__init__(method=method)
        self._is_foreign = is_foreign
        self._skips_body = False
        self.pieces: list[bytes] = []
        self.status = 0
        self.ended = False
        self.overrun = False
        self.foreign_answers = 0

    @property
    def has_headers(self) -> bool:
        """Tell whether the headers of the own final answer are complete."""
        return self.headers_complete and self.status >= STATUS_FINAL_MIN and not self._skips_body

    def list_headers(self) -> dict[str, str]:
        """Return the headers with lower-cased names."""
        return {name.lower(): value for name, value in self.items()}

    def take_body(self) -> bytes:
        """Return the body bytes parsed since the last call."""
        if len(self.pieces) == 1:
            return self.pieces.pop()
        data = b"".join(self.pieces)
        self.pieces.clear()
        return data

    def _on_message_begin(self) -> None:
        if self.ended:
            self.overrun = True
            return
        super()._on_message_begin()

    def _on_header_field(self, string: str) -> None:
        if not self.overrun:
            super()._on_header_field(string)

    def _on_header_value(self, string: str) -> None:
        if not self.overrun:
            super()._on_header_value(string)

    def _on_headers_complete(self) -> int | bool | None:
        if self.overrun:
            return None
        self.status = self.get_code()
        result = super()._on_headers_complete()
        if self._is_foreign is not None and self.status >= STATUS_FINAL_MIN:
            self._skips_body = self._is_foreign(self.list_headers())
        return result

    def _on_message_complete(self) -> None:
        if self.overrun:
            return
        super()._on_message_complete()
        if self._skips_body:
            self._skips_body = False
            self.status = 0
            self.foreign_answers += 1
        else:
            self.ended = self.status >= STATUS_FINAL_MIN

    def _on_body(self, buf: bytearray) -> None:
        if not self.overrun and not self._skips_body:
            self.pieces.append(bytes(buf))


class HttpExchange:
    """A sent request whose answer is read in pieces."""

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
        self._parser = _Parser(request.method, request.is_foreign)
        self._failure: TargetLostError | None = None
        self.status = 0
        self.header_lines: tuple[tuple[str, str], ...] = ()
        self.headers: dict[str, str] = {}
        self._read_headers()

    def read(self) -> bytes:
        """Return the next piece of the body, empty at its clean end.

        Raises TargetLostError when the answer is cut short.
        """
        parser = self._parser
        while not parser.pieces:
            if self._failure is not None:
                raise self._failure
            if parser.ended:
                self._finish()
                return b""
            self._feed()
        return parser.take_body()

    def read_all(self, size_max: int) -> bytes:
        """Return the whole body; raises TargetProtocolError above the limit."""
        pieces: list[bytes] = []
        total = 0
        while data := self.read():
            total += len(data)
            if total > size_max:
                self.close()
                raise TargetProtocolError(f"answer is larger than {size_max} bytes")
            pieces.append(data)
        return b"".join(pieces)

    def watch_stalls(self, deadline: float) -> None:
        """Move the deadline, and give up earlier when the target sends nothing for long."""
        if self._connection is not None:
            self._connection.watch_stalls(deadline)

    def limit_reads(self, deadline: float) -> None:
        """Move the deadline of the answer."""
        if self._connection is not None:
            self._connection.limit_reads(deadline)

    def drain(self) -> None:
        """Read to the clean end for a moment, so that the connection can serve again.

        The answer is whole already: what goes wrong here only costs the connection.
        """
        if self._connection is not None and not self._parser.ended:
            self._connection.limit_reads(self._clock.monotonic() + DRAIN_TIMEOUT_S)
        try:
            if self.read():
                self.close()
        except TargetLostError:
            self.close()

    @property
    def ended(self) -> bool:
        """Return whether the whole answer was received."""
        return self._parser.ended

    def close(self) -> None:
        """Give the connection up; the target sees that and stops."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _finish(self) -> None:
        connection = self._connection
        if connection is None:
            return
        parser = self._parser
        spent = parser.overrun or parser.foreign_answers or connection.is_writing
        if spent or parser.should_close():
            self.close()
            return
        self._connection = None
        self._pool.idle_max_s = _read_idle_limit(self.headers, self._pool.idle_max_s)
        self._pool.release(connection)

    def _feed(self) -> int:
        if self._connection is None:
            raise TargetLostError("the exchange was closed")
        try:
            data = self._connection.read(READ_SIZE_BYTES)
            self._parser.feed(data)
        except HTTPParseError as err:
            self.close()
            if not data:
                raise TargetLostError("target closed the connection in its answer") from err
            self._failure = TargetProtocolError(f"answer can't be parsed: {err}")
            if not self._parser.pieces:
                raise self._failure from err
            return len(data)
        except TargetLostError:
            self.close()
            raise
        if not data and not self._parser.ended:
            self.close()
            raise TargetLostError("target closed the connection before the end of its answer")
        return len(data)

    def _read_headers(self) -> None:
        total = 0
        parser = self._parser
        while not parser.has_headers:
            skipped = parser.foreign_answers
            total += self._feed()
            if parser.foreign_answers > FOREIGN_ANSWERS_MAX:
                self.close()
                raise TargetProtocolError("only answers to other requests came")
            if parser.headers_complete or parser.foreign_answers > skipped:
                total = 0
            elif total > HEADERS_MAX_BYTES:
                self.close()
                raise TargetProtocolError("header section of the answer is too large")
        self.status = parser.status
        self.header_lines = tuple(parser.items())
        self.headers = parser.list_headers()


def _read_idle_limit(headers: dict[str, str], default_s: float) -> float:
    """Return how long the connection may rest: part of what the target promises to keep it."""
    for part in headers.get("keep-alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name == "timeout" and value.isdigit():
            return int(value) * IDLE_SHARE
    return default_s


class Transport:
    """Sends requests to one target."""

    def __init__(self, address: TargetAddress, clock: Clock) -> None:
        self.address = address
        self._clock = clock
        self._pool = ConnectionPool(address, clock)

    def send(self, request: HttpRequest) -> HttpExchange:
        """Send once on one connection; nothing is sent again here.

        Raises TargetNotReachedError only when no byte was written, else TargetLostError.
        """
        if request.fresh:
            connection = self._pool.connect(request.deadline)
        else:
            connection = self._pool.acquire(request.deadline)
        if request.abort is not None:
            request.abort.bind(connection)
        try:
            connection.write(self._serialize(request), request.deadline)
            connection.limit_reads(request.deadline)
            return HttpExchange(self._pool, connection, request, self._clock)
        except BaseException:
            connection.close()
            raise

    @property
    def idle(self) -> int:
        """Return how many connections are kept."""
        return self._pool.idle

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def _serialize(self, request: HttpRequest) -> bytes:
        host = request.host or f"{self.address.address}:{self.address.port}"
        lines = [f"{request.method} {request.path} HTTP/1.1", f"Host: {host}"]
        for name, value in request.headers:
            if name.lower() not in SKIPPED_HEADERS:
                lines.append(f"{name}: {value}")
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(request.body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("latin-1") + request.body
