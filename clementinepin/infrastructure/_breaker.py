"""Circuit breaker: after repeated failures only single probes pass, at increasing intervals."""

from __future__ import annotations

import random

FAILURES_MAX = 5
OPEN_MIN_S = 0.25
OPEN_MAX_S = 5.0
PROBE_TIMEOUT_S = 10.0


class CircuitBreaker:
    """Closed, open until ``open_until``, or half-open with one probe in flight.

    Times are monotonic seconds.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._failures = 0
        self._next_open_s = OPEN_MIN_S
        self.open_until = 0.0

    @property
    def is_closed(self) -> bool:
        """Return whether all calls pass."""
        return self._failures < FAILURES_MAX

    def allow(self, now: float) -> bool:
        """Return whether a call may pass.

        While a probe is in flight no other call passes. A probe whose result is never recorded
        blocks others for PROBE_TIMEOUT_S only.
        """
        if self.is_closed:
            return True
        if now < self.open_until:
            return False
        self.open_until = now + PROBE_TIMEOUT_S
        return True

    def record_success(self) -> None:
        """Close the breaker."""
        self._failures = 0
        self._next_open_s = OPEN_MIN_S
        self.open_until = 0.0

    def record_failure(self, now: float) -> None:
        """Count a failure; from FAILURES_MAX failures in a row on, open for a jittered interval.

        The interval doubles with each failure, up to OPEN_MAX_S.
        """
        self._failures += 1
        if self.is_closed:
            return
        self.open_until = now + self._next_open_s * self._random.uniform(0.5, 1.0)
        self._next_open_s = min(OPEN_MAX_S, self._next_open_s * 2)
