"""Small WSGI layer that the HTTP stand-ins share."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

import msgspec
from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer


class StreamCutError(Exception):
    """Raised by a stand-in to close the connection without ending the response."""


class Request(NamedTuple):
    """One request; header names are lower-case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    connection: socket.socket | None = None

    def is_disconnected(self) -> bool:
        """Return whether the client has closed the connection."""
        if self.connection is None:
            return False
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            return self.connection._sock.recv(1, flags) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def json(self) -> Any:
        """Return the decoded JSON body; an empty one counts as an empty object."""
        return msgspec.json.decode(self.body or b"{}")


class Response(NamedTuple):
    """One response; a body that is not bytes is streamed piece by piece."""

    status: int
    body: bytes | Iterable[bytes] = b""
    content_type: str = "application/json"
    headers: list[tuple[str, str]] = []

    @classmethod
    def from_json(cls, value: object, status: int = 200) -> Response:
        """Return a JSON response."""
        return cls(status, msgspec.json.encode(value))


class _Handler(WSGIHandler):
    def handle(self) -> None:
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ["standin.socket"] = self.socket
        return environ

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        if isinstance(v, StreamCutError):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


def read_request(environ: dict[str, Any]) -> Request:
    """Return the request in a WSGI environment."""
    headers = {
        name.removeprefix("HTTP_").replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
    body = environ["wsgi.input"].read()
    connection = environ.get("standin.socket")
    return Request(
        environ["REQUEST_METHOD"], environ["PATH_INFO"], query, headers, body, connection
    )


def create_app(route: Callable[[Request], Response]) -> Callable[..., Any]:
    """Return a WSGI application that calls ``route`` for each request."""

    def app(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        response = route(read_request(environ))
        headers = [("Content-Type", response.content_type), *response.headers]
        is_bytes = isinstance(response.body, bytes)
        if is_bytes:
            headers.append(("Content-Length", str(len(response.body))))  # type: ignore[arg-type]
        phrase = HTTPStatus(response.status).phrase
        start_response(f"{response.status} {phrase}", headers)
        return [response.body] if is_bytes else response.body  # type: ignore[list-item, return-value]

    return app


def create_server(port: int, app: Callable[..., Any], address: str = "127.0.0.1") -> WSGIServer:
    """Return a server, not yet started, that writes no access log."""
    return WSGIServer((address, port), app, log=None, handler_class=_Handler)
