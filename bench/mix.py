"""Online tail latency and batch throughput together, for each policy and both deployments.

Usage: python -m bench.mix [--short]. Runs the real deciders over an in-process model of engines
and network in virtual time.
"""

from __future__ import annotations

import random
import sys
from typing import Any

import msgspec

from bench._fleet import KIRKVOICE, LAKAZ, Arrival, Deployment, Fleet
from bench._model import STEP_ACTIVE_S, STEP_BASE_S

SEED = 20_261_203
SHORT_S = 60.0
FULL_S = 300.0
POLICIES = ("adaptive", "blind", "fixed")
PREFERENCES = (0.0, 0.5, 1.0)
IDLE_SHARE = 0.1
BURST_SHARE = 0.8
BURST_EVERY_S = 10.0
BURST_S = 2.5
ONLINE_TOKENS = (16, 64)


def create_trace(deployment: Deployment, duration_s: float, seed: int) -> list[Arrival]:
    """Return bursts out of near idleness; rates are shares of what the slots can serve."""
    rng = random.Random(seed)
    step_s = STEP_BASE_S + STEP_ACTIVE_S * deployment.slots
    hold_s = sum(ONLINE_TOKENS) / 2 * step_s
    capacity_per_s = deployment.workers * deployment.slots / hold_s
    arrivals = []
    at = 0.0
    while True:
        in_burst = at % BURST_EVERY_S >= BURST_EVERY_S - BURST_S
        share = BURST_SHARE if in_burst else IDLE_SHARE
        at += rng.expovariate(BURST_SHARE * capacity_per_s)
        if at >= duration_s:
            return arrivals
        if rng.random() < share / BURST_SHARE:
            arrivals.append(
                Arrival(f"o{len(arrivals)}", at, rng.randrange(6), rng.randint(*ONLINE_TOKENS))
            )


def run(
    deployment: Deployment, policy: str, duration_s: float, *, batch: bool, online: bool = True
):
    """Play a trace and return the fleet."""
    fleet = Fleet(deployment, policy, SEED, batch=batch)
    trace = create_trace(deployment, duration_s, SEED) if online else []
    fleet.play(trace, duration_s)
    return fleet


def measure(fleet: Fleet, base: Fleet, alone: Fleet, duration_s: float) -> dict[str, Any]:
    """Return the figures of a run beside the runs without batch and without online calls."""
    total = fleet.deployment.workers * fleet.deployment.slots * duration_s
    used = sum(engine.slot_seconds for engine in base.engines.values())
    idle_tokens = alone.batch_tokens * (1.0 - used / total)
    p99_s = quantile(fleet.first_tokens, 0.99)
    return {
        "online_p99_ratio": round(p99_s / quantile(base.first_tokens, 0.99), 3),
        "batch_share": round(fleet.batch_tokens / idle_tokens, 3),
        "online_p50_ms": round(quantile(fleet.first_tokens, 0.5) * 1000, 1),
        "online_p99_ms": round(p99_s * 1000, 1),
        "calls": len(fleet.first_tokens),
        "refused": fleet.refused,
        "preemptions": fleet.preemptions,
    }


def quantile(values: list[float], share: float) -> float:
    """Return a quantile by nearest rank."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(len(ranked) * share))]


def compare(deployment: Deployment, duration_s: float) -> dict[str, Any]:
    """Return the figures of all policies and preferences on one deployment's trace."""
    base = run(deployment, "none", duration_s, batch=False)
    alone = run(deployment, "blind", duration_s, batch=True, online=False)
    figures = {"none": measure(base, base, alone, duration_s)}
    for policy in POLICIES:
        fleet = run(deployment, policy, duration_s, batch=True)
        figures[policy] = measure(fleet, base, alone, duration_s)
    for preference in PREFERENCES:
        varied = deployment._replace(preference=preference)
        fleet = run(varied, "adaptive", duration_s, batch=True)
        figures[f"adaptive_preference_{preference}"] = measure(fleet, base, alone, duration_s)
    return figures


def main() -> None:
    """Print the figures, the last line as one JSON object."""
    duration_s = SHORT_S if "--short" in sys.argv else FULL_S
    result: dict[str, Any] = {"bench": "mix", "source": "in-process model in virtual time"}
    result["trace_s"] = duration_s
    for deployment in (LAKAZ, KIRKVOICE):
        figures = compare(deployment, duration_s)
        for name, row in figures.items():
            print(f"{deployment.name:10} {name:26} {row}")
        result[deployment.name] = figures
    for key in ("online_p99_ratio", "batch_share"):
        worst = max if key == "online_p99_ratio" else min
        result[key] = worst(result[d.name]["adaptive"][key] for d in (LAKAZ, KIRKVOICE))
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
