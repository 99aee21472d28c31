"""Routes from method and path to the handler of a resource."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Final, NamedTuple

from clementinepin.entry._http import Request, Response
from clementinepin.entry.exceptions import MethodNotAllowedError, RouteNotFoundError

Handler = Callable[[Request], Response]
REST_SEGMENT: Final = "{rest}"


class Access(StrEnum):
    """The kind of key that a route requires."""

    OPEN = "open"
    ACCOUNT = "account"
    OPERATOR = "operator"
    EITHER = "either"


class Route(NamedTuple):
    """A route. ``{name}`` matches one path segment, ``{rest}`` all that follow."""

    method: str
    pattern: str
    access: Access
    handler: Handler


class Router:
    """Finds the route of a request."""

    def __init__(self, routes: list[Route]) -> None:
        self._routes = [(route, tuple(route.pattern.split("/"))) for route in routes]

    def find(self, method: str, path: str) -> tuple[Route, dict[str, str]]:
        """Return the route and its parameters.

        Raise RouteNotFoundError if no route has the path, MethodNotAllowedError if only routes
        with other methods have it.
        """
        segments = path.split("/")
        allowed: list[str] = []
        for route, pattern in self._routes:
            params = _match(pattern, segments)
            if params is None:
                continue
            if route.method in (method, "*"):
                return route, params
            allowed.append(route.method)
        if allowed:
            raise MethodNotAllowedError(
                f"method {method} is not allowed; use {', '.join(sorted(allowed))}"
            )
        raise RouteNotFoundError(f"resource {path[:200]} does not exist")


def _match(pattern: tuple[str, ...], segments: list[str]) -> dict[str, str] | None:
    """Return the parameters of a path, or None if it does not match the pattern."""
    params: dict[str, str] = {}
    for index, part in enumerate(pattern):
        if part == REST_SEGMENT:
            params["rest"] = "/".join(segments[index:])
            return params
        if index >= len(segments):
            return None
        segment = segments[index]
        if part.startswith("{") and segment:
            params[part[1:-1]] = segment
        elif part != segment:
            return None
    return params if len(pattern) == len(segments) else None
