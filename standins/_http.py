"""Small parts that the HTTP stand-ins share."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from gevent.pywsgi import WSGIServer

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]


def read_json(environ: Environ) -> Any:
    """Return the decoded body of a request."""
    return msgspec.json.decode(environ["wsgi.input"].read())


def answer_json(start_response: StartResponse, value: Any, status: str = "200 OK") -> list[bytes]:
    """Answer with a JSON body."""
    body = msgspec.json.encode(value)
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]


def answer_empty(
    start_response: StartResponse, status: str, headers: list[tuple[str, str]] | None = None
) -> list[bytes]:
    """Answer without a body."""
    start_response(status, [*(headers or []), ("Content-Length", "0")])
    return [b""]


def create_http_server(host: str, port: int, application: Application) -> WSGIServer:
    """Return a quiet server; port 0 takes a free one."""
    return WSGIServer((host, port), application, log=None)
