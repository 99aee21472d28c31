"""Measure what the causes of crashes cost a dispatcher.

Usage: python -m bench.crashes [--short]. The last line is one JSON object: memory of the crashes
and successes that are remembered, and time a request for a slot and a success, while they are.
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec

from clementinepin.systems import crash_causes
from clementinepin.systems.crash_causes import CRASHES_KEPT_MAX, SOUND_MAX
from clementinepin.tables.crashes import BrokenRun, CrashTable

SERVICE = "llm"
RUNS_PER_CRASH = 16
REQUESTS = 100_000
REQUESTS_SHORT = 1_000
FIRST_PARTS = 40


def fill_table(crashes: int) -> CrashTable:
    """Return a table with crashes a second apart, under runs that share their first parts."""
    table = CrashTable()
    for number in range(crashes):
        for run in range(RUNS_PER_CRASH):
            key = number * RUNS_PER_CRASH + run
            traits = frozenset({f"a{run % FIRST_PARTS}", f"b{key}", f"digest{key}"})
            broken = BrokenRun(("f", key), f"t{number}", SERVICE, traits, 0 if run == 0 else 20)
            crash_causes.record_crash(table, broken, float(number))
    return table


def measure(call: Callable[[frozenset[str]], Any], count: int) -> float:
    """Return the microseconds of a call with the traits of a sound request."""
    requests = [
        frozenset({f"first{n % FIRST_PARTS}", f"second{n}", f"own{n}"}) for n in range(count)
    ]
    started = time.perf_counter()
    for traits in requests:
        call(traits)
    return (time.perf_counter() - started) / count * 1e6


def measure_crashes(requests: int) -> dict[str, Any]:
    """Return the figures with as many crashes and successes as are remembered for a service."""
    tracemalloc.start()
    table = fill_table(CRASHES_KEPT_MAX)
    for number in range(SOUND_MAX):
        crash_causes.record_success(table, SERVICE, frozenset({f"digest-{number:026}"}), 0.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    now = CRASHES_KEPT_MAX + 1.0
    return {
        "crashes": CRASHES_KEPT_MAX,
        "runs": CRASHES_KEPT_MAX * RUNS_PER_CRASH,
        "kilobytes": round(size / 1000, 1),
        "us_a_request": round(
            measure(lambda t: crash_causes.may_run(table, SERVICE, t, now), requests), 2
        ),
        "us_a_success": round(
            measure(lambda t: crash_causes.record_success(table, SERVICE, t, now), requests), 2
        ),
    }


def main() -> int:
    """Print the figures; return the exit code."""
    count = REQUESTS_SHORT if "--short" in sys.argv else REQUESTS
    print(msgspec.json.encode(measure_crashes(count)).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
