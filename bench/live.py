"""Measure online tail latency during a batch job with real daemons and stand-in engines.

Usage: python -m bench.live [--short]. Runs the kirkvoice example on loopback: six daemons, five
engines, no added network delay. The short form sends one burst for the policies ``none`` and
``adaptive``. The full form sends four bursts for all policies. Before that, it measures the
throughput of batch without online calls, from which the idle capacity is computed. The last line is
one JSON object.
"""

from __future__ import annotations

import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import gevent
import msgspec

from bench._fleet import KIRKVOICE, Arrival
from bench.mix import BURST_EVERY_S, SEED, create_trace, quantile
from clementinepin.cli import run as run_command
from standins.caller import Caller, Response
from standins.fleet import Fleet, FleetPlan, load_plan, send_json
from standins.jobs import submit_job
from standins.processes import ProcessGroup, wait_until

EXAMPLE = Path("examples/kirkvoice")
SERVICE = "homily-lm"
BATCH_ITEMS = 3_000
BATCH_TOKENS = 96
SETTLE_S = 4.0
SERVING_TIMEOUT_S = 20.0
POLICIES = ("none", "adaptive", "blind", "fixed")
POLICIES_SHORT = ("none", "adaptive")
BURSTS_FULL = 4


class Outcome(NamedTuple):
    """Result of one run; first tokens in seconds."""

    first_tokens: list[float]
    failed: int
    batch_tokens: int
    online_tokens: int


def run_policy(policy: str, duration_s: float, *, online: bool = True) -> Outcome:
    """Start a fleet with a policy, send the trace and return the result.

    A batch job runs meanwhile, unless the policy is ``none``.
    """
    plan = load_plan(EXAMPLE / "demo" / "fleet.toml")._replace(allowance_policy=policy)
    with (
        tempfile.TemporaryDirectory(prefix="clementinepin-bench-") as folder,
        ProcessGroup(Path(folder)) as group,
    ):
        fleet = Fleet(plan, group)
        fleet.start()
        caller = Caller(plan.keys[plan.demo["online_account"]])
        _apply(fleet, plan, caller)
        if policy != "none":
            _submit(fleet, plan)
        gevent.sleep(SETTLE_S)
        before = _count_tokens(fleet)
        started_at = time.monotonic()
        trace = create_trace(KIRKVOICE, duration_s, SEED) if online else []
        responses = _send_trace(fleet, plan, caller, trace)
        gevent.sleep(max(0.0, started_at + duration_s - time.monotonic()))
        tokens = _count_tokens(fleet) - before
    whole = [response for response in responses if response.whole]
    delivered = sum(response.tokens for response in whole)
    first_tokens = [response.first_token_s for response in whole]
    return Outcome(first_tokens, len(responses) - len(whole), tokens - delivered, delivered)


def _apply(fleet: Fleet, plan: FleetPlan, caller: Caller) -> None:
    """Apply the example's file set and wait until every daemon serves."""
    os.environ["CLEMENTINEPIN_ENTRY"] = ",".join(fleet.list_entry_urls())
    os.environ["CLEMENTINEPIN_OPERATOR_KEY"] = plan.operator_key
    run_command(["apply", str(EXAMPLE), "--wait"])
    for member in fleet.daemons:
        body = _make_body(plan, "warm", 1)
        wait_until(
            lambda m=member, b=body: caller.complete(m.port, b).whole,
            SERVING_TIMEOUT_S,
            "no target",
        )


def _submit(fleet: Fleet, plan: FleetPlan) -> None:
    """Submit a job that is larger than a run can complete."""
    caller = Caller(plan.keys[plan.demo["batch_account"]])
    items = (
        {
            "custom_id": f"i{n}",
            "method": "POST",
            "url": "/v1/completions",
            "body": {
                "model": plan.demo["batch_application"],
                "prompt": f"summarise sermon {n} " + "word " * 60,
                "max_tokens": BATCH_TOKENS,
            },
        }
        for n in range(BATCH_ITEMS)
    )
    submit_job(caller, fleet.daemons[0].port, "live", items)


def _send_trace(
    fleet: Fleet, plan: FleetPlan, caller: Caller, trace: list[Arrival]
) -> list[Response]:
    started_at = time.monotonic()
    calls = []
    for arrival in trace:
        gevent.sleep(max(0.0, started_at + arrival.at - time.monotonic()))
        port = fleet.daemons[arrival.entry].port
        body = _make_body(plan, arrival.name, arrival.tokens)
        calls.append(gevent.spawn(caller.complete, port, body))
    gevent.joinall(calls)
    return [call.value for call in calls]


def _make_body(plan: FleetPlan, name: str, tokens: int) -> dict[str, Any]:
    return {
        "model": plan.demo["online_application"],
        "prompt": f"question {name} about a reading",
        "max_tokens": tokens,
        "stream": True,
    }


def _count_tokens(fleet: Fleet) -> int:
    """Return the tokens that all engines have produced since their start."""
    return sum(
        send_json(member.port, "GET", "/standin/runs")["tokens_total"]
        for member in fleet.targets[SERVICE]
    )


def main() -> None:
    """Print the figures, the last line as one JSON object."""
    short = "--short" in sys.argv
    duration_s = BURST_EVERY_S * (1 if short else BURSTS_FULL)
    result: dict[str, Any] = {"bench": "live", "source": "real daemons on loopback"}
    result["trace_s"] = duration_s
    base_s = 0.0
    batch_alone_tokens = 0 if short else run_policy("blind", duration_s, online=False).batch_tokens
    result["alone_tokens_per_s"] = round(batch_alone_tokens / duration_s, 1)
    for policy in POLICIES_SHORT if short else POLICIES:
        outcome = run_policy(policy, duration_s)
        first_token_p99_s = quantile(outcome.first_tokens, 0.99)
        base_s = base_s or first_token_p99_s
        result[policy] = {
            "online_p99_ratio": round(first_token_p99_s / base_s, 3),
            "online_p50_ms": round(quantile(outcome.first_tokens, 0.5) * 1000, 1),
            "online_p99_ms": round(first_token_p99_s * 1000, 1),
            "batch_tokens_per_s": round(outcome.batch_tokens / duration_s, 1),
            "batch_share": (
                round(outcome.batch_tokens / (batch_alone_tokens - outcome.online_tokens), 3)
                if batch_alone_tokens
                else None
            ),
            "calls": len(outcome.first_tokens),
            "failed": outcome.failed,
        }
        print(policy, result[policy], flush=True)
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
