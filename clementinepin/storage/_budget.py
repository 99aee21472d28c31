"""Budget of bytes that this instance may write inline to the key-value service."""

from __future__ import annotations

INLINE_FLEET_BYTES_PER_DAY = 25_000_000.0
DAY_S = 86_400.0


class InlineBudget:
    """One instance's share of the fleet's daily budget, refilled continuously.

    The share is the fleet's budget divided by the number of instances.
    """

    def __init__(self, now: float) -> None:
        self._spent_bytes = 0.0
        self._updated_at = now

    def take(self, size_bytes: int, instances: int, now: float) -> bool:
        """Take bytes from the share and return True, or return False if too few are left.

        ``now`` is in monotonic seconds.
        """
        share_bytes = INLINE_FLEET_BYTES_PER_DAY / max(1, instances)
        refill_bytes = (now - self._updated_at) * share_bytes / DAY_S
        self._spent_bytes = max(0.0, self._spent_bytes - refill_bytes)
        self._updated_at = now
        if self._spent_bytes + size_bytes > share_bytes:
            return False
        self._spent_bytes += size_bytes
        return True

    def estimate_wait(self, size_bytes: int, instances: int) -> float:
        """Return the seconds from the last ``take`` until ``size_bytes`` are free."""
        share_bytes = INLINE_FLEET_BYTES_PER_DAY / max(1, instances)
        return max(0.0, self._spent_bytes + size_bytes - share_bytes) / share_bytes * DAY_S
