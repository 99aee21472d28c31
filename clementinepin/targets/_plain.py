"""HTTP client for one plain service; response bodies are streamed in pieces."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

from clementinepin.helpers.clock import Clock
from clementinepin.targets._connection import Dialer
from clementinepin.targets._engine import HEADER_NOT_ADMITTED, REFUSED_STATUS, raise_for_status
from clementinepin.targets._exchange import HttpExchange, HttpRequest
from clementinepin.targets._transport import Transport
from clementinepin.targets.exceptions import TargetLinkLostError, TargetLostError
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

    def __init__(self, address: TargetAddress, clock: Clock, dialer: Dialer | None = None) -> None:
        self._clock = clock
        self._transport = Transport(address, clock, dialer)

    def call(self, request: PlainRequest) -> PlainResponse:
        """Send the request once and return after the headers of the response arrived.

        Each call has a connection of its own, as the response names no request. Raises
        TargetRefusedError if the target refused before admission, and TargetNotReachedError or
        TargetLostError.
        """
        message = HttpRequest(
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            deadline=request.deadline,
            fresh=True,
        )
        with self._check_link(request.deadline):
            exchange = self._transport.send(message)
        exchange.retire_connection()
        if exchange.status == REFUSED_STATUS and exchange.headers.get(HEADER_NOT_ADMITTED):
            raise_for_status(exchange)
        headers = tuple(
            (name, value)
            for name, value in exchange.header_lines
            if name.lower() not in HOP_HEADERS
        )
        return PlainResponse(
            exchange.status, headers, self._read_pieces(exchange, request.deadline)
        )

    def _read_pieces(self, exchange: HttpExchange, deadline: float) -> Iterator[bytes]:
        try:
            with self._check_link(deadline):
                while data := exchange.read():
                    yield data
        finally:
            exchange.close()

    @contextmanager
    def _check_link(self, deadline: float) -> Iterator[None]:
        """Raise TargetLinkLostError in place of a loss that only the own link caused."""
        try:
            yield
        except TargetLostError as err:
            if self._clock.monotonic() < deadline and self._transport.is_link_lost(err):
                raise TargetLinkLostError(f"the link failed: {err.message}") from err
            raise

    def close(self) -> None:
        """Close idle connections."""
        self._transport.close()


def create_plain_service(
    address: TargetAddress, clock: Clock, dialer: Dialer | None = None
) -> PlainService:
    """Return the client for one plain service; without ``dialer`` it uses the own links only."""
    return PlainService(address, clock, dialer)
