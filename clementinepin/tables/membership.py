"""Members of the fleet in the view of one instance."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import xxhash

from clementinepin.infrastructure import ListedInstance
from clementinepin.systems.rings import locate_name, order_ring

DIGEST_BUCKETS = 64


class MemberState(IntEnum):
    """State of a member; within one incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberRow(NamedTuple):
    """A member. At ``deadline`` (monotonic seconds) a suspicion ends or a dead row is removed."""

    instance: ListedInstance
    incarnation: int
    state: MemberState
    leaving: bool
    deadline: float


class MembershipTable:
    """Rows by name, and the changes that are still to be sent to peers.

    ``pending`` counts how often the latest change of a member was sent. ``listed`` holds the
    state by name in the platform's list, ``not_alive`` the names of suspect and dead members.
    ``unverified_deaths`` holds death reports from a peer's whole view that a probe must verify.
    ``version`` increases when the set of members that are not dead changes. ``digests`` has one
    digest per bucket of the members that are not dead; equal views have equal digests.
    ``turn`` counts probe periods. ``ticked_at``, ``resumed_at`` and ``synced_at`` are the times of
    the last period, of the end of the last pause of this process, and of the last comparison of
    whole views, in monotonic seconds.
    """

    def __init__(self, own: MemberRow, now: float) -> None:
        self.own = own.instance.name
        self.rows: dict[str, MemberRow] = {}
        self.pending: dict[str, int] = {}
        self.listed: dict[str, str] = {}
        self.not_alive: set[str] = set()
        self.unverified_deaths: dict[str, MemberRow] = {}
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
        """Store a row, and send it to peers unless ``announce`` is False."""
        name = row.instance.name
        self._replace_row(name, row)
        if announce:
            self.pending[name] = 0

    def remove_row(self, name: str) -> None:
        """Remove a member."""
        self._replace_row(name, None)
        self.pending.pop(name, None)
        self.unverified_deaths.pop(name, None)

    def _replace_row(self, name: str, row: MemberRow | None) -> None:
        before = self.rows.pop(name, None)
        self.digests[choose_bucket(name)] ^= _digest_row(before) ^ _digest_row(row)
        if _is_present(before) != _is_present(row):
            self.version += 1
        self.not_alive.discard(name)
        if row is None:
            return
        self.rows[name] = row
        if row.state != MemberState.ALIVE:
            self.not_alive.add(name)

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
    # Views must agree only on which members are present and which are leaving. Incarnations are
    # left out, as a new fleet would compare views for minutes until all are known everywhere.
    statement = f"{row.instance.name} {int(row.leaving)}"
    return xxhash.xxh3_64_intdigest(statement.encode())
