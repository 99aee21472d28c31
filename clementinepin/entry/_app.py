"""WSGI application: routes, authorizes and handles requests.

Every failure becomes a response with an error envelope.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Any, Final

from loguru import logger

from clementinepin.core import Core
from clementinepin.entry._auth import Authenticator
from clementinepin.entry._budget import BodyBudget
from clementinepin.entry._drain import DrainGate
from clementinepin.entry._envelope import make_error_response
from clementinepin.entry._http import Request, Response
from clementinepin.entry._router import Access, Router
from clementinepin.entry.exceptions import InternalFaultError
from clementinepin.exceptions import ClementinepinError

LOG_PREFIX: Final = "entry:"
# Memory for all request bodies of this process, in bodies of the maximum size.
FULL_SIZE_BODIES_MAX: Final = 8
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class EntryApp:
    """The WSGI application of one instance."""

    def __init__(
        self, core: Core, router: Router, authenticator: Authenticator, gate: DrainGate
    ) -> None:
        self._core = core
        self._router = router
        self._authenticator = authenticator
        self._gate = gate
        self.budget = BodyBudget(core.settings.limits.body_max_bytes * FULL_SIZE_BODIES_MAX)

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Handle one request and return the pieces of its response body."""
        body_max_bytes = self._core.settings.limits.body_max_bytes
        request = Request(environ, self._core.clock, body_max_bytes, self.budget)
        response = self._respond(request)
        headers = list(response.headers)
        if self._core.draining or environ.get("clementinepin.close"):
            headers.append(("Connection", "close"))
            environ["clementinepin.close"] = True
        phrase = _get_phrase(response.status)
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
        start_response(f"{response.status} {phrase}", headers)
        return [response.body] if isinstance(response.body, bytes) else response.body

    def _respond(self, request: Request) -> Response:
        """Return the response to a request; every exception becomes an error response."""
        metrics = self._core.metrics
        metrics.incr("entry.requests")
        try:
            return self._dispatch(request)
        except ClementinepinError as err:
            metrics.incr(f"entry.errors.{err.code}")
            return make_error_response(err, self._core.clock.wall())
        except Exception as err:
            logger.opt(exception=err).error(
                "{} Request failed with an unexpected error.", LOG_PREFIX
            )
            metrics.incr("entry.errors.internal_error")
            return make_error_response(
                InternalFaultError("an internal error occurred; see the log of the instance"),
                self._core.clock.wall(),
            )

    def _dispatch(self, request: Request) -> Response:
        route, request.params = self._router.find(request.method, request.path)
        if route.access is not Access.OPEN:
            self._authenticator.authorize(request, route.access)
            if not request.is_operator:
                self._gate.check(route.pattern)
        started_at = self._core.clock.monotonic()
        response = route.handler(request)
        if isinstance(response.body, bytes):
            self._gate.record_run(route.pattern, started_at)
            return response
        return response._replace(body=self._record_end(response.body, route.pattern, started_at))

    def _record_end(
        self, pieces: Iterator[bytes], pattern: str, started_at: float
    ) -> Iterator[bytes]:
        """Yield the pieces of a body, and record the run when all are sent."""
        yield from pieces
        self._gate.record_run(pattern, started_at)


def _get_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
