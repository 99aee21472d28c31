"""The operator moves a batch route to another service by weights; its items don't follow."""

from __future__ import annotations

import os
import sys
import traceback
from pathlib import Path
from typing import Any

import gevent
from fleet import SERVICE, Fleet, Record, Worker, call, end_on_signals, make_job, read_results

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NEW_SERVICE = "llm-new"
CONFIG_DEADLINE_S = 2.0
DRAIN_TIMEOUT_S = 2.0
FINISH_DEADLINE_S = 18.0
CALM_S = 5.0
ITEM_EVENTS = 10
ROUTE = {
    "name": "jobs",
    "host": "review.example",
    "path_prefix": "/jobs/",
    "kind": "batch",
    "timeout_ms": 15000,
    "target_latency_ms": 500,
    "gap_target_ms": 200,
    "run_target_ms": 18000,
    "retention_s": 60,
    "max_attempts": 3,
    "max_count": 2_000_000,
    "sticky": True,
    "resumable": True,
    "priority": 2,
}
SPLITS = {
    1: [{"service": SERVICE, "weight": 100}, {"service": NEW_SERVICE, "weight": 0}],
    2: [{"service": SERVICE, "weight": 0}, {"service": NEW_SERVICE, "weight": 100}],
}


class Case:
    """The changes of the desired state, the traffic and the check."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.fleet = Fleet(record, [ROUTE | {"traffic_split": SPLITS[1]}])
        self.workers = [Worker(self.fleet, n, step_s=0.05) for n in range(6)]
        for worker in self.workers[1:]:
            worker.service = NEW_SERVICE
        self.fleet.workers = self.workers
        self.jobs: dict[str, list[str]] = {}

    def run(self) -> bool:
        """Play the case; return whether the rule held."""
        self.fleet.start()
        self.send_job("job1")
        gevent.sleep(4.0)
        if TROUBLE:
            self.fleet.put_config(2, [ROUTE | {"traffic_split": SPLITS[2]}])
            self.record.write(f"the desired state 2 is confirmed: {SPLITS[2]}")
        gevent.sleep(2 * CONFIG_DEADLINE_S)
        self.send_job("job2")
        gevent.sleep(4.0)
        if TROUBLE:
            for worker in self.workers[:1]:
                worker.report_draining()
            gevent.sleep(2 * DRAIN_TIMEOUT_S)
            for worker in self.workers[:1]:
                worker.leave()
        gevent.sleep(1.0)
        self.send_job("job3")
        self.record.write("traffic ends")
        gevent.sleep(FINISH_DEADLINE_S)
        return self.check()

    def send_job(self, job: str) -> None:
        """Submit a batch job until it is accepted."""
        items = [f"{job}i{n}" for n in range(10)]
        headers = {
            "Clementinepin-Model": "m",
            "Clementinepin-Token-Count": f"230,{ITEM_EVENTS}",
            "Clementinepin-Prompt-Prefix": "5c1e07a2:200",
        }
        body = make_job(items, headers, "/jobs/", 240)
        for front in self.fleet.fronts:
            sent = {"Clementinepin-Request-Id": job, "Content-Type": "application/json"}
            port = self.fleet.ports["front"]
            answer = call(front.ip, port, "POST", f"/jobs/{job}", sent, body)
            self.record.write(f"{job} submitted at {front.name}: {answer.status}")
            if answer.status == 202:
                self.jobs[job] = items
                return

    def check(self) -> bool:
        """Return whether all items are listed, or the rule excuses it."""
        end = self.record.now()
        unlisted: set[str] = set()
        for job, items in self.jobs.items():
            results = read_results(self.fleet, job)
            if results is None:
                raise RuntimeError(f"{job} can't be read")
            listed = {result["id"] for result in results}
            self.record.write(f"{job}: {len(listed)} of {len(items)} items listed")
            unlisted.update(set(items) - listed)
        for run in self.fleet.runs:
            self.record.write(f"run {run}")
        recent = [r for r in self.fleet.runs if r["end"] is None or r["end"] > end - CALM_S]
        self.record.write(
            f"{len(unlisted)} items unlisted; {len(recent)} runs at workers in the last {CALM_S} s"
        )
        if len(self.jobs) < 3:
            raise RuntimeError("not all batch jobs were accepted")
        self.record.write("LOST is broken" if unlisted and not recent else "LOST held")
        return not (unlisted and not recent)


def main() -> int:
    """Play the case once."""
    record = Record(Path(__file__).parent / "record.txt")
    record.write(f"trouble: {TROUBLE}")
    end_on_signals()
    case: Any = None
    try:
        case = Case(record)
        return 0 if case.run() else 1
    except Exception:
        record.write(traceback.format_exc())
        return 2
    finally:
        if case is not None:
            case.fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
