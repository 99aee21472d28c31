"""Decides whether an instance uses its own link to a target or another instance's.

A link that fails says nothing about its target, which others may reach. A target is taken for
unreachable only if another instance did not reach it either.

Load pattern: an instance loses its links to most or all targets for seconds, at once or in turn,
while callers go on to send it requests. Its links hang, are reset, or refuse new connections.
"""

from __future__ import annotations

from typing import Final

from clementinepin.tables.reach import ReachTable

FIRST_PROBE_S: Final = 0.25  # a single lost packet is found out soon
PROBE_PERIOD_S: Final = 1.0
UNUSED_S: Final = 60.0  # then what is known of a link is dropped
TARGETS_MAX: Final = 4_096
UNREACHED_S: Final = 0.2  # other instances aren't asked again for a target that nobody reached
SILENCE_S: Final = 0.2  # a link that worked within this time is not what makes a request silent


def record_use(table: ReachTable, target: str, now: float) -> None:
    """Record that a connection to a target is wanted; only such links are tried again."""
    if is_relayed(table, target):
        table.used_at[target] = now


def is_relayed(table: ReachTable, target: str) -> bool:
    """Return whether only other instances reach the target."""
    return target in table.probe_at


def may_use_idle(table: ReachTable, target: str, *, relayed: bool) -> bool:
    """Return whether an idle connection goes the right way, and is not likely to be dead.

    Direct connections may live on while new ones are refused, but not behind a link that hangs.
    Once one link hangs, the others are in doubt until they are known to work.
    """
    if relayed:
        return is_relayed(table, target)
    if target in table.hung:
        return False
    return table.direct_at.get(target, table.doubted_at) >= table.doubted_at


def may_ask_relays(table: ReachTable, target: str, now: float) -> bool:
    """Return whether other instances should be asked for a target whose own link fails."""
    return now >= table.unreached_until.get(target, 0.0)


def must_check(table: ReachTable, target: str, since: float) -> bool:
    """Return whether the link is to be checked: it is not known to have worked ``since`` then.

    Open connections on a link that only refuses new ones are as good as on any other.
    """
    never = float("-inf")
    return target not in table.hung and table.direct_at.get(target, never) < since


def is_link_cut(table: ReachTable, target: str, now: float) -> bool:
    """Return whether only other instances reach the target, and one of them did so lately."""
    return is_relayed(table, target) and may_ask_relays(table, target, now)


def record_direct(table: ReachTable, target: str, now: float) -> bool:
    """Record that the own link works; return whether that is news.

    The other links are tried again at once, as links mostly fail and recover together.
    """
    if len(table.direct_at) >= TARGETS_MAX:
        table.direct_at.clear()
    table.direct_at[target] = now
    table.unreached_until.pop(target, None)
    table.used_at.pop(target, None)
    table.hung.discard(target)
    if table.probe_at.pop(target, None) is None:
        return False
    for other in table.probe_at:
        table.probe_at[other] = now
    return True


def record_relayed(table: ReachTable, target: str, now: float, *, hangs: bool) -> bool:
    """Record that only another instance reached the target; return whether that is news.

    ``hangs`` says that the own link gave no answer, else it refused the connection.
    """
    table.unreached_until.pop(target, None)
    if hangs and target not in table.hung:
        table.hung.add(target)
        table.doubted_at = now
    if is_relayed(table, target):
        return False
    table.probe_at[target] = now + FIRST_PROBE_S
    table.used_at[target] = now
    return True


def record_unreached(table: ReachTable, target: str, now: float) -> None:
    """Record that neither this instance nor another one reached the target."""
    if len(table.unreached_until) >= TARGETS_MAX:
        table.unreached_until.clear()
    table.unreached_until[target] = now + UNREACHED_S


def take_due_probes(table: ReachTable, now: float) -> list[str]:
    """Return the targets whose own link should be tried now; the next try is a period later."""
    for target in [t for t in table.probe_at if now - table.used_at[t] >= UNUSED_S]:
        forget(table, target)
    due = [target for target, at in table.probe_at.items() if now >= at]
    for target in due:
        table.probe_at[target] = now + PROBE_PERIOD_S
    return due


def forget(table: ReachTable, target: str) -> None:
    """Drop a target that is gone."""
    for rows in (table.probe_at, table.used_at, table.unreached_until, table.direct_at):
        rows.pop(target, None)
    table.hung.discard(target)
