"""All processes are killed while the last worker of a software version leaves."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import gevent

from review.common.fleet import (
    EXIT_BROKEN,
    EXIT_HELD,
    Fleet,
    NotRunError,
    make_stream_headers,
    run_case,
)
from review.common.http import Answer, call
from review.common.worker import make_data

SERVICE = "homily-lm"
EVENTS = 42  # the longest stream of the site file: max 42.5
EVENT_S = 0.045  # the sheet allows pauses of 200 ms
STREAMS = 40
LATER_WORKERS = 5  # the last one of six workers is still to be replaced: 0.17 of them
BUDGET_S = 5.0
DOWN_S = 0.8  # "back within a second"
RETRY_S = 0.9  # a client's pause before its next attempt
ATTEMPTS_MAX = 5  # "a few times"
MIXED_MAX = 2
ROUTE = {
    "name": "reading-tag",
    "host": "nony24.example",
    "path_prefix": "/lohu930/",
    "kind": "streaming",
    "service": SERVICE,
    "timeout_ms": 5000,
    "target_latency_ms": 300,
    "gap_target_ms": 200,
    "max_attempts": 2,
    "resumable": True,
    "sticky": True,
    "priority": 0,
}


def play(case: Path) -> int:
    """Run the case and return its exit code."""
    fleet = Fleet(case, fronts=2, stores=2)
    try:
        return check(fleet)
    finally:
        fleet.stop()


def check(fleet: Fleet) -> int:
    """Play the case and judge what clients have seen."""
    fleet.put_configuration(1, [ROUTE], [SERVICE])
    former = fleet.add_worker("w0", SERVICE, event_s=EVENT_S)
    for n in range(LATER_WORKERS):
        fleet.add_worker(f"w{n + 1}", SERVICE, event_s=EVENT_S, version="v2")
    fleet.start()
    fronts = [m.address("front") for m in fleet.fronts]
    streams: dict[str, list[tuple[int, str]]] = {}
    clients = [gevent.spawn(run_client, fleet, n, fronts, streams) for n in range(STREAMS)]
    gevent.sleep(0.6)
    fleet.unregister(former)  # a worker that never reports draining serves on for a while
    if fleet.trouble:
        gevent.sleep(0.1)
        for machine in fleet.machines:
            machine.send(signal.SIGKILL)
        fleet.record("all processes killed")
        gevent.sleep(DOWN_S)
        for machine in fleet.machines:
            machine.end()
            machine.start()
        fleet.record("all processes started")
    gevent.joinall(clients)
    former.stop()
    return judge(fleet, streams)


def run_client(
    fleet: Fleet, number: int, fronts: list[str], streams: dict[str, list[tuple[int, str]]]
) -> None:
    """Read one stream to its end; take it up again after a broken connection, within its budget."""
    request_id = f"9c41{number:04x}5a35f68a"
    give_up_at = time.monotonic() + BUDGET_S
    events: list[tuple[int, str]] = []
    streams[request_id] = events
    begun_by = ""
    attempt = 0
    while attempt < ATTEMPTS_MAX and (left_s := give_up_at - time.monotonic()) > 0.05:
        own_id = request_id if not attempt else f"{request_id[:12]}{attempt:04x}"
        headers = make_stream_headers(own_id, EVENTS, int(left_s * 1000))
        if begun_by:
            headers |= {"Last-Event-Id": str(events[-1][0]), "Resumes": begun_by}
        front = fronts[(number + attempt) % len(fronts)]
        answer = call(front, "POST", "/lohu930/2f", headers, b"x" * 1500, timeout_s=left_s)
        events += answer.events
        begun_by = begun_by or (own_id if answer.events else "")
        record(fleet, own_id, begun_by, answer)
        if answer.complete and answer.status == 200:
            return
        attempt += 1
        pause_s = float(answer.headers.get("retry-after", RETRY_S))
        gevent.sleep(min(pause_s, left_s / 3))


def record(fleet: Fleet, request_id: str, begun_by: str, answer: Answer) -> None:
    """Write down what one attempt brought."""
    fleet.record(
        f"attempt {request_id} of {begun_by or '-'}: status {answer.status}, events"
        f" {[number for number, _ in answer.events][:1]}+{len(answer.events)},"
        f" complete {answer.complete} {answer.error}"
    )


def judge(fleet: Fleet, streams: dict[str, list[tuple[int, str]]]) -> int:
    """Return 1 if more than two streams hold events of two software versions."""
    versions = ("v1", "v2")
    mixed = 0
    for request_id, events in streams.items():
        # The stand-in makes an event of the first attempt's id, as a client that resumes names it.
        ids = {request_id, *(f"{request_id[:12]}{n:04x}" for n in range(1, 100))}
        seen = {
            version
            for number, data in events
            for version in versions
            if any(data == make_data(one, number, version) for one in ids)
        }
        mixed += len(seen) > 1
        if len(seen) > 1:
            fleet.record(f"stream {request_id} MIXED: {len(events)} events of {sorted(seen)}")
    fleet.record(f"{len(streams)} streams, {mixed} with events of two versions")
    if not any(streams.values()):
        raise NotRunError("no stream was served")
    return EXIT_BROKEN if mixed > MIXED_MAX else EXIT_HELD


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
