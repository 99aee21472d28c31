"""Measure what callers get when load exceeds all slots, for each queue order.

Usage: python -m bench.orders [--short]. Replays the loads of
tests/systems/test_load_patterns.py against the dispatcher's decisions in virtual time. The same
seeds give the same figures.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from bench.load_model import Deployment, Simulation
from bench.load_policies import DispatchPolicy
from bench.loads import make_online, make_square
from clementinepin.tables.dispatch import QueueOrder

SEEDS = range(1, 7)
UNTIL_S = 60.0
# Names of the outcomes by the worth of the response to its caller.
SHARES = {1.0: "on_time", 0.57: "after_return", 0.15: "late", 0.0: "never"}


class Load(NamedTuple):
    """Arrivals per second as a function of time in seconds, up to ``until``, and the engines."""

    name: str
    rate: Callable[[float], float]
    until: float
    engines: int


LOADS = (
    Load("4 s at twice the slots", lambda now: 110.0 if 5 <= now < 9 else 10.0, 20.0, 5),
    Load("square peaks, two engines", make_square(7.0, 36.0), 30.0, 2),
    Load("square peaks, five engines", make_square(15.0, 75.0), 30.0, 5),
    Load("lasting 2.5 times the slots", lambda _now: 25.0, 20.0, 1),
)


def replay(load: Load, order: QueueOrder, seeds: range) -> dict[str, Any]:
    """Return the mean worth of a response to its caller and the shares of callers, of all seeds."""
    worth: list[float] = []
    held: list[float] = []
    for seed in seeds:
        deployment = Deployment(engines=load.engines)
        sim = Simulation(deployment, seed)
        requests = list(make_online(random.Random(seed), load.rate, load.until))
        sim.run(DispatchPolicy(deployment, order), requests, UNTIL_S)
        worth.extend(sim.worth.values())
        held.extend(sim.unserved_waits_s)
    counts = Counter(worth)
    row: dict[str, Any] = {"load": load.name, "order": str(order)}
    row.update({name: round(counts[value] / len(worth), 3) for value, name in SHARES.items()})
    row["worth"] = round(sum(worth) / len(worth), 3)
    row["held_over_1_s"] = round(sum(1 for s in held if s > 1.0) / len(worth), 3)
    return row


def main() -> None:
    """Print one line per load and order, then all rows as one JSON object."""
    seeds = SEEDS[:1] if "--short" in sys.argv else SEEDS
    rows = [replay(load, order, seeds) for load in LOADS for order in QueueOrder]
    for row in rows:
        print("  ".join(f"{name} {value}" for name, value in row.items()))
    print(msgspec.json.encode({"rows": rows}).decode())


if __name__ == "__main__":
    main()
