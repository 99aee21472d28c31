"""Placement of segment copies, and which holder repairs lost ones."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from clementinepin.helpers.rendezvous import rank_owners
from clementinepin.tables import HolderRow

COPIES_PER_SEGMENT = 3
COPIES_MIN = 2  # for a segment to count as durable


class RepairPlan(NamedTuple):
    """Ids of the folders that still hold a segment, and of those to copy it to."""

    kept: tuple[str, ...]
    added: tuple[str, ...]


def choose_holders(
    name: str,
    holders: Iterable[HolderRow],
    size_bytes: int,
    *,
    kept: Collection[HolderRow] = (),
    copies: int = COPIES_PER_SEGMENT,
) -> list[HolderRow]:
    """Return folders for new copies, best first, each in a data centre without a copy.

    ``kept`` are the folders that already hold the segment; they count towards ``copies``.
    """
    used = {row.data_centre for row in kept}
    rows = {row.folder_id: row for row in holders if row.free_bytes >= size_bytes}
    chosen: list[HolderRow] = []
    for folder_id in rank_owners(name, rows):
        if len(kept) + len(chosen) >= copies:
            break
        row = rows[folder_id]
        if row.data_centre in used:
            continue
        used.add(row.data_centre)
        chosen.append(row)
    return chosen


def is_durable(holders: Iterable[HolderRow]) -> bool:
    """Return whether there are copies in at least COPIES_MIN data centres."""
    return len({row.data_centre for row in holders}) >= COPIES_MIN


def plan_repair(
    name: str,
    size_bytes: int,
    holders: Collection[str],
    live: Mapping[str, HolderRow],
    own: str,
) -> RepairPlan | None:
    """Return the repair plan if ``own`` is the first surviving holder and a copy is missing.

    Otherwise return None. ``live`` has the reachable folders by id.
    """
    kept = [live[folder_id] for folder_id in holders if folder_id in live]
    if not kept or kept[0].folder_id != own:
        return None
    others = [row for row in live.values() if row.folder_id not in holders]
    added = choose_holders(name, others, size_bytes, kept=kept)
    if not added:
        return None
    return RepairPlan(tuple(row.folder_id for row in kept), tuple(row.folder_id for row in added))
