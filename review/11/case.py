"""Lets all workers crash while calls that share a first prompt part run, then one of them again.

Then all is well, and a batch job comes whose items have the same first part.
"""

import http.client
import json
import sys
import threading
import time
import traceback
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from fleet import (  # noqa: E402
    HOST,
    TROUBLE,
    Fleet,
    make_batch_route,
    make_item,
    read_job,
    submit,
)

SHARED_PART = "5c1e07a2"
JOB = "7c41e09b52d6a3f8"
ITEMS = [f"e5b2907c14da6f{n:02x}" for n in range(4)]
PLAN = {"events": 26, "gap_s": 0.08}
CALLS_PER_S = 16
WORKERS = 6  # one of them is a share of 0.167
DOWN_S = 2.0
AGAIN_S = 0.8  # of a run after the return of the workers, until its worker crashes again
AGAIN_WAIT_S = 5.0  # for such a run
CONTACT_S, FINISH_S, CALM_S = 3.0, 18.0, 5.0


def make_stream_route():
    return {
        "name": "search",
        "host": HOST,
        "path_prefix": "/search/",
        "service": "llm",
        "kind": "streaming",
        "timeout_ms": 5000,
        "target_latency_ms": 300,
        "gap_target_ms": 200,
        "max_attempts": 1,
        "priority": 0,
        "sticky": True,
    }


class Callers:
    """Sends streams at a steady rate; each one that is refused comes once more, after Retry-After."""

    def __init__(self, fleet):
        self.fleet, self.record = fleet, fleet.record
        self.stopped = threading.Event()
        self.count = 0

    def run(self):
        while not self.stopped.wait(1 / CALLS_PER_S):
            self.count += 1
            threading.Thread(target=self.call, args=(self.count,), daemon=True).start()

    def call(self, number):
        front = self.fleet.fronts[number % len(self.fleet.fronts)]
        deadline = time.monotonic() + 5.0
        for attempt in range(2):
            request_id = f"9c41d07be2{number:04x}{attempt:02x}"
            status, retry_after_s = self.send(front, request_id, number, deadline)
            self.record.add("called", id=request_id, front=front.name, status=status)
            if status != 503:
                return
            left_s = deadline - time.monotonic()
            time.sleep(min(max(0.0, left_s / 3), retry_after_s))
            front = self.fleet.fronts[(number + 1) % len(self.fleet.fronts)]

    def send(self, front, request_id, number, deadline):
        left_s = max(0.1, deadline - time.monotonic())
        headers = {
            "Host": HOST,
            "Clementinepin-Request-Id": request_id,
            "Clementinepin-Model": "m",
            "Clementinepin-Token-Count": "350,26",
            "Clementinepin-Prompt-Prefix": f"{SHARED_PART}:100,{number:08x}:250",
            "Clementinepin-Deadline-Ms": str(int(left_s * 1000)),
        }
        connection = http.client.HTTPConnection(front.ip, 8161, timeout=left_s + 0.5)
        try:
            connection.request("POST", f"/search/{number}", json.dumps(PLAN).encode(), headers)
            response = connection.getresponse()
            response.read()
            return response.status, float(response.headers.get("Retry-After") or 0)
        except (OSError, http.client.HTTPException) as err:
            return type(err).__name__, 0.0
        finally:
            connection.close()


def crash(workers):
    for worker in workers:
        worker.crash()
    time.sleep(DOWN_S)
    for worker in workers:
        worker.start_again()


def main():
    fleet = Fleet(FOLDER, fronts=2, stores=2)
    record = fleet.record
    try:
        fleet.put_configuration(3, [make_stream_route(), make_batch_route()])
        for n in range(WORKERS):
            fleet.add_worker(f"i-{n}")
        fleet.start()
        callers = Callers(fleet)
        threading.Thread(target=callers.run, daemon=True).start()
        time.sleep(6.0)
        if TROUBLE:
            crash(fleet.workers)
            wait_until = record.now() + AGAIN_WAIT_S
            while record.now() < wait_until and not any(w.running for w in fleet.workers):
                time.sleep(0.02)
            time.sleep(AGAIN_S)
            crash([max(fleet.workers, key=lambda worker: worker.running)])
        time.sleep(CONTACT_S + 1.0)
        items = [make_item(i, PLAN, "350,26") for i in ITEMS]
        for item in items:
            item["headers"]["Clementinepin-Prompt-Prefix"] = f"{SHARED_PART}:100,{item['id']}:250"
        if submit(fleet, fleet.fronts[0], JOB, items) != 202:
            return 2
        time.sleep(4.0)
        callers.stopped.set()
        ended_at = record.now()
        record.add("traffic_ended")
        while record.now() < ended_at + FINISH_S:
            time.sleep(0.5)
            status, page = read_job(fleet, fleet.fronts[1], JOB, wait_ms=0)
        checked_at = record.now()
        missing = set(ITEMS) - {row["id"] for row in page["results"]}
        kinds = ("run", "run_done", "run_dropped")
        late = [r for r in record.rows if r[1] in kinds and r[2]["id"] in missing]
        held = [r for r in late if r[0] > checked_at - CALM_S]
        running = sum(w.running for w in fleet.workers)
        record.add("end", status=status, missing=len(missing), runs=len(held), running=running)
        if missing and not held and not running:
            record.add("BROKEN", rule="LOST", items=sorted(missing))
            return 1
        return 0 if not missing else 2
    finally:
        fleet.stop(keep_logs=sys.argv[1] if len(sys.argv) > 1 else None)


if __name__ == "__main__":
    try:
        CODE = main()
    except Exception:
        traceback.print_exc()
        CODE = 2
    print("exit", CODE)
    sys.exit(CODE)
