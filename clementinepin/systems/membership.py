"""Gossip membership: which member to probe, how to merge statements, and which ones to send.

A statement about a member holds its incarnation, its state and whether it is leaving. Of two
statements, the one with the higher incarnation wins; within one incarnation the worse state
wins. The merge is commutative, associative and idempotent, so that views converge in any order.
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
SUSPICION_S = 5.0  # a suspect that does not refute the suspicion in this time counts as dead
DEAD_RETENTION_S = 600.0
PROCESS_PAUSE_S = 3.0  # a longer gap between two probe periods means that this process paused
SYNC_PERIOD_S = 5.0  # shortest time between two comparisons of whole views
RANDOM_PROBE_EVERY_TURNS = 5  # finds members that are believed dead only because of a split
VERIFY_EVERY_TURNS = 2
INDIRECT_PROBES = 2
ROWS_PER_MESSAGE = 8
BUCKETS_PER_SYNC = 6
SENDS_PER_DIGIT = 4  # of a change, per decimal digit of the number of members


class Exchange(NamedTuple):
    """Content of a probe and of its reply: statements, and a digest of the whole view."""

    rows: tuple[MemberRow, ...]
    digest: int


def create_table(instance: ListedInstance, incarnation: int, now: float) -> MembershipTable:
    """Return a table that holds only this instance."""
    own = MemberRow(instance, incarnation, MemberState.ALIVE, False, 0.0)
    return MembershipTable(own, now)


def merge_listed(table: MembershipTable, rows: Iterable[ListedInstance]) -> None:
    """Merge the platform's instance list: add unknown members and mark leaving ones."""
    before = table.listed
    listed = {row.name: row for row in rows}
    table.listed = {name: row.state for name, row in listed.items()}
    for name, instance in listed.items():
        # The list may be out of date. For a member that has announced itself, only a change to
        # leaving counts.
        changed = before.get(name, InstanceState.LEAVING) != instance.state
        leaving = instance.state == InstanceState.LEAVING
        known = table.rows.get(name)
        if known is None:
            row = MemberRow(instance, 0, MemberState.ALIVE, leaving, 0.0)
            table.set_row(row, announce=False)
        elif known.incarnation == 0 and known.instance != instance:
            # The member is known only from the list, so that the list may correct it.
            moved = known._replace(instance=instance, leaving=known.leaving or leaving)
            table.set_row(moved, announce=False)
        elif leaving and not known.leaving and (changed or known.incarnation == 0):
            table.set_row(known._replace(leaving=True))


def merge_row(table: MembershipTable, row: MemberRow, now: float) -> bool:
    """Merge a statement; return whether it changed the view."""
    name = row.instance.name
    if name == table.own:
        return _refute(table, row)
    known = table.rows.get(name)
    merged = _combine(known, row)
    if known is not None and merged[1:4] == known[1:4]:
        return False
    if known is None and merged.state == MemberState.DEAD:
        return False
    table.unverified_deaths.pop(name, None)
    if known is not None and known.state == MemberState.DEAD != merged.state:
        _retract_deaths(table)
    # The first statement of a member that the list named already is not news to the others.
    is_news = known is None or known.incarnation > 0 or merged[2:4] != known[2:4]
    table.set_row(merged._replace(deadline=_choose_deadline(merged.state, now)), announce=is_news)
    return True


def _retract_deaths(table: MembershipTable) -> None:
    # One wrong death report means that others may be wrong too: stop sending those already sent
    # at least once. A real death still spreads by the comparison of views.
    for name, sends in list(table.pending.items()):
        if sends > 0 and table.rows[name].state == MemberState.DEAD:
            del table.pending[name]


def merge_compared(table: MembershipTable, rows: Iterable[MemberRow], now: float) -> None:
    """Merge statements from a comparison of whole views.

    After a network split, each side believes that the other is dead. These outdated statements
    would remove members that respond, so that this instance only verifies them by a probe.
    """
    for row in rows:
        name = row.instance.name
        known = table.rows.get(name)
        if row.state != MemberState.DEAD or known is None or known.state == MemberState.DEAD:
            merge_row(table, row, now)
        elif name != table.own and row.incarnation >= known.incarnation:
            table.unverified_deaths[name] = row


def _combine(known: MemberRow | None, row: MemberRow) -> MemberRow:
    """Return the row that results from two statements about one member."""
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
    """Raise the own incarnation if a statement about this instance is wrong; return whether."""
    own = table.rows[table.own]
    if row.incarnation < own.incarnation:
        return False
    agrees = row.state == MemberState.ALIVE and row.leaving <= own.leaving
    if row.incarnation == own.incarnation and agrees:
        return False
    # An earlier process of this name may have a higher incarnation. That it was leaving does
    # not apply to this process.
    table.set_row(own._replace(incarnation=row.incarnation + 1))
    return True


def mark_leaving(table: MembershipTable, name: str) -> None:
    """Mark a member as leaving, as it announced."""
    row = table.rows.get(name)
    if row is not None and not row.leaving:
        table.set_row(row._replace(leaving=True))


def advance(table: MembershipTable, now: float, rng: random.Random) -> str | None:
    """Run one probe period: expire suspicions, and return the member to probe or None."""
    gap = now - table.ticked_at
    table.ticked_at = now
    if gap > PROCESS_PAUSE_S:
        _extend_suspicions(table, gap, now)
    _expire_rows(table, now)
    table.turn += 1
    if table.turn % RANDOM_PROBE_EVERY_TURNS == 0:
        return _choose_random_member(table, rng)
    if table.unverified_deaths and table.turn % VERIFY_EVERY_TURNS == 0:
        return rng.choice(sorted(table.unverified_deaths))
    fingers = choose_fingers(table.own, table.list_ring())
    return fingers[table.turn % len(fingers)] if fingers else None


def _extend_suspicions(table: MembershipTable, gap: float, now: float) -> None:
    # This process was paused, so that missing replies of the others prove nothing.
    table.resumed_at = now
    for name in sorted(table.not_alive):
        row = table.rows[name]
        if row.state == MemberState.SUSPECT:
            table.set_row(row._replace(deadline=row.deadline + gap), announce=False)


def _expire_rows(table: MembershipTable, now: float) -> None:
    for name in sorted(table.not_alive):
        row = table.rows[name]
        if now < row.deadline:
            continue
        if row.state == MemberState.SUSPECT:
            deadline = now + DEAD_RETENTION_S
            table.set_row(row._replace(state=MemberState.DEAD, deadline=deadline))
        elif name not in table.listed:
            table.remove_row(name)


def _choose_random_member(table: MembershipTable, rng: random.Random) -> str | None:
    """Return a listed member that is believed dead, to heal a split, else any other or None."""
    lost = [
        name
        for name in table.not_alive
        if table.rows[name].state == MemberState.DEAD and name in table.listed
    ]
    others = lost or [name for name in table.list_ring() if name != table.own]
    return rng.choice(sorted(others)) if others else None


def choose_relays(table: MembershipTable, target: str, rng: random.Random) -> list[str]:
    """Return the members that probe the target on behalf of this instance."""
    others = [name for name in table.list_ring() if name not in (table.own, target)]
    return rng.sample(others, min(INDIRECT_PROBES, len(others)))


def record_unanswered_probe(
    table: MembershipTable, name: str, probed_at: float, now: float
) -> None:
    """Mark a member as suspect after it replied neither to this instance nor to a relay.

    Ignored if this process was paused after ``probed_at`` (monotonic seconds).
    """
    row = table.rows.get(name)
    if row is None or row.state != MemberState.ALIVE or probed_at < table.resumed_at:
        return
    table.set_row(row._replace(state=MemberState.SUSPECT, deadline=now + SUSPICION_S))


def create_exchange(table: MembershipTable, peer: str) -> Exchange:
    """Return the statements and the digest to send to a peer, and count the statements as sent.

    A statement that the peer is not alive comes first, so that it can refute it. Then come the
    changes that were sent the fewest times.
    """
    limit = SENDS_PER_DIGIT * math.ceil(math.log10(len(table.rows) + 1))
    names = sorted(table.pending, key=lambda name: (table.pending[name], name))
    chosen = names[:ROWS_PER_MESSAGE]
    for name in chosen:
        table.pending[name] += 1
        if table.pending[name] >= limit:
            del table.pending[name]
    rows = [table.rows[name] for name in chosen]
    row = table.unverified_deaths.pop(peer, None) or table.rows.get(peer)
    if row is not None and row.state != MemberState.ALIVE and row not in rows:
        rows.insert(0, row)
    return Exchange(tuple(rows), digest_view(table))


def accept_exchange(table: MembershipTable, exchange: Exchange, now: float) -> bool:
    """Merge a peer's statements; return whether the whole views should be compared."""
    for row in exchange.rows:
        merge_row(table, row, now)
    if exchange.digest == digest_view(table):
        return False
    # A few changes that are still spreading may explain the difference.
    in_flight = len(table.pending) + len(exchange.rows)
    if 0 < in_flight <= ROWS_PER_MESSAGE:
        return False
    if now - table.synced_at < SYNC_PERIOD_S:
        return False
    table.synced_at = now
    return True


def digest_view(table: MembershipTable) -> int:
    """Return a digest of the view of all members that are not dead."""
    return functools.reduce(operator.xor, table.digests)


def select_differing(
    table: MembershipTable, theirs: Sequence[int], seed: int
) -> tuple[MemberRow, ...]:
    """Return the rows, dead ones included, of some buckets whose digests differ from the peer's.

    Both sides pass the same seed, so that they choose the same buckets and these agree afterwards.
    """
    pairs = zip(table.digests, theirs, strict=False)
    differing = [index for index, (own, other) in enumerate(pairs) if own != other]
    random.Random(seed).shuffle(differing)
    chosen = set(differing[:BUCKETS_PER_SYNC])
    if not chosen:
        return ()
    return tuple(row for name, row in table.rows.items() if choose_bucket(name) in chosen)


def list_live(table: MembershipTable) -> list[str]:
    """Return the names of members that are neither dead nor leaving, sorted.

    The list is never empty: this instance stands in if there are none.
    """
    names = [name for name in table.list_ring() if not table.rows[name].leaving]
    return sorted(names) or [table.own]


def list_present(table: MembershipTable) -> list[ListedInstance]:
    """Return the members that are not dead, each with its state in this instance's view."""
    rows = (table.rows[name] for name in sorted(table.list_ring()))
    return [
        row.instance._replace(
            state=(InstanceState.LEAVING if row.leaving else InstanceState.LIVE).value
        )
        for row in rows
    ]
