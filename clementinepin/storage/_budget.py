"""Budget of bytes that this instance may keep inline in the key-value service."""

from __future__ import annotations

INLINE_FLEET_BYTES_PER_DAY = 25_000_000.0
DAY_S = 86_400.0


class InlineBudget:
    """A day's share of the fleet's budget, refilled all the time."""

    def __init__(self, now: float) -> None:
        self._spent_bytes = 0.0
        self._updated_at = now

    def take(self, size_bytes: int, instances: int, now: float) -> bool:
        """Take bytes if the share has them; ``now`` is monotonic seconds."""
        share = INLINE_FLEET_BYTES_PER_DAY / max(1, instances)
        refill = (now - self._updated_at) * share / DAY_S
        self._spent_bytes = max(0.0, self._spent_bytes - refill)
        self._updated_at = now
        if self._spent_bytes + size_bytes > share:
            return False
        self._spent_bytes += size_bytes
        return True

    def estimate_wait(self, size_bytes: int, instances: int) -> float:
        """Return the seconds until so many bytes are free."""
        share = INLINE_FLEET_BYTES_PER_DAY / max(1, instances)
        return max(0.0, self._spent_bytes + size_bytes - share) / share * DAY_S
