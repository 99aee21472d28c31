"""Distinguishes entries that only expired during an outage of the store from removed entries."""

from __future__ import annotations

from typing import Final

from clementinepin.helpers.clock import Clock

EXPIRY_GRACE_S: Final = 2.2  # the platform restores expired entries within two seconds


class StoreOutages:
    """Tracks when the store was unreachable directly and through all relays.

    Load pattern: the store is down while entries expire, or it refuses a single instance. Only in
    an outage do valid entries disappear; if a refusal counted as one, targets that have left
    would stay in use.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._is_unreachable = False
        self._reachable_since = float("-inf")

    def record_reply(self) -> None:
        """Record that the store replied, directly or through a relay."""
        if self._is_unreachable:
            self._is_unreachable = False
            self._reachable_since = self._clock.monotonic()

    def record_failure(self) -> None:
        """Record that the store was not reached on any path."""
        self._is_unreachable = True

    def may_be_expiry(self) -> bool:
        """Return whether an entry that disappears now may have only expired and may come back."""
        return (
            self._is_unreachable or self._clock.monotonic() < self._reachable_since + EXPIRY_GRACE_S
        )


class ExpiryGrace:
    """Tracks entries that disappeared in an outage until the store had time to restore them."""

    def __init__(self, outages: StoreOutages) -> None:
        self._outages = outages
        self._missing: set[str] = set()

    def record_missing(self, name: str) -> bool:
        """Record that an entry disappeared; return whether it was removed, not just expired."""
        if not self._outages.may_be_expiry():
            return True
        self._missing.add(name)
        return False

    def record_present(self, name: str) -> None:
        """Record that an entry is present."""
        self._missing.discard(name)

    def pop_ended(self) -> set[str]:
        """Return and forget the entries still missing after the grace time; empty before that."""
        if self._outages.may_be_expiry():
            return set()
        ended, self._missing = self._missing, set()
        return ended
