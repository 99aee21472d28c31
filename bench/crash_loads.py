"""Replay requests that crash targets by a prompt part, over loads and seeds, in virtual time.

Usage: python -m bench.crash_loads [--short]. The last line is one JSON object: by load the most
crashing requests that were sent ``CONTACT_S`` after the fifth crash, crashes, and the least share
of sound requests that began, in all and with a first part that crashing ones share.
"""

from __future__ import annotations

import sys
from statistics import mean
from typing import Any, Final

import msgspec

from bench.crash_load import (
    CONTACT_S,
    CRASHES_TO_KNOW,
    CrashLoad,
    Load,
    Tally,
    count_sent_later,
    measure_served_share,
)

SEEDS: Final = 20
END_S: Final = 60.0
ROWS_MIN: Final = 20  # fewer requests with a first part say little about their share


def list_loads() -> dict[str, Load]:
    """Return the loads by name."""
    loads = {
        f"first parts {parts}, {rate} a second": Load(
            crashing_per_s=rate, crashing_first_parts=parts
        )
        for parts in (1, 3, 40)
        for rate in (0.5, 1, 2, 5, 10)
    }
    loads["sound 100 a second"] = Load(sound_per_s=100, crashing_first_parts=1)
    loads["sound 5 a second"] = Load(sound_per_s=5, first_parts=100, crashing_first_parts=1)
    loads["few second parts"] = Load(second_parts=10)
    for rate in (1, 2, 5, 10):
        loads[f"from 10 s on, {rate} a second"] = Load(crashing_per_s=rate, crashing_since=10.0)
    two = ("bad", "worse")
    loads["two parts, first parts 1"] = Load(crashing_parts=two, crashing_first_parts=1)
    loads["two parts, first parts 40"] = Load(crashing_parts=two)
    return loads


def find_least_share(load: Load, tally: Tally, since: float) -> float:
    """Return the least share of sound requests that began, by first parts of crashing ones."""
    shares = [1.0]
    rows = tally.sound_grants + tally.sound_rejections
    for number in range(load.crashing_first_parts):
        part = f"a{number}"
        if sum(row == part and at > since for at, row in rows) >= ROWS_MIN:
            shares.append(measure_served_share(tally, since, part))
    return min(shares)


def measure_load(load: Load, seeds: int) -> dict[str, Any]:
    """Return the figures of a load over the seeds."""
    tallies = [CrashLoad(load, seed).play(0.0, END_S) for seed in range(seeds)]
    known = [t.crashes[min(len(t.crashes), CRASHES_TO_KNOW) - 1] + 2 * CONTACT_S for t in tallies]
    pairs = list(zip(tallies, known, strict=True))
    return {
        "sent_later_max": max(count_sent_later(tally) for tally in tallies),
        "crashes_mean": round(mean(len(tally.crashes) for tally in tallies), 1),
        "crashes_max": max(len(tally.crashes) for tally in tallies),
        "begun_min": round(min(measure_served_share(t, at) for t, at in pairs), 3),
        "begun_first_part_min": round(min(find_least_share(load, t, at) for t, at in pairs), 3),
    }


def main() -> int:
    """Print the figures; return the exit code."""
    seeds = 1 if "--short" in sys.argv else SEEDS
    figures = {name: measure_load(load, seeds) for name, load in list_loads().items()}
    print(msgspec.json.encode(figures).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
