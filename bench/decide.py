"""Measure the processor time of one instance's decisions by numbers of targets and instances.

Usage: python -m bench.decide [--short]. The last line is one JSON object.
"""

from __future__ import annotations

import random
import sys
import time
from typing import Any

import msgspec

from bench._fleet import LAKAZ, build_configuration
from clementinepin.infrastructure import ListedInstance
from clementinepin.scheduling import CallInfo, CallResult
from clementinepin.scheduling._decider import Decider
from clementinepin.systems.actions import Grant
from clementinepin.systems.allowance import create_policy
from clementinepin.tables import View
from clementinepin.targets import LoadReport

SIZES = ((5, 6), (9, 6), (200, 60), (2_000, 590))
REQUESTS_PER_S = 54
TICKS_PER_S = 20
REQUESTS = 5_000
REQUESTS_SHORT = 2_000
TICKS = 500
RUNNING_MAX = 6


def build_decider(targets: int, instances: int) -> Decider:
    """Return a decider that knows all targets and an empty load report of each."""
    live = tuple(f"e{i}" for i in range(instances))
    view = View("e1", "dc1", "r", live, build_configuration(LAKAZ))
    decider = Decider(view, create_policy("adaptive"), 100, random.Random(1))
    names = [f"t{i}" for i in range(targets)]
    decider.set_targets(
        ListedInstance(name, "lm", "127.0.0.1", 1, 0, "dc1", "r", "live") for name in names
    )
    decider.set_view(view)
    report = LoadReport(0, 0, 0.0, ("m",), (), "serve", 0, 0.0)
    for name in names:
        decider.tables.targets.update(name, report=report)
    return decider


def measure(targets: int, instances: int, requests: int) -> dict[str, Any]:
    """Return the processor time of a request, an idle tick and the loss of one member.

    ``core_share`` is the share of a core at ``REQUESTS_PER_S`` and ``TICKS_PER_S``.
    """
    decider = build_decider(targets, instances)
    view = decider.view
    started = time.process_time()
    decider.set_view(view._replace(live=view.live[:-1]))
    view_change_s = time.process_time() - started
    decider.set_view(view)
    now, running = 1_000.0, []
    started = time.process_time()
    for number in range(requests):
        now += 1 / REQUESTS_PER_S
        name = f"r{number}"
        call = CallInfo(name, "a", "lm", "app", "online", now + 60.0, name)
        decider.submit(call, now, now)
        running += [a.ticket for a in decider.tick(now, now) if isinstance(a, Grant)]
        if len(running) > RUNNING_MAX:
            decider.finish(running.pop(0), CallResult.SUCCESS, now, now)
            decider.tick(now, now)
    request_s = (time.process_time() - started) / requests
    started = time.process_time()
    for _ in range(TICKS):
        now += 1 / TICKS_PER_S
        decider.tick(now, now)
    tick_s = (time.process_time() - started) / TICKS
    return {
        "targets": targets,
        "instances": instances,
        "request_us": round(request_s * 1e6),
        "idle_tick_us": round(tick_s * 1e6),
        "member_change_ms": round(view_change_s * 1e3, 1),
        "core_share": round(request_s * REQUESTS_PER_S + tick_s * TICKS_PER_S, 4),
    }


def main() -> None:
    """Print the figures, the last line as one JSON object."""
    requests = REQUESTS_SHORT if "--short" in sys.argv else REQUESTS
    rows = [measure(targets, instances, requests) for targets, instances in SIZES]
    for row in rows:
        print(row)
    print(msgspec.json.encode({"bench": "decide", "rows": rows}).decode())


if __name__ == "__main__":
    main()
