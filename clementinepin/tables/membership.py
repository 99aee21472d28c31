"""Members of the fleet as one instance sees them."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from clementinepin.platform import ListedInstance
from clementinepin.systems.rings import order_ring


class MemberState(IntEnum):
    """State of a member; within an incarnation the higher one stands."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberRow(NamedTuple):
    """A member. ``deadline`` (monotonic seconds) ends a suspicion or the memory of a death."""

    instance: ListedInstance
    incarnation: int
    state: MemberState
    leaving: bool
    deadline: float


class MembershipTable:
    """Rows by name, and what is still to be told.

    ``pending`` counts how often the latest change of a member was sent. ``listed`` holds the
    state by name in the platform's list. ``version`` grows when the set of members that are not
    dead changes, ``changes`` with every change.
    """

    def __init__(self, own: MemberRow, now: float) -> None:
        self.own = own.instance.name
        self.rows: dict[str, MemberRow] = {self.own: own}
        self.pending: dict[str, int] = {self.own: 0}
        self.listed: dict[str, str] = {}
        self.version = 0
        self.changes = 0
        self.digests: tuple[int, ...] = ()
        self.digests_changes = -1
        self.turn = 0
        self.ticked_at = now
        self.resumed_at = now
        self.synced_at = now
        self._ring: tuple[str, ...] = ()
        self._ring_version = -1

    def set_row(self, row: MemberRow, *, announce: bool = True) -> None:
        """Store a row; a change is told to others unless ``announce`` is False."""
        name = row.instance.name
        before = self.rows.get(name)
        self.rows[name] = row
        self.changes += 1
        if before is None or (before.state == MemberState.DEAD) != (row.state == MemberState.DEAD):
            self.version += 1
        if announce:
            self.pending[name] = 0

    def remove_row(self, name: str) -> None:
        """Forget a member."""
        self.rows.pop(name, None)
        self.pending.pop(name, None)
        self.version += 1
        self.changes += 1

    def list_ring(self) -> tuple[str, ...]:
        """Return the names of members that are not dead, in ring order."""
        if self._ring_version != self.version:
            names = (n for n, row in self.rows.items() if row.state != MemberState.DEAD)
            self._ring = order_ring(names)
            self._ring_version = self.version
        return self._ring
