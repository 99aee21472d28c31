"""A machine is stopped by SIGTERM while callers still use the answer of the directory."""

from __future__ import annotations

import signal
import time
from pathlib import Path
from typing import NamedTuple

import gevent

from review.common.fleet import (
    EXIT_BROKEN,
    EXIT_HELD,
    GRACE_PERIOD_S,
    Fleet,
    NotRunError,
    make_stream_headers,
    run_case,
)
from review.common.http import Answer, call

SERVICE = "homily-lm"
EVENTS = 42  # the longest stream of the site file: max 42.5
EVENT_S = 0.045  # the sheet allows pauses of 200 ms
BUDGET_S = 5.0
KEEP_FACTOR = 3  # some clients keep an answer of the directory three times as long
CLIENTS = 8
PAUSE_S = 0.3
EXCUSED_UNTIL_S = 3.0  # after SIGTERM: requests sent until then may be cut late in the grace time
ROUTE = {
    "name": "sermon-search",
    "host": "nony24.example",
    "path_prefix": "/lohu930/",
    "kind": "streaming",
    "service": SERVICE,
    "timeout_ms": 5000,
    "target_latency_ms": 300,
    "gap_target_ms": 200,
    "max_attempts": 1,
    "resumable": False,
    "sticky": True,
    "priority": 0,
}


class Attempt(NamedTuple):
    """One attempt of a client."""

    request_id: str
    address: str
    answer: Answer


def play(case: Path) -> int:
    """Run the case and return its exit code."""
    fleet = Fleet(case, fronts=2, stores=2)
    try:
        return check(fleet)
    finally:
        fleet.stop()


def check(fleet: Fleet) -> int:
    """Play the case and judge what clients and workers have seen."""
    fleet.put_configuration(1, [ROUTE], [SERVICE])
    for n in range(9):
        fleet.add_worker(f"w{n}", SERVICE, event_s=EVENT_S)
    fleet.start()
    attempts: list[Attempt] = []
    leaving = fleet.fronts[0]
    addresses, ttl_s = fleet.resolve(leaving)
    if len(addresses) != 2:
        raise NotRunError(f"the directory names {addresses}")
    asked_at = time.monotonic()
    fleet.record(f"directory of {leaving.name}: {len(addresses)} addresses, ttl_s {ttl_s}")
    use_until = asked_at + KEEP_FACTOR * ttl_s
    clients = [
        gevent.spawn(run_client, fleet, n, addresses, use_until, attempts) for n in range(CLIENTS)
    ]
    stopped_at = time.monotonic()
    if fleet.trouble:
        leaving.send(signal.SIGTERM)
        fleet.record(f"SIGTERM to {leaving.name}")
    gevent.joinall(clients)
    gevent.sleep(GRACE_PERIOD_S + 1.0 - (time.monotonic() - stopped_at))
    fleet.record(f"{leaving.name}: process ended {leaving.process.poll() is not None}")
    at_leaving = [a for a in attempts if a.address == leaving.address("front")]
    return judge(fleet, at_leaving, stopped_at)


def run_client(
    fleet: Fleet, number: int, addresses: list[str], use_until: float, attempts: list[Attempt]
) -> None:
    """Send a request on a new connection now and then, while the directory's answer is kept."""
    gevent.sleep(number * PAUSE_S / CLIENTS)
    calls = []
    n = 0
    while time.monotonic() < use_until:
        request_id = f"{number:04x}{n:04x}9b52d6a3"
        calls.append(
            gevent.spawn(send, fleet, request_id, fleet.random.choice(addresses), attempts)
        )
        n += 1
        gevent.sleep(PAUSE_S)
    gevent.joinall(calls)


def send(fleet: Fleet, request_id: str, address: str, attempts: list[Attempt]) -> None:
    """Send one request and keep what came."""
    headers = make_stream_headers(request_id, EVENTS)
    fleet.record(f"sent {request_id} to {address}")
    answer = call(address, "POST", "/lohu930/2f", headers, b"x" * 1500, timeout_s=BUDGET_S)
    attempts.append(Attempt(request_id, address, answer))
    fleet.record(
        f"answered {request_id}: status {answer.status}, {len(answer.events)} events,"
        f" complete {answer.complete} {answer.error}"
    )


def judge(fleet: Fleet, attempts: list[Attempt], stopped_at: float) -> int:
    """Return 1 if a request that was passed on to a worker got no complete answer."""
    ran = {run.request_id: run for run in fleet.log.runs}
    lost = 0
    for attempt in attempts:
        answer = attempt.answer
        sent_s = answer.sent_at - stopped_at
        if answer.complete or attempt.request_id not in ran or sent_s > GRACE_PERIOD_S + 1:
            continue
        took_s = answer.ended_at - answer.sent_at
        is_excused = took_s >= BUDGET_S - 0.1 or sent_s <= EXCUSED_UNTIL_S
        lost += not is_excused
        fleet.record(
            f"cut {attempt.request_id}: sent {sent_s:.2f} s after SIGTERM, passed on to"
            f" {ran[attempt.request_id].worker}, cut after {took_s:.2f} s with"
            f" {len(answer.events)} of {EVENTS} events, excused {is_excused}"
        )
    whole = sum(a.answer.complete and a.answer.status == 200 for a in attempts)
    fleet.record(
        f"{len(attempts)} requests at the stopped machine, {whole} whole streams, {lost} lost"
    )
    if not whole:
        raise NotRunError("no stream was served")
    return EXIT_BROKEN if lost else EXIT_HELD


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
