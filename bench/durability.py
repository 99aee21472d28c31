"""Estimate the yearly loss of segments from the rates of instance loss and of repair.

The figures are computed, not measured. A loss event is a time at which some segment has no copy
left. Holders are assumed to fail independently; placement covers the loss of a whole data centre.
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
    """Number of folders (``holders``) and what is written to them.

    ``records_per_group`` segments share one record.
    """

    name: str
    holders: int
    segments_per_day: float
    bytes_per_day: float
    retention_days: float
    records_per_group: int


FLEETS = (
    Fleet("today", 6, 2_000.0, 50_000_000.0, 60.0, 1),
    Fleet("design size", 30, 150_000.0, 13_000_000_000.0, 60.0, 1),
    Fleet("design size, records in groups of 64", 30, 150_000.0, 13_000_000_000.0, 60.0, 64),
)


def estimate_repair(fleet: Fleet, copies: int, share: float) -> float:
    """Return the days until the survivors have copied a share of a lost folder's segments."""
    survivors = fleet.holders - 1
    segments = fleet.segments_per_day * fleet.retention_days * copies / fleet.holders * share
    size_bytes = fleet.bytes_per_day * fleet.retention_days * copies / fleet.holders * share
    writes_s = segments / fleet.records_per_group / (survivors * REPAIRS_PER_STEP)
    copy_s = size_bytes / (survivors * COPY_BYTES_PER_S)
    return (REPAIR_AFTER_S + max(writes_s, copy_s)) / DAY_S


def count_loss_events(fleet: Fleet, copies: int) -> float:
    """Return the loss events per year; segments with the fewest copies are repaired first."""
    events = fleet.holders * LOSSES_PER_INSTANCE_DAY * YEAR_DAYS
    share = 1.0
    for lost in range(1, copies):
        remaining_holders = fleet.holders - lost
        days = estimate_repair(fleet, copies, share)
        events *= min(1.0, remaining_holders * LOSSES_PER_INSTANCE_DAY * days)
        share /= remaining_holders
    return events


def main() -> None:
    """Print the estimates as one JSON object."""
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
