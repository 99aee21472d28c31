"""Requests that were in flight when a target was lost."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple


class Loss(NamedTuple):
    """One target lost at ``lost_at`` (wall-clock seconds)."""

    target: str
    lost_at: float


class SuspectRow(NamedTuple):
    """A suspect request. Times are wall-clock seconds, so that peers can merge rows.

    Losses up to ``cleared_at``, when the request last succeeded, do not count.
    """

    fingerprint: str
    losses: tuple[Loss, ...]
    condemned: bool
    cleared_at: float
    expires_at: float


class SuspectTable:
    """Suspects by fingerprint, at most ``rows_max``."""

    def __init__(self, rows_max: int) -> None:
        self._rows: dict[str, SuspectRow] = {}
        self._rows_max = rows_max

    def __iter__(self) -> Iterator[SuspectRow]:
        return iter(self._rows.values())

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, fingerprint: str) -> SuspectRow | None:
        """Return a suspect, or None."""
        return self._rows.get(fingerprint)

    def put(self, row: SuspectRow) -> None:
        """Add or replace a suspect.

        A full table drops the row that expires first, condemned ones only if there are no others.
        """
        self._rows[row.fingerprint] = row
        if len(self._rows) <= self._rows_max:
            return
        oldest = min(self._rows.values(), key=lambda r: (r.condemned, r.expires_at))
        del self._rows[oldest.fingerprint]

    def expire(self, wall: float) -> None:
        """Remove expired suspects."""
        self._rows = {f: row for f, row in self._rows.items() if row.expires_at > wall}
