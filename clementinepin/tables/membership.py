"""Members of the fleet as one instance sees them."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import xxhash

from clementinepin.infrastructure import ListedInstance
from clementinepin.systems.rings import locate_name, order_ring

DIGEST_BUCKETS = 64


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
    state by name in the platform's list, ``unsettled`` the suspect and the dead. ``doubted``
    holds words of death that came from a whole view and are to be verified first. ``version``
    grows when the set of members that are not dead changes. ``digests`` has one digest for each
    bucket of the members that are not dead; equal views have equal digests.
    """

    def __init__(self, own: MemberRow, now: float) -> None:
        self.own = own.instance.name
        self.rows: dict[str, MemberRow] = {}
        self.pending: dict[str, int] = {}
        self.listed: dict[str, str] = {}
        self.unsettled: set[str] = set()
        self.doubted: dict[str, MemberRow] = {}
        self.digests = [0] * DIGEST_BUCKETS
        self.version = 0
        self.turn = 0
        self.ticked_at = now
        self.resumed_at = now
        self.synced_at = now
        self._ring: tuple[str, ...] = ()
        self._ring_version = -1
        self.set_row(own)

    def set_row(self, row: MemberRow, *, announce: bool = True) -> None:
        """Store a row; a change is told to others unless ``announce`` is False."""
        name = row.instance.name
        self._replace_row(name, row)
        if announce:
            self.pending[name] = 0

    def remove_row(self, name: str) -> None:
        """Forget a member."""
        self._replace_row(name, None)
        self.pending.pop(name, None)
        self.doubted.pop(name, None)

    def _replace_row(self, name: str, row: MemberRow | None) -> None:
        before = self.rows.pop(name, None)
        self.digests[choose_bucket(name)] ^= _digest_row(before) ^ _digest_row(row)
        if _is_present(before) != _is_present(row):
            self.version += 1
        self.unsettled.discard(name)
        if row is None:
            return
        self.rows[name] = row
        if row.state != MemberState.ALIVE:
            self.unsettled.add(name)

    def list_ring(self) -> tuple[str, ...]:
        """Return the names of members that are not dead, in ring order."""
        if self._ring_version != self.version:
            names = (n for n, row in self.rows.items() if row.state != MemberState.DEAD)
            self._ring = order_ring(names)
            self._ring_version = self.version
        return self._ring


def choose_bucket(name: str) -> int:
    """Return the bucket of a member."""
    return locate_name(name) % DIGEST_BUCKETS


def _is_present(row: MemberRow | None) -> bool:
    return row is not None and row.state != MemberState.DEAD


def _digest_row(row: MemberRow | None) -> int:
    if row is None or row.state == MemberState.DEAD:
        return 0
    # Only who is present and who leaves must agree: incarnations order statements, and a
    # fresh fleet would compare views for minutes to learn all of them.
    statement = f"{row.instance.name} {int(row.leaving)}"
    return xxhash.xxh3_64_intdigest(statement.encode())
