"""Measure the time from a burst's first request until batch has left the slots it needs.

Usage: python -m bench.burst [--short]. Runs the real deciders over an in-process model of engines
and network in virtual time. Batch holds all slots, then online calls arrive at all entries.
"""

from __future__ import annotations

import random
import sys
from typing import Any

import msgspec

from bench._fleet import KIRKVOICE, LAKAZ, Arrival, Deployment, ModelFleet
from bench.mix import SEED, quantile

BURST_SHARES = (0.25, 0.5, 1.0)
BURST_DURATION_S = 0.02
SETTLE_S = 5.0
BURSTS_SHORT = 10
BURSTS_FULL = 50
TOKENS = 64


def measure_burst(deployment: Deployment, share: float, seed: int) -> tuple[float, float]:
    """Run one burst; return the preemption time and the longest time to a first token.

    Both are in seconds. The preemption time ends when no online call waits while batch runs.
    """
    fleet = ModelFleet(deployment, "adaptive", seed, batch=True)
    fleet.run_trace([], SETTLE_S)
    rng = random.Random(seed)
    calls = round(deployment.workers * deployment.slots * share)
    trace = [
        Arrival(f"o{i}", rng.uniform(0.0, BURST_DURATION_S), rng.randrange(6), TOKENS)
        for i in range(calls)
    ]
    trace.sort(key=lambda arrival: arrival.at)
    started_at = fleet.loop.now + trace[0].at
    fleet.run_trace(trace, 1.0)
    blocked_until = max(engine.blocked_until for engine in fleet.engines.values())
    return max(0.0, blocked_until - started_at), max(fleet.first_tokens)


def main() -> None:
    """Print the figures, the last line as one JSON object.

    The keys ``yield_*`` are preemption times in milliseconds.
    """
    bursts = BURSTS_SHORT if "--short" in sys.argv else BURSTS_FULL
    result: dict[str, Any] = {"bench": "burst", "source": "in-process model in virtual time"}
    worst_ms = 0.0
    for deployment in (LAKAZ, KIRKVOICE):
        for share in BURST_SHARES:
            runs = [measure_burst(deployment, share, SEED + i) for i in range(bursts)]
            preemption_times_s = [run[0] for run in runs]
            row = {
                "yield_p50_ms": round(quantile(preemption_times_s, 0.5) * 1000, 1),
                "yield_max_ms": round(max(preemption_times_s) * 1000, 1),
                "first_token_max_ms": round(max(run[1] for run in runs) * 1000, 1),
            }
            worst_ms = max(worst_ms, row["yield_max_ms"])
            print(f"{deployment.name:10} burst of {share:4} of the slots {row}")
            result[f"{deployment.name}_{share}"] = row
    result["yield_ms"] = worst_ms
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
