"""Decisions on membership: whom to probe, what to believe, what to tell.

A statement about a member is its incarnation, state and wish to leave. Two statements merge
to the one with the higher incarnation, or within one incarnation to the worse state; the
merge is commutative, associative and idempotent, so that views converge in any order.
Only a member itself raises its incarnation.
"""

from __future__ import annotations

import functools
import math
import operator
import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from clementinepin.const import InstanceState
from clementinepin.infrastructure import ListedInstance
from clementinepin.systems.rings import choose_fingers
from clementinepin.tables.membership import (
    MemberRow,
    MembershipTable,
    MemberState,
    choose_bucket,
)

PROBE_PERIOD_S = 1.0
PROBE_TIMEOUT_S = 0.5
SUSPICION_S = 5.0
DEAD_RETENTION_S = 600.0
PAUSE_S = 3.0
SYNC_PERIOD_S = 5.0
WANDER_EVERY_TURNS = 5
VERIFY_EVERY_TURNS = 2
INDIRECT_PROBES = 2
ROWS_PER_MESSAGE = 8
BUCKETS_PER_SYNC = 6
SENDS_FACTOR = 4


class Exchange(NamedTuple):
    """What a probe and its answer carry: statements, and a digest of the whole view."""

    rows: tuple[MemberRow, ...]
    digest: int


def create_table(instance: ListedInstance, incarnation: int, now: float) -> MembershipTable:
    """Return a table that holds this instance alone."""
    own = MemberRow(instance, incarnation, MemberState.ALIVE, False, 0.0)
    return MembershipTable(own, now)


def merge_listed(table: MembershipTable, rows: Iterable[ListedInstance]) -> None:
    """Take in the platform's list: unknown members are believed, leaving ones marked."""
    before = table.listed
    listed = {row.name: row for row in rows}
    table.listed = {name: row.state for name, row in listed.items()}
    for name, instance in listed.items():
        # The list lags: of a member that spoke for itself, only a change to leaving counts.
        turned = before.get(name, InstanceState.LEAVING) != instance.state
        leaving = instance.state == InstanceState.LEAVING
        known = table.rows.get(name)
        if known is None:
            row = MemberRow(instance, 0, MemberState.ALIVE, leaving, 0.0)
            table.set_row(row, announce=False)
        elif known.incarnation == 0 and known.instance != instance:
            # Only the list has spoken of it so far, so that the list may correct itself.
            moved = known._replace(instance=instance, leaving=known.leaving or leaving)
            table.set_row(moved, announce=False)
        elif leaving and not known.leaving and (turned or known.incarnation == 0):
            table.set_row(known._replace(leaving=True))


def merge_row(table: MembershipTable, row: MemberRow, now: float) -> bool:
    """Take in a statement; return True when it changed the view."""
    name = row.instance.name
    if name == table.own:
        return _refute(table, row)
    known = table.rows.get(name)
    merged = _combine(known, row)
    if known is not None and merged[1:4] == known[1:4]:
        return False
    if known is None and merged.state == MemberState.DEAD:
        return False
    table.doubted.pop(name, None)
    if known is not None and known.state == MemberState.DEAD != merged.state:
        _retract_deaths(table)
    # A first word of a member known from the list is no news to the others.
    news = known is None or known.incarnation > 0 or merged[2:4] != known[2:4]
    table.set_row(merged._replace(deadline=_choose_deadline(merged.state, now)), announce=news)
    return True


def _retract_deaths(table: MembershipTable) -> None:
    # One wrong death means that others may be wrong: stop telling of those told before. A
    # true one is found out by comparing views.
    for name, sends in list(table.pending.items()):
        if sends > 0 and table.rows[name].state == MemberState.DEAD:
            del table.pending[name]


def merge_compared(table: MembershipTable, rows: Iterable[MemberRow], now: float) -> None:
    """Take in statements from a comparison of whole views.

    Behind a split each side holds the other for dead. Such old words would take out members
    that answer well, so they only have this instance look for itself.
    """
    for row in rows:
        name = row.instance.name
        known = table.rows.get(name)
        if row.state != MemberState.DEAD or known is None or known.state == MemberState.DEAD:
            merge_row(table, row, now)
        elif name != table.own and row.incarnation >= known.incarnation:
            table.doubted[name] = row


def _combine(known: MemberRow | None, row: MemberRow) -> MemberRow:
    if known is None or row.incarnation > known.incarnation:
        return row
    if row.incarnation < known.incarnation:
        return known
    return known._replace(state=max(known.state, row.state), leaving=known.leaving or row.leaving)


def _choose_deadline(state: MemberState, now: float) -> float:
    if state == MemberState.SUSPECT:
        return now + SUSPICION_S
    if state == MemberState.DEAD:
        return now + DEAD_RETENTION_S
    return 0.0


def _refute(table: MembershipTable, row: MemberRow) -> bool:
    own = table.rows[table.own]
    if row.incarnation < own.incarnation:
        return False
    agrees = row.state == MemberState.ALIVE and row.leaving <= own.leaving
    if row.incarnation == own.incarnation and agrees:
        return False
    # An earlier process of the same name may have been ahead; its wish to leave is not ours.
    table.set_row(own._replace(incarnation=row.incarnation + 1))
    return True


def mark_leaving(table: MembershipTable, name: str) -> None:
    """Note a member's own word that it leaves."""
    row = table.rows.get(name)
    if row is not None and not row.leaving:
        table.set_row(row._replace(leaving=True))


def advance(table: MembershipTable, now: float, rng: random.Random) -> str | None:
    """Run one period: end suspicions, and return the member to probe."""
    gap = now - table.ticked_at
    table.ticked_at = now
    if gap > PAUSE_S:
        _forgive_pause(table, gap, now)
    _expire_rows(table, now)
    table.turn += 1
    if table.turn % WANDER_EVERY_TURNS == 0:
        return _choose_wanderer(table, rng)
    if table.doubted and table.turn % VERIFY_EVERY_TURNS == 0:
        return rng.choice(sorted(table.doubted))
    fingers = choose_fingers(table.own, table.list_ring())
    return fingers[table.turn % len(fingers)] if fingers else None


def _forgive_pause(table: MembershipTable, gap: float, now: float) -> None:
    # This process stood still, so that the others' silence proves nothing.
    table.resumed_at = now
    for name in sorted(table.unsettled):
        row = table.rows[name]
        if row.state == MemberState.SUSPECT:
            table.set_row(row._replace(deadline=row.deadline + gap), announce=False)


def _expire_rows(table: MembershipTable, now: float) -> None:
    for name in sorted(table.unsettled):
        row = table.rows[name]
        if now < row.deadline:
            continue
        if row.state == MemberState.SUSPECT:
            deadline = now + DEAD_RETENTION_S
            table.set_row(row._replace(state=MemberState.DEAD, deadline=deadline))
        elif name not in table.listed:
            table.remove_row(name)


def _choose_wanderer(table: MembershipTable, rng: random.Random) -> str | None:
    """Return a listed member believed dead, to heal a split, or any other member."""
    lost = [
        name
        for name in table.unsettled
        if table.rows[name].state == MemberState.DEAD and name in table.listed
    ]
    others = lost or [name for name in table.list_ring() if name != table.own]
    return rng.choice(sorted(others)) if others else None


def choose_relays(table: MembershipTable, target: str, rng: random.Random) -> list[str]:
    """Return members to probe the target on this one's behalf."""
    others = [name for name in table.list_ring() if name not in (table.own, target)]
    return rng.sample(others, min(INDIRECT_PROBES, len(others)))


def note_silence(table: MembershipTable, name: str, probed_at: float, now: float) -> None:
    """Suspect a member that answered neither this instance nor a relay."""
    row = table.rows.get(name)
    if row is None or row.state != MemberState.ALIVE or probed_at < table.resumed_at:
        return
    table.set_row(row._replace(state=MemberState.SUSPECT, deadline=now + SUSPICION_S))


def create_exchange(table: MembershipTable, peer: str) -> Exchange:
    """Return what to tell a peer: doubts on itself first, then the least told changes."""
    limit = SENDS_FACTOR * math.ceil(math.log10(len(table.rows) + 1))
    names = sorted(table.pending, key=lambda name: (table.pending[name], name))
    chosen = names[:ROWS_PER_MESSAGE]
    for name in chosen:
        table.pending[name] += 1
        if table.pending[name] >= limit:
            del table.pending[name]
    rows = [table.rows[name] for name in chosen]
    row = table.doubted.pop(peer, None) or table.rows.get(peer)
    if row is not None and row.state != MemberState.ALIVE and row not in rows:
        rows.insert(0, row)
    return Exchange(tuple(rows), digest_view(table))


def accept_exchange(table: MembershipTable, exchange: Exchange, now: float) -> bool:
    """Take in a peer's statements; return True when the whole views should be compared."""
    for row in exchange.rows:
        merge_row(table, row, now)
    if exchange.digest == digest_view(table):
        return False
    in_flight = len(table.pending) + len(exchange.rows)
    if 0 < in_flight <= ROWS_PER_MESSAGE:
        return False
    if now - table.synced_at < SYNC_PERIOD_S:
        return False
    table.synced_at = now
    return True


def digest_view(table: MembershipTable) -> int:
    """Return a digest of all statements on members that are not dead."""
    return functools.reduce(operator.xor, table.digests)


def select_differing(
    table: MembershipTable, theirs: Sequence[int], seed: int
) -> tuple[MemberRow, ...]:
    """Return rows of buckets in which a peer's digests differ, dead ones included.

    Both sides pass one seed, so that they choose the same buckets and those agree afterwards.
    """
    pairs = zip(table.digests, theirs, strict=False)
    differing = [index for index, (own, other) in enumerate(pairs) if own != other]
    random.Random(seed).shuffle(differing)
    chosen = set(differing[:BUCKETS_PER_SYNC])
    if not chosen:
        return ()
    return tuple(row for name, row in table.rows.items() if choose_bucket(name) in chosen)


def list_live(table: MembershipTable) -> list[str]:
    """Return members that are neither dead nor leaving, sorted; never an empty list."""
    names = [name for name in table.list_ring() if not table.rows[name].leaving]
    return sorted(names) or [table.own]


def list_known(table: MembershipTable) -> list[ListedInstance]:
    """Return members that are not dead, with the state that this instance believes."""
    rows = (table.rows[name] for name in sorted(table.list_ring()))
    return [
        row.instance._replace(
            state=(InstanceState.LEAVING if row.leaving else InstanceState.LIVE).value
        )
        for row in rows
    ]
