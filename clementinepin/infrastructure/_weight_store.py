"""HTTP client of the platform's weight store."""

from __future__ import annotations

from clementinepin.config import Settings
from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure._http import HttpClient
from clementinepin.infrastructure.exceptions import PlatformUnavailableError
from clementinepin.infrastructure.models import WeightStore

STATUS_OK = 200
STATUS_TOO_MANY_REQUESTS = 429
RETRY_DEFAULT_S = 5.0
RETRY_MAX_S = 600.0


class HttpWeightStore:
    """WeightStore over HTTP; the store limits the rate of loads."""

    def __init__(self, address: str, clock: Clock) -> None:
        self._client = HttpClient(address, clock)
        self._clock = clock

    def check_rate(self, path: str) -> float:
        """Return the earliest time, in wall-clock seconds, at which a load of the path may start.

        Raise PlatformUnavailableError if the store can't be reached or returns another status.
        """
        response = self._client.fetch("HEAD", path)
        if response.status == STATUS_OK:
            return self._clock.wall()
        if response.status == STATUS_TOO_MANY_REQUESTS:
            return self._clock.wall() + parse_retry_after(response.retry_after)
        raise PlatformUnavailableError(f"weight store responded with status {response.status}")


def parse_retry_after(value: str | None) -> float:
    """Return the seconds to wait; RETRY_DEFAULT_S if the value is missing or not an integer."""
    if value is None or not value.strip().isdecimal():
        return RETRY_DEFAULT_S
    return min(float(value), RETRY_MAX_S)


def create_weight_store(settings: Settings, clock: Clock) -> WeightStore:
    """Return a client of the weight store at the address in the settings."""
    return HttpWeightStore(settings.platform.weight_store, clock)
