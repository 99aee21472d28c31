"""Measure online tail latency and batch throughput for each policy and both deployments.

Usage: python -m bench.mix [--short]. Runs the real deciders over an in-process model of engines
and network in virtual time.
"""

from __future__ import annotations

import random
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

import msgspec

from bench._fleet import KIRKVOICE, LAKAZ, Arrival, Deployment, ModelFleet
from bench._model import STEP_ACTIVE_S, STEP_BASE_S

SEED = 20_261_203
PROCESSES = 3
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
    """Return a trace with low load and periodic bursts.

    The rates are shares of what all slots can serve. Arrivals are drawn at the rate of a burst and
    thinned outside of bursts.
    """
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


class Run(NamedTuple):
    """Parameters of one run; the policy ``none`` runs without batch."""

    deployment: Deployment
    label: str
    policy: str
    duration_s: float
    online: bool = True


class Outcome(NamedTuple):
    """Result of one run; first tokens in seconds."""

    first_tokens: list[float]
    refused: int
    batch_tokens: int
    preemptions: int
    slot_seconds: float


def execute_run(run: Run) -> Outcome:
    """Run the model with the trace and return the result."""
    deployment = run.deployment
    fleet = ModelFleet(deployment, run.policy, SEED, batch=run.policy != "none")
    trace = create_trace(deployment, run.duration_s, SEED) if run.online else []
    fleet.run_trace(trace, run.duration_s)
    slot_seconds = sum(engine.slot_seconds for engine in fleet.engines.values())
    return Outcome(
        fleet.first_tokens, fleet.refused, fleet.batch_tokens, fleet.preemptions, slot_seconds
    )


def list_runs(deployment: Deployment, duration_s: float) -> list[Run]:
    """Return the runs of one deployment.

    These are one run without batch, one without online calls, one for each policy and one for
    each preference.
    """
    runs = [
        Run(deployment, "none", "none", duration_s),
        Run(deployment, "alone", "blind", duration_s, online=False),
    ]
    runs += [Run(deployment, policy, policy, duration_s) for policy in POLICIES]
    for preference in PREFERENCES:
        varied = deployment._replace(preference=preference)
        label = f"adaptive_preference_{preference}"
        runs.append(Run(varied, label, "adaptive", duration_s))
    return runs


def measure(
    deployment: Deployment,
    outcome: Outcome,
    without_batch: Outcome,
    batch_alone: Outcome,
    duration_s: float,
) -> dict[str, Any]:
    """Return the figures of a run, relative to the runs without batch and without online calls.

    ``batch_share`` is relative to the batch tokens that the idle capacity allows: those of the run
    without online calls, times the share of slot time that online calls leave free in the run
    without batch.
    """
    total = deployment.workers * deployment.slots * duration_s
    idle_tokens = batch_alone.batch_tokens * (1.0 - without_batch.slot_seconds / total)
    first_token_p95_s, first_token_p99_s = (
        quantile(outcome.first_tokens, share) for share in (0.95, 0.99)
    )
    return {
        "online_p99_ratio": round(
            first_token_p99_s / quantile(without_batch.first_tokens, 0.99), 3
        ),
        "online_p95_ratio": round(
            first_token_p95_s / quantile(without_batch.first_tokens, 0.95), 3
        ),
        "batch_share": round(outcome.batch_tokens / idle_tokens, 3),
        "online_p50_ms": round(quantile(outcome.first_tokens, 0.5) * 1000, 1),
        "online_p99_ms": round(first_token_p99_s * 1000, 1),
        "calls": len(outcome.first_tokens),
        "refused": outcome.refused,
        "preemptions": outcome.preemptions,
    }


def quantile(values: list[float], share: float) -> float:
    """Return a quantile by nearest rank."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(len(ranked) * share))]


def compare(duration_s: float) -> dict[str, dict[str, Any]]:
    """Execute all runs in parallel processes; return figures by deployment and label."""
    deployments = (LAKAZ, KIRKVOICE)
    runs = [run for deployment in deployments for run in list_runs(deployment, duration_s)]
    with ProcessPoolExecutor(PROCESSES) as pool:
        outcomes = list(pool.map(execute_run, runs))
    by_label = {
        (run.deployment.name, run.label): outcome
        for run, outcome in zip(runs, outcomes, strict=True)
    }
    figures: dict[str, dict[str, Any]] = {deployment.name: {} for deployment in deployments}
    for (name, label), outcome in by_label.items():
        deployment = next(d for d in deployments if d.name == name)
        without_batch, batch_alone = by_label[name, "none"], by_label[name, "alone"]
        if label != "alone":
            figures[name][label] = measure(
                deployment, outcome, without_batch, batch_alone, duration_s
            )
    return figures


def main() -> None:
    """Print the figures, the last line as one JSON object."""
    duration_s = SHORT_S if "--short" in sys.argv else FULL_S
    result: dict[str, Any] = {"bench": "mix", "source": "in-process model in virtual time"}
    result["trace_s"] = duration_s
    figures = compare(duration_s)
    for name, rows in figures.items():
        for label, row in rows.items():
            print(f"{name:10} {label:26} {row}")
    result |= figures
    adaptive = [rows["adaptive"] for rows in figures.values()]
    result["online_p99_ratio"] = max(row["online_p99_ratio"] for row in adaptive)
    result["batch_share"] = min(row["batch_share"] for row in adaptive)
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
