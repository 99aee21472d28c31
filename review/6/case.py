"""All workers of a service crash once; batch items that share a prompt part are held back."""

from __future__ import annotations

import os
import random
import sys
import traceback
from pathlib import Path
from typing import Any

import gevent
from fleet import SERVICE, Fleet, Record, Worker, call, end_on_signals, make_job, read_results

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SHARED = "5c1e07a2:200"  # the application's system prompt, in calls and batch items alike
CRASH_AT_S = 14.0
CRASH_S = 4.5
TRAFFIC_S = 22.0
FINISH_DEADLINE_S = 18.0
CALM_S = 5.0
CALL_EVENTS = 8
ITEM_EVENTS = 10
COMMON = {"host": "review.example", "service": SERVICE, "sticky": True, "gap_target_ms": 200}
ROUTES = [
    COMMON
    | {
        "name": "chat",
        "path_prefix": "/chat/",
        "kind": "streaming",
        "timeout_ms": 5000,
        "target_latency_ms": 300,
        "max_attempts": 1,
        "priority": 0,
    },
    COMMON
    | {
        "name": "jobs",
        "path_prefix": "/jobs/",
        "kind": "batch",
        "timeout_ms": 15000,
        "target_latency_ms": 500,
        "run_target_ms": 18000,
        "retention_s": 60,
        "max_attempts": 3,
        "max_count": 2_000_000,
        "resumable": True,
        "priority": 2,
    },
]


class Case:
    """The traffic and the check."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.fleet = Fleet(record, ROUTES)
        self.fleet.workers = [Worker(self.fleet, n, step_s=0.1) for n in range(3)]
        self.random = random.Random()
        self.jobs: dict[str, list[str]] = {}
        self.calls = 0

    def run(self) -> bool:
        """Play the case; return whether the rule held."""
        self.fleet.start()
        self.record.write("traffic begins")
        begun = self.record.now()
        if TROUBLE:
            gevent.spawn_later(CRASH_AT_S, self.crash)
        sent_jobs = 0
        while (at := self.record.now() - begun) < TRAFFIC_S:
            gevent.spawn(self.send_call)
            if at >= 4.0 * sent_jobs:
                sent_jobs += 1
                gevent.spawn(self.send_job, f"job{sent_jobs}")
            gevent.sleep(self.random.uniform(0.1, 0.22))
        self.record.write("traffic ends")
        gevent.sleep(FINISH_DEADLINE_S)
        return self.check()

    def crash(self) -> None:
        """Crash all workers; they are back after CRASH_S with new ids."""
        for worker in self.fleet.workers:
            worker.crash()
        gevent.sleep(CRASH_S)
        for worker in self.fleet.workers:
            worker.start()

    def send_call(self) -> None:
        """Send a streaming call, and once more after a promise that it didn't run."""
        self.calls += 1
        name = f"c{self.calls:04d}"
        for attempt in range(2):
            front = self.random.choice(self.fleet.fronts)
            request_id = f"{name}-{attempt}"
            headers = {
                "Clementinepin-Request-Id": request_id,
                "Clementinepin-Model": "m",
                "Clementinepin-Token-Count": f"230,{CALL_EVENTS}",
                "Clementinepin-Prompt-Prefix": f"{SHARED},{name}:30",
                "Clementinepin-Deadline-Ms": "5000",
            }
            path, port = f"/chat/{name}", self.fleet.ports["front"]
            answer = call(front.ip, port, "POST", path, headers, name.encode())
            self.record.write(f"call {request_id} at {front.name}: {answer.status}")
            if answer.status not in (429, 503):
                return
            gevent.sleep(min(1.5, float(answer.headers.get("retry-after", "0"))))

    def send_job(self, job: str) -> None:
        """Submit a batch job until it is accepted."""
        items = [f"{job}i{n}" for n in range(10)]
        headers = {
            "Clementinepin-Model": "m",
            "Clementinepin-Token-Count": f"230,{ITEM_EVENTS}",
            "Clementinepin-Prompt-Prefix": SHARED,
        }
        body = make_job(items, headers, "/jobs/", 290)
        for attempt in range(2):
            front = self.fleet.fronts[attempt]
            sent = {"Clementinepin-Request-Id": job, "Content-Type": "application/json"}
            port = self.fleet.ports["front"]
            answer = call(front.ip, port, "POST", f"/jobs/{job}", sent, body)
            self.record.write(f"{job} submitted at {front.name}: {answer.status}")
            if answer.status == 202:
                self.jobs[job] = items
                return

    def check(self) -> bool:
        """Return whether all items of open batch jobs are listed, or the rule excuses it."""
        end = self.record.now()
        unlisted: set[str] = set()
        for job, items in self.jobs.items():
            results = read_results(self.fleet, job)
            if results is None:
                raise RuntimeError(f"{job} can't be read")
            listed = {result["id"]: result["state"] for result in results}
            self.record.write(f"{job}: {len(listed)} of {len(items)} items listed")
            unlisted.update(set(items) - set(listed))
        recent = [r for r in self.fleet.runs if r["end"] is None or r["end"] > end - CALM_S]
        at_workers = {run["id"] for run in recent} & unlisted
        finished = [r for r in recent if r["whole"] and r["end"] > end - 3.0 and "i" in r["id"]]
        busy = len(recent) * 2 > sum(worker.slots for worker in self.fleet.workers)
        self.record.write(
            f"{len(unlisted)} items unlisted, of these {len(at_workers)} at a worker in the last"
            f" {CALM_S} s; {len(finished)} items finished in the last 3 s;"
            f" workers half full: {busy}"
        )
        for run in self.fleet.runs:
            self.record.write(f"run {run}")
        if unlisted and not at_workers and not finished and not busy:
            self.record.write("LOST is broken")
            return False
        self.record.write("LOST held")
        return True


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
