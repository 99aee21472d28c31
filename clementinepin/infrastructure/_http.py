"""HTTP reads from platform services, limited in time and size."""

from __future__ import annotations

from typing import Final, NamedTuple

from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure.exceptions import PlatformUnavailableError
from clementinepin.targets import HttpRequest, TargetAddress, Transport
from clementinepin.targets.exceptions import TargetLostError, TargetNotReachedError

TIMEOUT_S: Final = 3.0  # for the whole call
RESPONSE_MAX_BYTES: Final = 16_000_000


class HttpResponse(NamedTuple):
    """Status, the header ``Retry-After`` (None if absent) and the body of a response."""

    status: int
    retry_after: str | None
    body: bytes


class HttpClient:
    """Reads from the service at ``address``, which is ``IP:PORT``."""

    def __init__(self, address: str, clock: Clock) -> None:
        host, _, port = address.rpartition(":")
        self._clock = clock
        self._transport = Transport(TargetAddress(address, host.strip("[]"), int(port)), clock)

    def fetch(self, method: str, path: str) -> HttpResponse:
        """Send a GET or HEAD request and return the response.

        Raise PlatformUnavailableError if there is no response in time or it is too large.
        """
        request = HttpRequest(method, path, deadline=self._clock.monotonic() + TIMEOUT_S)
        try:
            exchange = self._transport.send(request)
            body = exchange.read_all(RESPONSE_MAX_BYTES)
        except (TargetNotReachedError, TargetLostError) as err:
            raise PlatformUnavailableError(f"{method} {path}: {err}") from err
        return HttpResponse(exchange.status, exchange.headers.get("retry-after"), body)

    def close(self) -> None:
        """Close idle connections."""
        self._transport.close()
