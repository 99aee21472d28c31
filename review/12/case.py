"""Kills the process that owns a batch job while its write of a first result is under way.

The platform executes the write, which gets no answer, after the process has started again. The
client reads the result and ends the batch job.
"""

import signal
import sys
import threading
import time
import traceback
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from fleet import (  # noqa: E402
    TROUBLE,
    Fleet,
    call,
    make_batch_route,
    make_item,
    read_job,
    submit,
)

JOB = "7c41e09b52d6a3f8"
SHORT, LONG = "e5b2907c14da6f38", "0b7d51c2e96f8a43"
RESTART_S = 0.1
LATE_S = 0.2  # after the new process has read the record that the write replaces
LATE_MIN_S, LATE_MAX_S = 1.0, 6.0  # a late write is done 1 to 6 s later
CONTACT_S, SETTLE_S = 3.0, 1.0
CHECKS = 30


class Trouble:
    """Takes the first write of results over."""

    def __init__(self, fleet):
        self.fleet, self.record = fleet, fleet.record
        self.caught = self.read_again = None
        self.caller = self.key = ""
        self.restarted_at = self.applied_at = None
        self.lock = threading.Lock()

    def hook(self, handler, method, path, query, body):
        caller = handler.server.caller
        if path == "/v1/kv-key" and self.caught and caller == self.caller:
            if query.get("key") == self.key and self.restarted_at is not None:
                self.read_again.set()
            return False
        keys = [row["key"] for row in body.get("set_keys", [])] if path == "/v1/kv-txn" else []
        writes_results = (
            caller.startswith("store")
            and body.get("precondition")
            and len(keys) > 1
            and all(JOB in key for key in keys)
        )
        if not writes_results:
            return False
        with self.lock:
            if self.caught:
                return False
            self.caught, self.caller = body, caller
            self.key, self.read_again = body["precondition"][0]["key"], threading.Event()
        self.record.add("results_write", caller=caller, keys=keys)
        if not TROUBLE:
            return False
        threading.Thread(target=self.run, daemon=True).start()
        received_at = time.monotonic()
        self.read_again.wait(LATE_MAX_S - LATE_S)
        time.sleep(max(LATE_S, received_at + LATE_MIN_S - time.monotonic()))
        status, _ = self.fleet.platform.state.transact(body)
        self.applied_at = self.record.now()
        self.record.add("late_write_executed", status=status)
        handler.drop()
        return True

    def run(self):
        daemon = next(d for d in self.fleet.stores if d.name == self.caller)
        daemon.kill()
        self.record.add("killed", process=daemon.name, signal=int(signal.SIGKILL))
        time.sleep(RESTART_S)
        daemon.start()
        self.restarted_at = self.record.now()
        self.record.add("started_again", process=daemon.name)


def main():
    fleet = Fleet(FOLDER, fronts=3, stores=2)
    record, broken = fleet.record, []
    try:
        fleet.put_configuration(3, [make_batch_route()])
        for n in range(2):
            fleet.add_worker(f"i-{n}")
        fleet.start()
        trouble = Trouble(fleet)
        fleet.platform.hook = trouble.hook
        items = [
            make_item(SHORT, {"events": 10, "gap_s": 0.7}),
            make_item(LONG, {"events": 16, "gap_s": 1.2}),
        ]
        if submit(fleet, fleet.fronts[0], JOB, items) != 202:
            return 2
        accepted_at = record.now()
        seen_at = []
        stop = threading.Event()

        def poll():
            """Read at the first front about twice a second, as the client of the batch job."""
            while not stop.is_set():
                status, page = read_job(fleet, fleet.fronts[0], JOB)
                if status == 200 and page["results"] and not seen_at:
                    seen_at.append(record.now())
                    record.add("position_0_was_read", front=fleet.fronts[0].name)
                stop.wait(0.5)

        readers = [threading.Thread(target=poll, daemon=True) for _ in range(2)]
        for reader in readers:
            reader.start()
            time.sleep(0.25)
        ended = False
        checks = 0
        while record.now() < accepted_at + 60 and checks < CHECKS:
            time.sleep(0.5)
            if not seen_at:
                continue
            if not ended:
                status, _, _ = call(fleet.fronts[0].ip, 8161, "DELETE", f"/v1/lots/{JOB}")
                ended = status == 200
                record.add("ended_by_client", front=fleet.fronts[0].name, status=status)
            if TROUBLE:
                calm_from = max(trouble.restarted_at or 1e9, trouble.applied_at or 1e9) + CONTACT_S
            else:
                calm_from = 0.0
            if record.now() <= max(calm_from, seen_at[0] + SETTLE_S):
                continue
            checks += 1
            for front in fleet.fronts[1:]:
                status, page = read_job(fleet, front, JOB, wait_ms=0)
                if status in (404, 410) or (status == 200 and not page["results"]):
                    broken.append(front.name)
                    record.add("BROKEN", rule="LOST", front=front.name, status=status)
        stop.set()
        record.add("end", broken=len(broken), seen=bool(seen_at), ended=ended, checks=checks)
        if broken:
            return 1
        return 0 if ended and checks == CHECKS else 2
    finally:
        fleet.stop()


if __name__ == "__main__":
    try:
        CODE = main()
    except Exception:
        traceback.print_exc()
        CODE = 2
    print("exit", CODE)
    sys.exit(CODE)
