"""Rate limit of the weight store."""

from __future__ import annotations

from clementinepin.helpers.clock import Clock


class LoadLimit:
    """Allows one load every ``1 / loads_per_s`` seconds."""

    def __init__(self, clock: Clock, loads_per_s: float) -> None:
        self._clock = clock
        self._gap_s = 1.0 / loads_per_s
        self._next_at = 0.0

    def acquire(self) -> float:
        """Return 0.0 if a load may start now, and count it; otherwise the seconds to wait."""
        now = self._clock.monotonic()
        if now < self._next_at:
            return self._next_at - now
        self._next_at = now + self._gap_s
        return 0.0


class MemoryWeightStore:
    """Implements the HTTP client's Protocol over a rate limit in the same process."""

    def __init__(self, clock: Clock, loads_per_s: float = 1000.0) -> None:
        self._clock = clock
        self._limit = LoadLimit(clock, loads_per_s)

    def check_rate(self, path: str) -> float:
        """Return the wall-clock time from which a load may start."""
        return self._clock.wall() + self._limit.acquire()
