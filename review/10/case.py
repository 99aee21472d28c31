"""A worker writes a few of its 500 answers twice; items are given up before their last attempt."""

from __future__ import annotations

import os
import sys
import traceback
from pathlib import Path
from typing import Any

import gevent
from fleet import SERVICE, Fleet, Record, Worker, call, end_on_signals, make_job, read_results

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FAILING_PERIOD = 10  # each 10th item fails twice
GARBLE_AT_S = 3.0  # of the traffic
GARBLE_S = 5.0
GARBLE_SHARE = 0.03  # of the answers of the one worker that writes some twice
JOBS, ITEMS = 40, 10
ITEM_EVENTS = 4
MAX_ATTEMPTS = 3
WAIT_S = 60.0
ROUTES = [
    {
        "name": "jobs",
        "host": "review.example",
        "path_prefix": "/jobs/",
        "service": SERVICE,
        "kind": "batch",
        "timeout_ms": 15000,
        "target_latency_ms": 500,
        "gap_target_ms": 200,
        "run_target_ms": 18000,
        "retention_s": 100,
        "max_attempts": MAX_ATTEMPTS,
        "max_count": 2_000_000,
        "sticky": True,
        "resumable": True,
        "priority": 2,
    },
]


class FailingWorker(Worker):
    """A worker that answers 500 to the first two runs of each FAILING_PERIOD-th item.

    While it ``garbles``, it writes GARBLE_SHARE of its answers a second time, where the next answer
    on the connection is expected: some of those to the first run of an item. The copy has the id
    of the answer.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._copies: dict[Any, bytes] = {}
        self.failures: dict[str, int] = {}
        self.garbles = False
        self.answers = 0
        self.copies = 0

    def run(self, sock: Any, request_id: str, headers: dict[str, str], run: Any) -> bool:
        """Run a request; write a copy of the connection's last answer before, if there is one."""
        copy = self._copies.pop(sock, b"")
        if copy:
            self._fleet.record.write(f"the 500 answer to {request_id} is written a second time")
            sock.sendall(copy)
        self.answers += self.garbles
        number = int(request_id.rpartition("i")[2])
        count = self.failures.get(request_id, 0)
        if number % FAILING_PERIOD or count == MAX_ATTEMPTS - 1:
            return super().run(sock, request_id, headers, run)
        gevent.sleep(3 * self.step_s)
        self.failures[request_id] = count + 1
        run["status"] = 500
        answer = self.make_head("500 Internal Server Error", request_id, "Content-Length: 0\r\n")
        self._fleet.record.write(f"500 to {request_id}, number {count + 1}")
        sock.sendall(answer)
        if self.garbles and not count and self.copies + 1 <= GARBLE_SHARE * self.answers:
            self.copies += 1
            self._copies[sock] = answer
        return True


class Case:
    """The traffic and the check."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.fleet = Fleet(record, ROUTES)
        self.workers = [FailingWorker(self.fleet, n, step_s=0.02) for n in range(2)]
        self.workers[1].failures = self.workers[0].failures
        self.fleet.workers = list(self.workers)
        self.jobs: dict[str, list[str]] = {}

    def run(self) -> bool:
        """Play the case; return whether the rule held."""
        self.fleet.start()
        headers = {
            "Clementinepin-Model": "m",
            "Clementinepin-Token-Count": f"230,{ITEM_EVENTS}",
            "Clementinepin-Prompt-Prefix": "5c1e07a2:200",
        }
        if TROUBLE:
            gevent.spawn_later(GARBLE_AT_S, self.garble)
        for n in range(JOBS):
            job = f"job{n}"
            items = [f"{job}i{ITEMS * n + k}" for k in range(1, ITEMS + 1)]
            body = make_job(items, headers, "/jobs/", 240)
            sent = {"Clementinepin-Request-Id": job, "Content-Type": "application/json"}
            front = self.fleet.fronts[n % 2]
            port = self.fleet.ports["front"]
            answer = call(front.ip, port, "POST", f"/jobs/{job}", sent, body)
            self.record.write(f"{job} submitted at {front.name}: {answer.status}")
            if answer.status == 202:
                self.jobs[job] = items
            gevent.sleep(0.3)
        deadline = self.record.now() + WAIT_S
        results: dict[str, dict[str, Any]] = {}
        while self.record.now() < deadline and len(results) < len(self.jobs) * ITEMS:
            gevent.sleep(0.5)
            for job in self.jobs:
                for result in read_results(self.fleet, job) or []:
                    results[result["id"]] = result
        return self.check(results)

    def garble(self) -> None:
        """Let one of the two workers write some of its answers twice for GARBLE_S."""
        self.workers[1].garbles = True
        gevent.sleep(GARBLE_S)
        self.workers[1].garbles = False

    def check(self, results: dict[str, dict[str, Any]]) -> bool:
        """Return whether no item was given up before MAX_ATTEMPTS answers of 500."""
        dead = [name for name, row in results.items() if row["state"] == "dead_lettered"]
        broken = [n for n in dead if self.workers[0].failures.get(n, 0) < MAX_ATTEMPTS]
        answers = sum(worker.answers for worker in self.workers)
        copies = sum(worker.copies for worker in self.workers)
        self.record.write(
            f"{len(results)} items listed; {copies} of {answers} answers of the worker were"
            f" written twice in {GARBLE_S} s"
        )
        for run in self.fleet.runs:
            if run["id"] in broken:
                self.record.write(f"run {run}")
        for name in broken:
            count = self.workers[0].failures.get(name, 0)
            self.record.write(f"{name} is dead_lettered after {count} answers of 500")
        if len(results) < len(self.jobs) * ITEMS or not results:
            raise RuntimeError("not all items were listed")
        self.record.write("MIXED is broken" if broken else "MIXED held")
        return not broken


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
