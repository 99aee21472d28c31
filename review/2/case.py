"""The operator removes a route that has batch jobs; jobs of another route come after it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import gevent

from review.common.fleet import (
    EXIT_BROKEN,
    EXIT_HELD,
    Fleet,
    NotRunError,
    make_items,
    read_all_results,
    run_case,
    submit,
)

SERVICE = "homily-lm"
EVENTS = 30
EVENT_S = 0.02
WORKERS = 9
FORMER_JOBS, FORMER_ITEMS = 8, 200  # a batch job has at most 200 items
LATER_JOBS, LATER_ITEMS = 12, 10
CONFIG_DEADLINE_S = 2.0
FINISH_DEADLINE_S = 18.0
CALM_S = 5.0
COMMON = {
    "host": "nony24.example",
    "kind": "batch",
    "service": SERVICE,
    "timeout_ms": 15000,
    "target_latency_ms": 500,
    "gap_target_ms": 200,
    "run_target_ms": 18000,
    "retention_s": 60,
    "max_attempts": 3,
    "max_count": 2_100_000,
    "resumable": True,
    "sticky": True,
    "priority": 2,
}
FORMER = {"name": "weekly-bundle", "path_prefix": "/pule252/", **COMMON}
LATER = {"name": "branch-bundle", "path_prefix": "/kove117/", **COMMON}


def play(case: Path) -> int:
    """Run the case and return its exit code."""
    fleet = Fleet(case, fronts=2, stores=4)
    try:
        return check(fleet)
    finally:
        fleet.stop()


def check(fleet: Fleet) -> int:
    """Play the case and judge what clients have seen."""
    fleet.put_configuration(1, [FORMER, LATER], [SERVICE])
    for n in range(WORKERS):
        fleet.add_worker(f"w{n}", SERVICE, event_s=EVENT_S)
    fleet.start()
    fronts = [m.address("front") for m in fleet.fronts]
    former = [f"a1{n:02x}9b52d6a3f8" for n in range(FORMER_JOBS)]
    later = [f"b2{n:02x}9b52d6a3f8" for n in range(LATER_JOBS)]
    for n, job_id in enumerate(former):
        items = make_items(f"a1{n:02x}c14da6", FORMER_ITEMS, "/pule252/", EVENTS)
        submit_until_accepted(fleet, fronts, "/pule252/7c41e0", job_id, items)
    if fleet.trouble:
        fleet.put_configuration(4, [LATER], [SERVICE])
    gevent.sleep(CONFIG_DEADLINE_S + 1.0)
    for n, job_id in enumerate(later):
        items = make_items(f"b2{n:02x}c14da6", LATER_ITEMS, "/kove117/", EVENTS)
        submit_until_accepted(fleet, fronts, "/kove117/7c41e0", job_id, items)
    fleet.record("traffic has ended")
    gevent.sleep(FINISH_DEADLINE_S - CALM_S)
    runs_before, full = len(fleet.log.runs), 0
    for _ in range(int(CALM_S / 0.1)):
        gevent.sleep(0.1)
        running = sum(worker.running for worker in fleet.workers.values())
        full = max(full, running)
    fleet.record(
        f"last {CALM_S} s: {len(fleet.log.runs) - runs_before} runs began,"
        f" at most {full} of {WORKERS * 8} slots in use"
    )
    is_idle = full < WORKERS * 8 / 2 and len(fleet.log.runs) == runs_before
    return judge(fleet, fronts, former, later, is_idle=is_idle)


def submit_until_accepted(
    fleet: Fleet, fronts: list[str], path: str, job_id: str, items: list[dict[str, Any]]
) -> None:
    """Submit a job at one front after the other until it is accepted."""
    for attempt in range(10):
        answer = submit(fronts[attempt % len(fronts)], path, job_id, items)
        fleet.record(f"sent job {job_id}, {len(items)} items: status {answer.status}")
        if answer.status == 202:
            return
        gevent.sleep(0.5)
    raise NotRunError(f"job {job_id} was not accepted")


def judge(
    fleet: Fleet, fronts: list[str], former: list[str], later: list[str], *, is_idle: bool
) -> int:
    """Return 1 if an item whose route is in force is not listed though the workers are idle."""
    unlisted = 0
    for kind, jobs in (("former", former), ("later", later)):
        for job_id in jobs:
            total, rows = read_all_results(fronts, job_id)
            ids = {row["id"] for row in rows}
            dead = sum(row["state"] != "completed" for row in rows)
            missing = total - len(ids)
            unlisted += missing if kind == "later" else 0
            fleet.record(f"{kind} job {job_id}: {len(ids)} of {total} listed, {dead} dead")
            if total < 0:
                raise NotRunError(f"job {job_id} can't be read")
    ran = {run.request_id for run in fleet.log.runs}
    never = sum(f"b2{n:02x}c14da6{i:04x}" not in ran for n in range(LATER_JOBS) for i in range(10))
    fleet.record(f"{unlisted} items of later jobs not listed, {never} of them never at a worker")
    if unlisted and not is_idle:
        raise NotRunError("the workers were not idle")
    return EXIT_BROKEN if unlisted else EXIT_HELD


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
