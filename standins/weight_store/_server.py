"""HTTP server of the weight store: HEAD and GET of any path, within the rate limit."""

from __future__ import annotations

import math

from gevent.pywsgi import WSGIServer

from clementinepin.helpers.clock import Clock
from standins.web import Request, Response, create_app
from standins.web import create_server as create_http_server
from standins.weight_store._limit import LoadLimit


class _Application:
    def __init__(self, limit: LoadLimit) -> None:
        self._limit = limit

    def route(self, request: Request) -> Response:
        """Answer one request."""
        if request.method not in ("HEAD", "GET"):
            return Response(405)
        wait_s = self._limit.acquire()
        if wait_s > 0:
            return Response(429, headers=[("Retry-After", str(math.ceil(wait_s)))])
        return Response(200)


def create_server(host: str, port: int, clock: Clock, loads_per_s: float) -> WSGIServer:
    """Return the server, not yet started."""
    application = _Application(LoadLimit(clock, loads_per_s))
    return create_http_server(port, create_app(application.route), host)
