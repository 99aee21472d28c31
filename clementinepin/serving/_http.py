"""HTTP/1.1 server for callers: size and time limits, keep-alive, detection of closed callers."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

import gevent
import h11
from gevent import socket
from gevent.server import StreamServer
from loguru import logger

from clementinepin.helpers.containment import report_failure
from clementinepin.serving.exceptions import BadRequestError
from clementinepin.serving.models import CallerLimits

READ_SIZE_BYTES: Final = 65_536
BODY_TIMEOUT_S: Final = 10.0  # a slower body can't be answered within the timeout of any route
SEND_TIMEOUT_S: Final = 10.0  # a caller that reads nothing for this long counts as gone
# How long unread bytes are discarded before a close: closing with unread bytes sends a reset,
# which could destroy the response.
LINGER_S: Final = 1.0
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
FAILURE_STATUS: Final = 502  # promises nothing: the request may have run
BACKLOG: Final = 1024
REASONS: Final = {200: b"OK", 202: b"Accepted", 429: b"Too Many Requests"}
HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class CallerRequest(NamedTuple):
    """A complete request.

    ``headers`` has lower-cased names; ``header_lines`` are the name and value pairs as received.
    """

    method: str
    path: str
    headers: dict[str, str]
    header_lines: tuple[tuple[str, str], ...]
    body: bytes


class CallerConnection:
    """One caller's connection. A single greenlet reads requests and writes responses.

    ``head_path`` and ``head_headers`` are those of the last request whose head was read, empty if
    there is none, so that a failure while reading its body can be logged with its id.
    """

    def __init__(self, sock: Any, limits: CallerLimits) -> None:
        self._sock = sock
        self._limits = limits
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_max_bytes)
        self._watcher: Any = None
        self.must_close = False
        self.answered = False
        self._ends_with_connection = False
        self.head_path = ""
        self.head_headers: dict[str, str] = {}

    def read_request(self) -> CallerRequest | None:
        """Return the next request, or None if the connection ended or was idle too long.

        Raises BadRequestError if the request violates the protocol, a size or a time limit.
        """
        if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()
        self.answered = False
        self.head_path, self.head_headers = "", {}
        try:
            head = self._read_head()
            if head is None:
                return None
            return self._read_body(head)
        except h11.RemoteProtocolError as err:
            raise BadRequestError(str(err), err.error_status_hint) from err
        except ValueError as err:
            raise BadRequestError(f"the request can't be parsed: {err}") from err
        except gevent.Timeout as err:
            raise BadRequestError("the request was not complete within its timeout", 408) from err

    def watch_caller(self, on_gone: Callable[[], None]) -> None:
        """Call ``on_gone`` once if the caller closes the connection during its request."""
        self.stop_watching()
        self._watcher = gevent.get_hub().loop.io(self._sock.fileno(), 1)
        self._watcher.start(self._check_caller, on_gone)

    def stop_watching(self) -> None:
        """Stop watching whether the caller closes."""
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def start_response(self, status: int, header_lines: Iterable[tuple[str, str]]) -> None:
        """Send the status and headers of a response.

        Values may have spaces around them and bytes beyond ASCII, decoded as ISO 8859-1.
        """
        headers = [
            (name.encode("ascii"), value.strip(" \t").encode("latin-1"))
            for name, value in header_lines
        ]
        if self.must_close:
            headers.append((b"Connection", b"close"))
        event = h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b""))
        has_length = any(name.lower() == b"content-length" for name, _ in headers)
        self._ends_with_connection = not has_length and self._parser.their_http_version == b"1.0"
        data = self._parser.send(event)
        self.answered = True
        self._send(data)

    def send_data(self, data: bytes) -> None:
        """Send a part of the response's body."""
        self._send(self._parser.send(h11.Data(data=data)))

    def end_response(self) -> None:
        """End the response as complete."""
        self._send(self._parser.send(h11.EndOfMessage()))

    def answer(
        self, status: int, body: bytes = b"", header_lines: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Send a complete response."""
        headers = [*header_lines, ("Content-Length", str(len(body)))]
        try:
            self.start_response(status, headers)
            if body:
                self.send_data(body)
            self.end_response()
        except h11.LocalProtocolError:
            # The parser accepts no response to a request that it could not parse far enough.
            self.must_close = True
            head = f"HTTP/1.1 {status} Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            self._send(head.encode())

    def answer_failure(self, err: Exception, request_id: str = "") -> bool:
        """Log an unexpected error of the request's handler and answer the request.

        A response that has begun is cut visibly. Return whether the connection is still usable.
        Raises an OSError again: the caller's connection broke.
        """
        if isinstance(err, OSError):
            raise err
        report_failure("request", err, request_id=request_id, path=self.head_path)
        if self.answered:
            self.close(abruptly=True)
            return False
        self.must_close = True
        self.answer(FAILURE_STATUS)
        return True

    def can_continue(self) -> bool:
        """Return whether the connection can be used for another request."""
        return (
            not self.must_close
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )

    def close(self, *, abruptly: bool = False) -> None:
        """Close the connection; ``abruptly`` at once, so that the response is cut visibly.

        To a caller that knows no chunks, only a reset shows that.
        """
        self.stop_watching()
        if not abruptly:
            self._linger()
        elif self._ends_with_connection:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._sock.close()

    def _read_head(self) -> h11.Request | None:
        """Wait for the first byte within the idle timeout, then for the headers.

        Return None if the connection ended or nothing came. Raises BadRequestError if the headers
        are too large, and gevent.Timeout if they are not complete in time.
        """
        event = self._parser.next_event()
        if event is h11.NEED_DATA:
            self._sock.settimeout(self._limits.idle_timeout_s)
            try:
                data = self._sock.recv(READ_SIZE_BYTES)
            except OSError:
                return None
            self._parser.receive_data(data)
            event = self._parser.next_event()
        with gevent.Timeout(self._limits.header_timeout_s):
            while event is h11.NEED_DATA:
                event = self._receive()
        if not isinstance(event, h11.Request):
            return None
        size = sum(len(name) + len(value) for name, value in event.headers.raw_items())
        if size + len(event.target) > self._limits.header_max_bytes:
            raise BadRequestError(f"the headers exceed {self._limits.header_max_bytes} bytes", 431)
        return event

    def _read_body(self, head: h11.Request) -> CallerRequest | None:
        """Read the body and return the complete request, or None if the connection ended.

        Raises BadRequestError if the body is too large, and gevent.Timeout after BODY_TIMEOUT_S.
        """
        header_lines = tuple(
            (k.decode("latin-1"), v.decode("latin-1")) for k, v in head.headers.raw_items()
        )
        headers = {name.lower(): value for name, value in header_lines}
        self.head_path, self.head_headers = head.target.decode("latin-1"), headers
        body = bytearray()  # pieces of their own would take many times as much if they are small
        if self._parser.they_are_waiting_for_100_continue:
            self._send(self._parser.send(h11.InformationalResponse(status_code=100, headers=[])))
        with gevent.Timeout(BODY_TIMEOUT_S):
            while True:
                event = self._parser.next_event()
                while event is h11.NEED_DATA:
                    event = self._receive()
                if isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > self._limits.body_max_bytes:
                        raise BadRequestError(
                            f"the body exceeds {self._limits.body_max_bytes} bytes", 413
                        )
                elif isinstance(event, h11.EndOfMessage):
                    break
                else:
                    return None
        method = head.method.decode("latin-1")
        return CallerRequest(method, self.head_path, headers, header_lines, bytes(body))

    def _receive(self) -> Any:
        self._sock.settimeout(None)
        try:
            data = self._sock.recv(READ_SIZE_BYTES)
        except OSError:
            data = b""
        self._parser.receive_data(data)
        return self._parser.next_event()

    def _check_caller(self, on_gone: Callable[[], None]) -> None:
        """Check whether the connection ended; data of a next request ends the watch.

        Runs in the gevent hub.
        """
        try:
            # The plain socket below gevent's socket, because code in the hub must not block.
            gone = not self._sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            gone = True
        self.stop_watching()
        if gone:
            on_gone()

    def _send(self, data: bytes | None) -> None:
        if not data:
            return
        self._sock.settimeout(SEND_TIMEOUT_S)
        self._sock.sendall(data)

    def _linger(self) -> None:
        """Shut down the sending side and discard incoming data for up to LINGER_S."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
            with gevent.Timeout(LINGER_S, False):
                self._sock.settimeout(LINGER_S)
                while self._sock.recv(READ_SIZE_BYTES):
                    pass
        except OSError:
            return


class CallerServer:
    """Listens for callers and runs the handler in one greenlet per connection.

    Connections above ``connections_max`` are closed at once.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handle: Callable[[CallerConnection], None],
        get_limits: Callable[[], CallerLimits],
        connections_max: int,
    ) -> None:
        self._handle = handle
        self._get_limits = get_limits
        self.connections_max = connections_max
        self._server = StreamServer(address, self._serve, backlog=BACKLOG)
        self.connections = 0

    def start(self) -> None:
        """Open the listener."""
        self._server.start()

    def stop_accepting(self) -> None:
        """Close the listener; open connections continue."""
        self._server.close()

    def _serve(self, sock: Any, _peer: Any) -> None:
        if self.connections >= self.connections_max:
            sock.close()
            return
        self.connections += 1
        connection = CallerConnection(sock, self._get_limits())
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._handle(connection)
        except OSError as err:
            logger.bind(error=str(err)).debug("caller_connection_broke")
        except Exception as err:
            report_failure("caller_connection", err, path=connection.head_path)
        finally:
            self.connections -= 1
            connection.stop_watching()
            sock.close()
