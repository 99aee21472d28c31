"""The store over HTTP: HEAD and GET of any path, within the limit."""

from __future__ import annotations

import math

from gevent.pywsgi import WSGIServer

from clementinepin.helpers.clock import Clock
from standins._http import Environ, StartResponse, answer_empty, create_http_server
from standins.weight_store._limit import LoadLimit


class _Application:
    def __init__(self, limit: LoadLimit) -> None:
        self._limit = limit

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        if environ["REQUEST_METHOD"] not in ("HEAD", "GET"):
            return answer_empty(start_response, "405 Method Not Allowed")
        wait_s = self._limit.take()
        if wait_s > 0:
            headers = [("Retry-After", str(math.ceil(wait_s)))]
            return answer_empty(start_response, "429 Too Many Requests", headers)
        return answer_empty(start_response, "200 OK")


def create_server(host: str, port: int, clock: Clock, loads_per_s: float) -> WSGIServer:
    """Return the server, not yet started."""
    return create_http_server(host, port, _Application(LoadLimit(clock, loads_per_s)))
