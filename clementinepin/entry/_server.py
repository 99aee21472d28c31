"""HTTP server of the entry: gevent's server with limits on connections, headers and time."""

from __future__ import annotations

import ssl
import struct
from http.client import HTTPException
from typing import Any, Final, Protocol

import gevent
from gevent import pywsgi, socket
from loguru import logger

from clementinepin.entry._envelope import make_raw_error
from clementinepin.entry.exceptions import (
    ConnectionsExhaustedError,
    HeadersRejectedError,
    HeaderTimeoutError,
)
from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.clock import Clock

LOG_PREFIX: Final = "entry:"
HEADERS_MAX_BYTES: Final = 32_768
CHUNKED: Final = "chunked"
# Time that an idle connection is kept open.
KEEP_ALIVE_S: Final = 60.0
# Timeout of a single read or write during a request.
STALL_TIMEOUT_S: Final = 20.0
REJECTION_TIMEOUT_S: Final = 1.0
REJECTION_RETRY_S: Final = 1.0
# Rejections that are sent at the same time; further connections are closed without one.
REJECTIONS_MAX: Final = 64
# Bounds on the time and the bytes that are read and discarded before a connection is closed.
LINGER_S: Final = 1.0
LINGER_MAX_BYTES: Final = 8_000_000
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
READ_SIZE_BYTES: Final = 65_536


class _HeaderTimeout(gevent.Timeout):
    """The header section was not received in time."""


class _LineReader(Protocol):
    def readline(self, limit: int = -1) -> bytes: ...


class _LimitedHeaderReader:
    """Reader of a header section that raises an error above HEADERS_MAX_BYTES."""

    def __init__(self, source: _LineReader) -> None:
        self._source = source
        self._remaining_bytes = HEADERS_MAX_BYTES

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line; raise HeadersRejectedError above HEADERS_MAX_BYTES."""
        line = self._source.readline(self._remaining_bytes + 1)
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise HeadersRejectedError(f"the headers are larger than {HEADERS_MAX_BYTES} bytes")
        return line


class EntryHandler(pywsgi.WSGIHandler):
    """Handles the requests of one connection."""

    server: EntryServer

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Parse the headers through a reader that limits their size."""
        return pywsgi.headers_factory(_LimitedHeaderReader(self.rfile), *args[1:])

    def handle_one_request(self) -> Any:
        """Handle one request; respond with HeaderTimeoutError if its headers arrive too slowly."""
        if not self._wait_for_request():
            return None
        timeout = _HeaderTimeout.start_new(self.server.header_timeout_s)
        self._header_timer = timeout
        try:
            return super().handle_one_request()
        except _HeaderTimeout as err:
            if err is not timeout:
                raise
            self._reject(HeaderTimeoutError("the header section was not received in time"))
            return None
        finally:
            timeout.close()

    def read_request(self, raw_requestline: str) -> Any:
        """Parse a request; raise HeadersRejectedError if the length of its body is ambiguous."""
        result = super().read_request(raw_requestline)
        if len(self.headers.get_all("Content-Length", [])) > 1:
            raise HeadersRejectedError("the request has more than one Content-Length")
        encoding = self.headers.get("Transfer-Encoding", CHUNKED)
        if encoding.lower() != CHUNKED:
            raise HeadersRejectedError(f"Transfer-Encoding {encoding[:40]!r} is not supported")
        return result

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment, with the raw path that services are sent unchanged."""
        self._header_timer.close()
        environ: dict[str, Any] = super().get_environ()
        environ["clementinepin.raw_path"] = self.path
        return environ

    def handle_one_response(self) -> None:
        """Handle the response of one request and count it while it is in flight."""
        self.server.active += 1
        try:
            super().handle_one_response()
        finally:
            self.server.active -= 1
            finish = self.environ.get("clementinepin.finish")
            if finish is not None:
                finish()
        if self.environ.get("clementinepin.close"):
            linger(self.socket)

    def run_application(self) -> None:
        """Run the application; skip the unread body if the connection is to be closed."""
        try:
            super().run_application()
        finally:
            if self.environ.get("clementinepin.close"):
                self.close_connection = True
                self.wsgi_input.position = self.content_length or 0
                self.wsgi_input.chunked_input = False

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Close the connection on a failure during the response, so that the caller detects it."""
        self.close_connection = True
        if isinstance(v, ClementinepinError):
            logger.info("{} Response aborted: {}.", LOG_PREFIX, v.code)
        else:
            logger.opt(exception=v).warning("{} Response aborted.", LOG_PREFIX)
        if not self.headers_sent:
            self._send_error_response_if_possible(500)
        elif not self.response_use_chunked and self.provided_content_length is None:
            # To a caller that knows no chunks, only a reset shows that the response broke off.
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def _sendall(self, data: bytes | bytearray) -> None:
        """Send all data, with one call if the kernel accepts all of it, as it does for an event."""
        try:
            sent = self.socket.send(data)
            if sent < len(data):
                self.socket.sendall(memoryview(data)[sent:])
        except OSError:
            self.close_connection = True
            raise
        self.response_length += len(data)

    def _wait_for_request(self) -> bool:
        """Wait for the first byte of a request; return False if none arrives in KEEP_ALIVE_S."""
        try:
            self.socket.settimeout(KEEP_ALIVE_S)
            first = self.rfile.peek(1)
            self.socket.settimeout(STALL_TIMEOUT_S)
        except (OSError, ValueError):
            return False
        return bool(first)

    def _handle_client_error(self, ex: BaseException) -> None:
        """Reject a request that was not parsed. Returning None ends the connection."""
        if isinstance(ex, ClementinepinError):
            self._reject(ex)
            return
        if not isinstance(ex, (ValueError, HTTPException, OSError)):
            logger.opt(exception=ex).warning("{} Failed to parse a request.", LOG_PREFIX)
        self._reject(HeadersRejectedError("the request line or headers are malformed"))

    def _reject(self, err: ClementinepinError) -> None:
        """Send the error for a request that was not parsed."""
        self.server.rejected += 1
        try:
            self.socket.sendall(make_raw_error(err))
        except OSError as send_error:
            logger.debug("{} Failed to send a rejection: {}.", LOG_PREFIX, send_error)
        linger(self.socket)


class EntryServer(pywsgi.WSGIServer):
    """Server with a limit on connections; more connections get ConnectionsExhaustedError.

    ``connections`` and ``active`` count open connections and requests in flight. ``rejected`` and
    ``refused`` count requests that were not parsed and connections above the limit.
    """

    handler_class = EntryHandler

    def __init__(
        self,
        listener: tuple[str, int],
        application: Any,
        clock: Clock,
        *,
        connections_max: int,
        header_timeout_s: float,
        tls: ssl.SSLContext | None,
    ) -> None:
        options = {"ssl_context": tls} if tls is not None else {}
        super().__init__(
            listener,
            application,
            log=None,
            error_log=None,
            environ={"SERVER_NAME": listener[0]},
            **options,
        )
        self._clock = clock
        self._connections_max = connections_max
        self.header_timeout_s = header_timeout_s
        self.connections = 0
        self.active = 0
        self.rejected = 0
        self.refused = 0
        self._rejecting = 0

    def wrap_socket_and_handle(self, client_socket: Any, address: Any) -> Any:
        """Do the TLS handshake within ``header_timeout_s``.

        Above the connection limit, the connection is closed before the handshake.
        """
        if self.connections >= self._connections_max:
            self.refused += 1
            client_socket.close()
            return None
        client_socket.settimeout(self.header_timeout_s)
        try:
            return super().wrap_socket_and_handle(client_socket, address)
        except OSError as err:
            logger.debug("{} TLS handshake failed: {}.", LOG_PREFIX, err)
            client_socket.close()
            return None

    def handle(self, sock: Any, address: Any) -> None:
        """Serve a connection, or reject it above the connection limit."""
        if self.connections >= self._connections_max:
            self._reject_connection(sock)
            return
        self.connections += 1
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            super().handle(sock, address)
        except OSError as err:
            logger.debug("{} Connection failed: {}.", LOG_PREFIX, err)
        finally:
            self.connections -= 1

    def _reject_connection(self, sock: Any) -> None:
        """Send the error without reading the request, which therefore has not run."""
        self.refused += 1
        if self._rejecting >= REJECTIONS_MAX:
            sock.close()
            return
        self._rejecting += 1
        retry_at = self._clock.wall() + REJECTION_RETRY_S
        err = ConnectionsExhaustedError(
            "this instance has reached its connection limit", retry_at=retry_at
        )
        try:
            sock.settimeout(REJECTION_TIMEOUT_S)
            sock.sendall(make_raw_error(err))
            linger(sock)
        except OSError as send_error:
            logger.debug("{} Failed to send a rejection: {}.", LOG_PREFIX, send_error)
        finally:
            self._rejecting -= 1
            sock.close()


def linger(sock: Any) -> None:
    """Shut down our side of the connection and discard what the caller still sends.

    Closing a connection with unread bytes would reset it, and the caller might lose the response.
    LINGER_S and LINGER_MAX_BYTES limit the wait.
    """
    timeout = gevent.Timeout.start_new(LINGER_S, TimeoutError)
    remaining_bytes = LINGER_MAX_BYTES
    try:
        sock.shutdown(socket.SHUT_WR)
        while remaining_bytes > 0:
            data = sock.recv(READ_SIZE_BYTES)
            if not data:
                return
            remaining_bytes -= len(data)
    except OSError:
        return
    finally:
        timeout.close()


def create_tls(certificate: str | None, key: str | None) -> ssl.SSLContext | None:
    """Return the TLS context of the server, or None if there is no certificate."""
    if not certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(certificate, key)
    return context
