"""Callers of the soak, and what they were promised."""

from __future__ import annotations

import base64
import random
from typing import Any, NamedTuple

import gevent
import msgspec
from gevent import socket

from soak._fleet import HOST, Fleet
from soak._target import make_text

CALL_TIMEOUT_S = 6.0
NOT_RUN = (408, 421, 429, 503)


class Answer(NamedTuple):
    """What came back; ``status`` 0 means nothing did. ``whole`` says that its end came."""

    status: int
    body: bytes
    whole: bool


def call(
    ip: str, port: int, method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> Answer:
    """Send one request on a new connection and read its answer to the end."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    data = b""
    try:
        with gevent.Timeout(CALL_TIMEOUT_S, OSError("timeout")):
            sock = socket.create_connection((ip, port), timeout=1.0)
            sock.settimeout(CALL_TIMEOUT_S)
            with sock:
                sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                while piece := sock.recv(65_536):
                    data += piece
    except OSError:
        return parse_answer(data)
    return parse_answer(data)


def parse_answer(data: bytes) -> Answer:
    """Split an answer; a body without its end is not whole."""
    head, found, rest = data.partition(b"\r\n\r\n")
    if not found:
        return Answer(0, b"", False)
    status = int(head.split(b" ", 2)[1])
    lower = head.lower()
    if b"transfer-encoding: chunked" in lower:
        body, whole = b"", False
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            count = int(size or b"0", 16)
            if count == 0:
                whole = bool(size)
                break
            if len(rest) < count + 2:
                body += rest
                break
            body, rest = body + rest[:count], rest[count + 2 :]
        return Answer(status, body, whole)
    for line in lower.split(b"\r\n"):
        if line.startswith(b"content-length:"):
            size_sent = int(line.partition(b":")[2])
            return Answer(status, rest, len(rest) == size_sent)
    return Answer(status, rest, True)


class Callers:
    """Sends streams and jobs, reads results, and keeps each broken promise as a sentence."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._number = 0
        self.broken: list[str] = []
        self.statuses: dict[int, int] = {}
        self.refused: list[str] = []
        self.once: list[str] = []
        self.jobs: dict[str, list[str]] = {}
        self.refused_jobs: list[list[str]] = []
        self.positions: dict[tuple[str, int], dict[str, Any]] = {}

    def run(self, until: float, rate: float) -> None:
        """Send requests at a rate until a time."""
        while self._fleet.now() < until:
            gevent.sleep(self._random.expovariate(rate))
            kind = self._random.random()
            if kind < 0.55:
                gevent.spawn(self.send_stream, "once")
            elif kind < 0.9:
                gevent.spawn(self.send_stream, "again")
            else:
                gevent.spawn(self.send_job)

    def find_front(self) -> str | None:
        """Ask a running instance where to connect, as callers do."""
        fronts = [i for i in self._fleet.instances if i.front]
        asked = self._random.sample(fronts, min(3, len(fronts)))
        for instance in asked:
            answer = call(instance.ip, 8164, "GET", f"/v1/resolve?name={HOST}", {})
            if answer.status == 200 and answer.whole:
                addresses = msgspec.json.decode(answer.body)["addresses"]
                return str(self._random.choice(addresses)).partition(":")[0]
        return None

    def send_stream(self, route: str) -> None:
        """Send one stream and check what came."""
        ip = self.find_front()
        if ip is None:
            return
        request_id = self._make_id("s")
        events = self._random.randint(3, 40)
        headers = {
            "Clementinepin-Request-Id": request_id,
            "Clementinepin-Token-Count": f"50,{events}",
            "Clementinepin-Deadline-Ms": "5000",
        }
        answer = call(ip, 8161, "POST", f"/{route}/x", headers, b"prompt")
        self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
        if route == "once":
            self.once.append(request_id)
        if answer.status in NOT_RUN:
            self.refused.append(request_id)
        expected = "".join(
            f"id: {n}\ndata: {make_text(request_id, n)}\n\n" for n in range(1, events + 1)
        ).encode()
        if answer.status == 200 and answer.whole and answer.body != expected:
            self.broken.append(f"{request_id}: a whole answer is not the target's")
        if answer.status == 200 and not expected.startswith(answer.body):
            self.broken.append(f"{request_id}: events are missing, doubled or mixed")

    def send_job(self) -> None:
        """Submit a job, again after a failure, as callers do."""
        job_id = self._make_id("j")
        items = [self._make_id("i") for _ in range(self._random.randint(1, 8))]
        body = msgspec.json.encode({"items": [self._make_item(item) for item in items]})
        statuses = []
        for _ in range(4):
            ip = self.find_front()
            if ip is None:
                gevent.sleep(0.2)
                continue
            headers = {"Clementinepin-Request-Id": job_id, "Content-Type": "application/json"}
            statuses.append(call(ip, 8161, "POST", f"/jobs/{job_id}", headers, body).status)
            if statuses[-1] == 202:
                self.jobs[job_id] = items
                return
            gevent.sleep(0.3)
        if statuses and all(status in (429, 503) for status in statuses):
            self.refused_jobs.append(items)

    def read_jobs(self) -> set[str]:
        """Read all jobs from the start and return those with items not listed."""
        open_jobs = set()
        for job_id, items in list(self.jobs.items()):
            ip = self.find_front()
            if ip is None:
                return set(self.jobs)
            results = self._read_pages(ip, job_id)
            self._check_results(job_id, items, results)
            if len(results) < len(items):
                open_jobs.add(job_id)
        return open_jobs

    def _read_pages(self, ip: str, job_id: str) -> list[dict[str, Any]]:
        """Return all results that are listed, page by page from the start."""
        results: list[dict[str, Any]] = []
        while True:
            answer = call(ip, 8161, "GET", f"/v1/lots/{job_id}?after={len(results)}", {})
            if answer.status != 200 or not answer.whole:
                return results
            page = msgspec.json.decode(answer.body)["results"]
            if not page:
                return results
            results.extend(page)

    def check_runs(self) -> None:
        """Compare what targets ran with what callers were told."""
        ledger = self._fleet.ledger
        counts: dict[str, int] = {}
        for run in ledger.runs:
            counts[run.request_id] = counts.get(run.request_id, 0) + 1
        for request_id in self.once:
            if counts.get(request_id, 0) > 1:
                self.broken.append(f"{request_id}: ran {counts[request_id]} times")
        for request_id in self.refused:
            if counts.get(request_id, 0):
                self.broken.append(f"{request_id}: told as not run, and ran")
        for items in self.refused_jobs:
            self.broken += [f"{i}: ran, its job was refused" for i in items if counts.get(i, 0)]

    def _check_results(self, job_id: str, items: list[str], results: list[dict[str, Any]]) -> None:
        seen = [result["id"] for result in results]
        if len(set(seen)) != len(seen) or not set(seen) <= set(items):
            self.broken.append(f"{job_id}: an item stands twice or belongs elsewhere")
        for position, result in enumerate(results):
            known = self.positions.setdefault((job_id, position), result)
            if known != result:
                self.broken.append(f"{job_id}: position {position} changed")
            texts = "\n".join(make_text(result["id"], n) for n in range(1, 31))
            if result["state"] != "completed" or result["text"] != texts:
                self.broken.append(f"{job_id}: result of {result['id']} is not whole")

    def _make_item(self, item_id: str) -> dict[str, Any]:
        return {
            "id": item_id,
            "path": f"/jobs/{item_id}",
            "headers": {"Clementinepin-Token-Count": "50,30"},
            "body": base64.b64encode(b"item").decode(),
            "tokens": 80,
        }

    def _make_id(self, prefix: str) -> str:
        self._number += 1
        return f"{prefix}{self._number:05d}"
