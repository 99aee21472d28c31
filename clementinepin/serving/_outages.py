"""Tells lapses in an outage of the store from removals."""

from __future__ import annotations

from typing import Final

from clementinepin.helpers.clock import Clock

LAPSE_GRACE_S: Final = 2.2  # the platform restores lapsed entries within two seconds


class StoreOutages:
    """When the store was out of reach by every way, this instance's own and all helpers'.

    Load pattern: a store that is away while entries lapse, and one that turns a single instance
    away. Only in the first do entries vanish that are still true; taking the second for it would
    keep targets in use that have left.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._is_away = False
        self._returned_at = float("-inf")

    def note_answer(self) -> None:
        """Take in that the store answered, by whatever way."""
        if self._is_away:
            self._is_away = False
            self._returned_at = self._clock.monotonic()

    def note_failure(self) -> None:
        """Take in that no way reached the store."""
        self._is_away = True

    def may_be_lapse(self) -> bool:
        """Tell whether what vanishes now may have lapsed only, and may come back."""
        return self._is_away or self._clock.monotonic() < self._returned_at + LAPSE_GRACE_S


class LapseGrace:
    """Entries that vanished in an outage, kept until the store had time to restore them."""

    def __init__(self, outages: StoreOutages) -> None:
        self._outages = outages
        self._missing: set[str] = set()

    def miss(self, name: str) -> bool:
        """Take in that an entry vanished; True when it is gone for good."""
        if not self._outages.may_be_lapse():
            return True
        self._missing.add(name)
        return False

    def see(self, name: str) -> None:
        """Take in that an entry is there."""
        self._missing.discard(name)

    def take_ended(self) -> set[str]:
        """Return the entries that are still missing when the grace ends, once."""
        if self._outages.may_be_lapse():
            return set()
        ended, self._missing = self._missing, set()
        return ended
