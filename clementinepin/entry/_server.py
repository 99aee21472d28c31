"""HTTP server of the entry: bounds on connections, headers and time around gevent's server."""

from __future__ import annotations

import ssl
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
KEEP_ALIVE_S: Final = 60.0
STALL_TIMEOUT_S: Final = 20.0
REFUSAL_TIMEOUT_S: Final = 1.0
REFUSAL_RETRY_S: Final = 1.0
REFUSALS_MAX: Final = 64
LINGER_S: Final = 1.0
DISCARD_MAX_BYTES: Final = 8_000_000
READ_SIZE_BYTES: Final = 65_536


class _SlowHeadersTimeout(gevent.Timeout):
    """The header section took too long."""


class _LineReader(Protocol):
    def readline(self, limit: int = -1) -> bytes: ...


class _BoundedHeaders:
    """Reader of a header section that ends with an error above the limit."""

    def __init__(self, source: _LineReader) -> None:
        self._source = source
        self._left = HEADERS_MAX_BYTES

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line; raises HeadersRejectedError above the limit."""
        line = self._source.readline(self._left + 1)
        self._left -= len(line)
        if self._left < 0:
            raise HeadersRejectedError(f"headers are larger than {HEADERS_MAX_BYTES} bytes")
        return line


class EntryHandler(pywsgi.WSGIHandler):
    """Handles one connection."""

    server: EntryServer

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Parse headers from a bounded reader."""
        return pywsgi.headers_factory(_BoundedHeaders(self.rfile), *args[1:])

    def handle_one_request(self) -> Any:
        """Handle one request; a slow header section gets a typed answer."""
        if not self._wait_for_request():
            return None
        timeout = _SlowHeadersTimeout.start_new(self.server.header_timeout_s)
        self._header_timer = timeout
        try:
            return super().handle_one_request()
        except _SlowHeadersTimeout as err:
            if err is not timeout:
                raise
            self._reject(HeaderTimeoutError("the header section came too slowly"))
            return None
        finally:
            timeout.close()

    def read_request(self, raw_requestline: str) -> Any:
        """Parse a request; one whose body has no certain end is refused."""
        result = super().read_request(raw_requestline)
        if len(self.headers.get_all("Content-Length", [])) > 1:
            raise HeadersRejectedError("the request has more than one Content-Length")
        encoding = self.headers.get("Transfer-Encoding", CHUNKED)
        if encoding.lower() != CHUNKED:
            raise HeadersRejectedError(f"Transfer-Encoding {encoding[:40]!r} is not known")
        return result

    def get_environ(self) -> dict[str, Any]:
        """Return the environment; the raw path is kept for services."""
        self._header_timer.close()
        environ: dict[str, Any] = super().get_environ()
        environ["clementinepin.raw_path"] = self.path
        return environ

    def handle_one_response(self) -> None:
        """Answer one request and count it while it is in flight."""
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
        """Run the application; an unread body of a refused request is not read to its end."""
        try:
            super().run_application()
        finally:
            if self.environ.get("clementinepin.close"):
                self.close_connection = True
                self.wsgi_input.position = self.content_length or 0
                self.wsgi_input.chunked_input = False

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Close the connection on a failure behind the headers; the caller sees it cut."""
        self.close_connection = True
        if isinstance(v, ClementinepinError):
            logger.info("{} Answer cut short: {}.", LOG_PREFIX, v.code)
        else:
            logger.opt(exception=v).warning("{} Answer cut short.", LOG_PREFIX)
        if not self.headers_sent:
            self._send_error_response_if_possible(500)

    def _sendall(self, data: bytes | bytearray) -> None:
        """Send with one call where the kernel takes all, as it does for an event."""
        try:
            sent = self.socket.send(data)
            if sent < len(data):
                self.socket.sendall(memoryview(data)[sent:])
        except OSError:
            self.close_connection = True
            raise
        self.response_length += len(data)

    def _wait_for_request(self) -> bool:
        """Wait for the first byte of a request; return False when none comes."""
        try:
            self.socket.settimeout(KEEP_ALIVE_S)
            first = self.rfile.peek(1)
            self.socket.settimeout(STALL_TIMEOUT_S)
        except (OSError, ValueError):
            return False
        return bool(first)

    def _handle_client_error(self, ex: BaseException) -> None:
        if isinstance(ex, ClementinepinError):
            self._reject(ex)
            return
        if not isinstance(ex, (ValueError, HTTPException, OSError)):
            logger.opt(exception=ex).warning("{} Request not parsed.", LOG_PREFIX)
        self._reject(HeadersRejectedError("the request line or headers are malformed"))

    def _reject(self, err: ClementinepinError) -> None:
        """Answer a request that was not parsed; returns None, which ends the connection."""
        self.server.rejected += 1
        try:
            self.socket.sendall(make_raw_error(err))
        except OSError as problem:
            logger.debug("{} Refusal not sent: {}.", LOG_PREFIX, problem)
        linger(self.socket)


class EntryServer(pywsgi.WSGIServer):
    """Server with a bound on connections; more than that get a typed refusal."""

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
        self._refusing = 0

    def wrap_socket_and_handle(self, client_socket: Any, address: Any) -> Any:
        """Do the TLS handshake within the time for headers."""
        if self.connections >= self._connections_max:
            self.refused += 1
            client_socket.close()
            return None
        client_socket.settimeout(self.header_timeout_s)
        try:
            return super().wrap_socket_and_handle(client_socket, address)
        except OSError as err:
            logger.debug("{} Handshake failed: {}.", LOG_PREFIX, err)
            client_socket.close()
            return None

    def handle(self, sock: Any, address: Any) -> None:
        """Serve a connection, or refuse it above the bound."""
        if self.connections >= self._connections_max:
            self._refuse(sock)
            return
        self.connections += 1
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            super().handle(sock, address)
        except OSError as err:
            logger.debug("{} Connection broke: {}.", LOG_PREFIX, err)
        finally:
            self.connections -= 1

    def _refuse(self, sock: Any) -> None:
        """Send the refusal before reading the request: nothing of it has run."""
        self.refused += 1
        if self._refusing >= REFUSALS_MAX:
            sock.close()
            return
        self._refusing += 1
        retry_at = self._clock.wall() + REFUSAL_RETRY_S
        err = ConnectionsExhaustedError("this instance has no connection left", retry_at=retry_at)
        try:
            sock.settimeout(REFUSAL_TIMEOUT_S)
            sock.sendall(make_raw_error(err))
            linger(sock)
        except OSError as problem:
            logger.debug("{} Refusal not sent: {}.", LOG_PREFIX, problem)
        finally:
            self._refusing -= 1
            sock.close()


def linger(sock: Any) -> None:
    """End our side and discard what still comes, for a moment.

    Closing with unread bytes would reset the connection, and the caller might lose the answer.
    """
    timeout = gevent.Timeout.start_new(LINGER_S, TimeoutError)
    left = DISCARD_MAX_BYTES
    try:
        sock.shutdown(socket.SHUT_WR)
        while left > 0:
            data = sock.recv(READ_SIZE_BYTES)
            if not data:
                return
            left -= len(data)
    except OSError:
        return
    finally:
        timeout.close()


def create_tls(certificate: str | None, key: str | None) -> ssl.SSLContext | None:
    """Return the TLS context of the server, or None without a certificate."""
    if not certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(certificate, key)
    return context
