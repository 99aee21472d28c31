"""Client of the platform's weight store."""

from __future__ import annotations

from clementinepin.config import Settings
from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure._http import create_http_reader, fetch_answer
from clementinepin.infrastructure.exceptions import PlatformUnavailableError
from clementinepin.infrastructure.models import WeightStore

STATUS_OK = 200
STATUS_TOO_MANY_REQUESTS = 429
RETRY_DEFAULT_S = 5.0
RETRY_MAX_S = 600.0


class HttpWeightStore:
    """Asks the store before a load."""

    def __init__(self, address: str, clock: Clock) -> None:
        self._client = create_http_reader(address)
        self._clock = clock

    def check_rate(self, path: str) -> float:
        """Return the wall-clock time from which a load of the path may start."""
        answer = fetch_answer(self._client, "HEAD", path)
        if answer.status == STATUS_OK:
            return self._clock.wall()
        if answer.status == STATUS_TOO_MANY_REQUESTS:
            return self._clock.wall() + parse_retry_after(answer.retry_after)
        raise PlatformUnavailableError(f"weight store answered {answer.status}")


def parse_retry_after(value: str | None) -> float:
    """Return the seconds to wait; a missing or odd value gives a default."""
    if value is None or not value.strip().isdecimal():
        return RETRY_DEFAULT_S
    return min(float(value), RETRY_MAX_S)


def create_weight_store(settings: Settings, clock: Clock) -> WeightStore:
    """Return a client of the store named in the settings."""
    return HttpWeightStore(settings.platform.weight_store, clock)
