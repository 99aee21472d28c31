"""Token bucket that limits the rate of this instance's calls to the key-value service."""

from __future__ import annotations


class TokenBucket:
    """Tokens refill at ``rate_per_s`` up to ``burst``; a call may reserve a future token.

    ``now`` is in monotonic seconds.
    """

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_at = now

    def reserve(self, now: float, wait_max_s: float) -> float | None:
        """Take a token and return the seconds to wait for it.

        Return None, and take no token, if the wait would be longer than ``wait_max_s``.
        """
        self._refill(now)
        wait_s = max(0.0, (1.0 - self._tokens) / self._rate_per_s)
        if wait_s > wait_max_s:
            return None
        self._tokens -= 1.0
        return wait_s

    def estimate_wait(self, now: float) -> float:
        """Return the seconds until a token is available."""
        self._refill(now)
        return max(0.0, (1.0 - self._tokens) / self._rate_per_s)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate_per_s)
        self._updated_at = now
