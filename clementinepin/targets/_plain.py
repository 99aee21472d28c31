"""HTTP client for one plain service; response bodies are streamed in pieces."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final, NamedTuple

from clementinepin.helpers.clock import Clock
from clementinepin.targets._engine import HEADER_NOT_ADMITTED, REFUSED_STATUS, raise_for_status
from clementinepin.targets._exchange import HttpExchange, HttpRequest, Transport
from clementinepin.targets.models import TargetAddress

HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class PlainRequest(NamedTuple):
    """A call to a plain service. ``path`` includes the query; ``deadline`` is monotonic."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float
    idempotent: bool


class PlainResponse(NamedTuple):
    """A response. Iterating ``body`` raises TargetLostError if it is cut short."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]


class PlainService:
    """Client for a plain HTTP service."""

    def __init__(self, address: TargetAddress, clock: Clock) -> None:
        self._transport = Transport(address, clock)

    def call(self, request: PlainRequest) -> PlainResponse:
        """Send the request once and return after the headers of the response arrived.

        A non-idempotent call gets a new connection. Raises TargetRefusedError if the target
        refused before admission, and TargetNotReachedError or TargetLostError.
        """
        exchange = self._transport.send(
            HttpRequest(
                method=request.method,
                path=request.path,
                headers=request.headers,
                body=request.body,
                deadline=request.deadline,
                fresh=not request.idempotent,
            )
        )
        if exchange.status == REFUSED_STATUS and exchange.headers.get(HEADER_NOT_ADMITTED):
            raise_for_status(exchange)
        headers = tuple(
            (name, value)
            for name, value in exchange.header_lines
            if name.lower() not in HOP_HEADERS
        )
        return PlainResponse(exchange.status, headers, _read_pieces(exchange))

    def close(self) -> None:
        """Close idle connections."""
        self._transport.close()


def create_plain_service(address: TargetAddress, clock: Clock) -> PlainService:
    """Return the client for one plain service."""
    return PlainService(address, clock)


def _read_pieces(exchange: HttpExchange) -> Iterator[bytes]:
    try:
        while data := exchange.read():
            yield data
    finally:
        exchange.close()
