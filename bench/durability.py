"""Work out the yearly loss of segments from the rate of lost instances and the pace of repair.

Pure arithmetic, no measurement. A loss event is a time at which some segment has no copy left.
Holders fail independently; data centres that fail as a whole are covered by placement.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from clementinepin.storage._repair import REPAIR_AFTER_S, REPAIRS_PER_STEP

DAY_S = 86_400.0
YEAR_DAYS = 365.0
LOSSES_PER_INSTANCE_DAY = 37 / 590
COPY_BYTES_PER_S = 50_000_000.0


class Fleet(NamedTuple):
    """A number of folders and what is written; ``records_per_group`` share one record."""

    name: str
    holders: int
    segments_per_day: float
    bytes_per_day: float
    keep_days: float
    records_per_group: int


FLEETS = (
    Fleet("today", 6, 2_000.0, 50_000_000.0, 60.0, 1),
    Fleet("design size", 30, 150_000.0, 13_000_000_000.0, 60.0, 1),
    Fleet("design size, records in groups of 64", 30, 150_000.0, 13_000_000_000.0, 60.0, 64),
)


def estimate_repair(fleet: Fleet, copies: int, share: float) -> float:
    """Return the days to copy a share of one folder's segments, by all survivors."""
    survivors = fleet.holders - 1
    segments = fleet.segments_per_day * fleet.keep_days * copies / fleet.holders * share
    size_bytes = fleet.bytes_per_day * fleet.keep_days * copies / fleet.holders * share
    writes_s = segments / fleet.records_per_group / (survivors * REPAIRS_PER_STEP)
    copy_s = size_bytes / (survivors * COPY_BYTES_PER_S)
    return (REPAIR_AFTER_S + max(writes_s, copy_s)) / DAY_S


def count_loss_events(fleet: Fleet, copies: int) -> float:
    """Return the events a year; segments with one copy left are repaired first."""
    events = fleet.holders * LOSSES_PER_INSTANCE_DAY * YEAR_DAYS
    share = 1.0
    for lost in range(1, copies):
        others = fleet.holders - lost
        days = estimate_repair(fleet, copies, share)
        events *= min(1.0, others * LOSSES_PER_INSTANCE_DAY * days)
        share /= others
    return events


def main() -> None:
    """Print the table as one JSON object."""
    rows: list[dict[str, Any]] = [
        {
            "fleet": fleet.name,
            "copies": copies,
            "repair_minutes": round(estimate_repair(fleet, copies, 1.0) * DAY_S / 60, 1),
            "loss_events_per_year": float(f"{count_loss_events(fleet, copies):.2g}"),
        }
        for fleet in FLEETS
        for copies in (2, 3)
    ]
    print(json.dumps({"bench": "durability", "rows": rows}))


if __name__ == "__main__":
    main()
