"""Callers of the soak, and checks of the guarantees that the system gives them.

A request is answered with exactly the target's events or body, or visibly incomplete, a stream
holds the events of one software version also over its caller's resumptions, a request on route
``once`` runs at most once, a rejected request doesn't run, and an accepted job lists one result for
each item at a position that never changes.
"""

from __future__ import annotations

import base64
import random
from typing import Any, NamedTuple

import gevent
import msgspec
from gevent import socket

from soak._fleet import HOST, TEXT_VERSIONS, VERSIONS, Fleet
from soak._target import LONG_UPLOAD_BYTES, PLAIN_PATH, make_plain_body, make_text

CALL_TIMEOUT_S = 6.0
RESUMPTIONS_MAX = 5
RESUMPTION_PAUSE_S = 0.4  # after one that failed; killed instances are back after a second
BREAKING_SHARE = 0.3  # of resumable streams
CRASHING_SHARE = 0.15  # of streams, while there are parts that crash engines
FIRST_PARTS = 3
SECOND_PARTS = 10
NOT_RUN_STATUSES = (408, 421, 429, 503)  # these guarantee that the request did not run


class Response(NamedTuple):
    """Response to one request; ``status`` is 0 without a head, ``whole`` is False if it is cut."""

    status: int
    body: bytes
    whole: bool


class Try(NamedTuple):
    """One request to an entry, sent at ``sent_at`` by the fleet's clock."""

    sent_at: float
    ip: str
    is_served: bool


def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    events_max: int = 0,
) -> Response:
    """Send one request on a new connection; return the response, incomplete after an error.

    With ``events_max`` the connection breaks at the caller after that many events.
    """
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
                    if events_max and data.count(b"\n\n") >= events_max:
                        break
    except OSError:
        return parse_response(data)
    return parse_response(data)


def parse_response(data: bytes) -> Response:
    """Parse a response as received until the connection ended.

    A chunked body without its last chunk, or one that differs from the content length, is
    incomplete.
    """
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return Response(0, b"", False)
    status = int(head.split(b" ", 2)[1])
    lower_head = head.lower()
    if b"transfer-encoding: chunked" in lower_head:
        body, whole = b"", False
        while rest:
            size, line_end, rest = rest.partition(b"\r\n")
            count = int(size or b"0", 16)
            if count == 0 or not line_end:
                whole = bool(size) and count == 0 and rest.startswith(b"\r\n")
                break
            if len(rest) < count + 2:
                body += rest
                break
            body, rest = body + rest[:count], rest[count + 2 :]
        return Response(status, body, whole)
    for line in lower_head.split(b"\r\n"):
        if line.startswith(b"content-length:"):
            content_length = int(line.partition(b":")[2])
            return Response(status, rest, len(rest) == content_length)
    return Response(status, rest, True)


def make_job(items: list[str], route: str = "jobs") -> bytes:
    """Return the body of a job with items of these ids."""
    return msgspec.json.encode({"items": [_make_item(item, route) for item in items]})


def _make_item(item_id: str, route: str) -> dict[str, Any]:
    return {
        "id": item_id,
        "path": f"/{route}/{item_id}",
        "headers": {
            "Clementinepin-Token-Count": "50,30",
            "Clementinepin-Prompt-Prefix": f"a0:20,{item_id}:10",
        },
        "body": base64.b64encode(b"item").decode(),
        "tokens": 80,
    }


class Callers:
    """Sends streams and jobs, reads results; ``broken`` has a line for each violated guarantee."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._id_count = 0
        self.crashing_share = CRASHING_SHARE
        self.first_parts = FIRST_PARTS
        self.broken: list[str] = []
        self.statuses: dict[int, int] = {}
        self.plain_count = 0
        self.tries: list[Try] = []
        self.resumed: dict[int, int] = {}
        self.rejected_ids: list[str] = []
        self.once_ids: list[str] = []
        self.jobs: dict[str, list[str]] = {}
        self.rejected_job_items: list[list[str]] = []
        self.results_by_position: dict[tuple[str, int], dict[str, Any]] = {}

    def run(self, until: float, rate: float) -> None:
        """Send ``rate`` requests a second on average, until ``until`` by the fleet's clock."""
        while self._fleet.now() < until:
            gevent.sleep(self._random.expovariate(rate))
            kind = self._random.random()
            if kind < 0.1:
                gevent.spawn(self.send_plain)
            elif kind < 0.55:
                gevent.spawn(self.send_stream, "once")
            elif kind < 0.82:
                gevent.spawn(self.send_stream, "again")
            elif kind < 0.87:
                gevent.spawn(self.send_stream, "split")
            elif kind < 0.93:
                gevent.spawn(self.send_job, "splitjobs")
            else:
                gevent.spawn(self.send_job)

    def resolve_front(self) -> str | None:
        """Return an entry's address from the first of three directories that answers, or None."""
        fronts = [i for i in self._fleet.instances if i.is_front]
        resolvers = self._random.sample(fronts, min(3, len(fronts)))
        for instance in resolvers:
            response = call(instance.ip, 8164, "GET", f"/v1/resolve?name={HOST}", {})
            if response.status == 200 and response.whole:
                addresses = msgspec.json.decode(response.body)["addresses"]
                return str(self._random.choice(addresses)).partition(":")[0]
        return None

    def send_stream(self, route: str) -> None:
        """Send one streaming request and compare the response with the target's events."""
        ip = self.resolve_front()
        if ip is None:
            return
        request_id = self.make_id("s")
        events = self._random.randint(3, 40)
        headers = {
            "Clementinepin-Request-Id": request_id,
            "Clementinepin-Token-Count": f"50,{events}",
            "Clementinepin-Deadline-Ms": "5000",
            "Clementinepin-Prompt-Prefix": self._make_prompt(request_id),
        }
        breaks = route != "once" and self._random.random() < BREAKING_SHARE
        events_max = self._random.randint(1, events) if breaks else 0
        response = self.call_stream(ip, route, headers, events_max)
        if route == "once":
            self.once_ids.append(request_id)
        body, whole = response.body, response.whole
        for _ in range(RESUMPTIONS_MAX):
            last_event = body.count(b"\n\n")
            ip = self.resolve_front()
            if route == "once" or response.status != 200 or whole or not last_event:
                break
            if ip is None:
                gevent.sleep(RESUMPTION_PAUSE_S)
                continue
            body = body[: body.rindex(b"\n\n") + 2]
            resumption = {
                "Clementinepin-Request-Id": self.make_id("s"),
                "Resumes": request_id,
                "Last-Event-Id": str(last_event),
            }
            resumed = self.call_stream(ip, route, headers | resumption)
            self.resumed[resumed.status] = self.resumed.get(resumed.status, 0) + 1
            if resumed.status == 200:
                body, whole = body + resumed.body, resumed.whole
            else:
                gevent.sleep(RESUMPTION_PAUSE_S)
        if response.status == 200:
            self.check_stream(request_id, events, body, whole)

    def send_plain(self) -> None:
        """Send a request that may be repeated, and compare the response with the target's body.

        It is a long one while engines break these off.
        """
        ip, request_id = self.resolve_front(), self.make_id("p")
        if ip is None:
            return
        headers = {"Clementinepin-Request-Id": request_id, "Clementinepin-Deadline-Ms": "5000"}
        is_long = any(target.uploads_to_break for target in self._fleet.targets.values())
        body = request_id.encode().ljust(LONG_UPLOAD_BYTES if is_long else 0)
        response = call(ip, 8161, "POST", f"{PLAIN_PATH}x", headers, body)
        self.statuses[response.status] = self.statuses.get(response.status, 0) + 1
        self.plain_count += response.status == 200 and response.whole
        if response.status in NOT_RUN_STATUSES:
            self.rejected_ids.append(request_id)
        possible = [make_plain_body(request_id, version) for version in VERSIONS]
        if response.status == 200 and response.whole and response.body not in possible:
            self.broken.append(f"{request_id}: complete response differs from the target's body")

    def _make_prompt(self, request_id: str) -> str:
        """Return the parts of a prompt; a share of them has one that crashes engines."""
        crashing = sorted(self._fleet.crashing_parts)
        second = f"b{self._random.randrange(SECOND_PARTS)}"
        if crashing and self._random.random() < self.crashing_share:
            second = self._random.choice(crashing)
        return f"a{self._random.randrange(self.first_parts)}:20,{second}:20,{request_id}:10"

    def call_stream(
        self, ip: str, route: str, headers: dict[str, str], events_max: int = 0
    ) -> Response:
        """Send a request on a route to an entry, and record how it ended."""
        path, sent_at = f"/{route}/x", self._fleet.now()
        body = headers["Clementinepin-Prompt-Prefix"].encode()
        response = call(ip, 8161, "POST", path, headers, body, events_max=events_max)
        self.statuses[response.status] = self.statuses.get(response.status, 0) + 1
        is_served = response.status == 200 and (response.whole or events_max > 0)
        self.tries.append(Try(sent_at, ip, is_served))
        if response.status in NOT_RUN_STATUSES:
            self.rejected_ids.append(headers["Clementinepin-Request-Id"])
        return response

    def check_stream(self, stream_id: str, events: int, body: bytes, whole: bool) -> None:
        """Check that a stream holds the events of one software version, all if it is whole."""
        possible = [
            "".join(
                f"id: {n}\ndata: {make_text(stream_id, n, version)}\n\n"
                for n in range(1, events + 1)
            ).encode()
            for version in TEXT_VERSIONS
        ]
        if whole and body not in possible:
            self.broken.append(f"{stream_id}: complete response differs from the target's events")
        if not any(expected.startswith(body) for expected in possible):
            self.broken.append(f"{stream_id}: events are missing, doubled or of another version")

    def send_job(self, route: str = "jobs") -> None:
        """Submit a job on a route, up to four times, as callers do after a failure."""
        job_id = self.make_id("j")
        items = [self.make_id("i") for _ in range(self._random.randint(1, 8))]
        body = make_job(items, route)
        statuses = []
        for _ in range(4):
            ip = self.resolve_front()
            if ip is None:
                gevent.sleep(0.2)
                continue
            headers = {"Clementinepin-Request-Id": job_id, "Content-Type": "application/json"}
            statuses.append(call(ip, 8161, "POST", f"/{route}/{job_id}", headers, body).status)
            if statuses[-1] == 202:
                self.jobs[job_id] = items
                return
            gevent.sleep(0.3)
        if statuses and all(status in (429, 503) for status in statuses):
            self.rejected_job_items.append(items)

    def read_jobs(self) -> set[str]:
        """Read and check all results of all jobs; return the jobs that don't list all items yet."""
        unfinished_jobs = set()
        for job_id, items in list(self.jobs.items()):
            ip = self.resolve_front()
            if ip is None:
                return set(self.jobs)
            results = self._read_pages(ip, job_id)
            self._check_results(job_id, items, results)
            if len(results) < len(items):
                unfinished_jobs.add(job_id)
        return unfinished_jobs

    def _read_pages(self, ip: str, job_id: str) -> list[dict[str, Any]]:
        """Return the listed results from the first page on, up to the first page that fails."""
        results: list[dict[str, Any]] = []
        while True:
            response = call(ip, 8161, "GET", f"/v1/lots/{job_id}?after={len(results)}", {})
            if response.status != 200 or not response.whole:
                return results
            page = msgspec.json.decode(response.body)["results"]
            if not page:
                return results
            results.extend(page)

    def check_runs(self) -> None:
        """Compare the runs at the targets with the responses that callers got."""
        run_log = self._fleet.run_log
        run_counts: dict[str, int] = {}
        for run in run_log.runs:
            run_counts[run.request_id] = run_counts.get(run.request_id, 0) + 1
        for request_id in self.once_ids:
            if run_counts.get(request_id, 0) > 1:
                self.broken.append(f"{request_id}: ran {run_counts[request_id]} times")
        for request_id in self.rejected_ids:
            if run_counts.get(request_id, 0):
                self.broken.append(f"{request_id}: ran, but its response said that it did not run")
        for items in self.rejected_job_items:
            self.broken += [
                f"{i}: ran, but its job was rejected" for i in items if run_counts.get(i, 0)
            ]

    def _check_results(self, job_id: str, items: list[str], results: list[dict[str, Any]]) -> None:
        """Check that listed results are complete, unique, of this job and keep their positions."""
        result_ids = [result["id"] for result in results]
        if len(set(result_ids)) != len(result_ids) or not set(result_ids) <= set(items):
            self.broken.append(f"{job_id}: an item is listed twice or is not part of the job")
        for position, result in enumerate(results):
            first_seen = self.results_by_position.setdefault((job_id, position), result)
            if first_seen != result:
                self.broken.append(f"{job_id}: result at position {position} changed")
            possible = [
                "\n".join(make_text(result["id"], n, version) for n in range(1, 31))
                for version in TEXT_VERSIONS
            ]
            if result["state"] != "completed" or result["text"] not in possible:
                self.broken.append(f"{job_id}: result of {result['id']} is incomplete or wrong")

    def make_id(self, prefix: str) -> str:
        """Return an id that no request has."""
        self._id_count += 1
        return f"{prefix}{self._id_count:05d}"
