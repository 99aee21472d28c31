"""Callers that keep their connection until it is closed, as those of a planned stop do."""

from __future__ import annotations

import itertools
from typing import NamedTuple

import gevent
from gevent import socket

from soak._callers import make_job, parse_response
from soak._fleet import GRACE_PERIOD_S, HOST, Fleet
from soak._target import PLAIN_PATH

ENTRY_PORT = 8161
EVENTS = 8
PLAIN_PERIOD = 4  # each so many-th request is one whose length is unknown
JOB_PERIOD = 9  # and each so many-th one submits a job
SENT_MAX_S = 3.0  # after the order to stop; a later request must end in time
LOST_AFTER_S = 0.2  # a request that crosses the end of a connection is not lost before
READ_TIMEOUT_S = 6.0
PAUSE_S = 0.02


class Lost(NamedTuple):
    """A request without a complete response.

    ``sent_at`` and ``ended_at``, when its connection ended, are by the fleet's clock.
    """

    request_id: str
    ip: str
    sent_at: float
    ended_at: float
    received: int


class PlannedStop(NamedTuple):
    """The instance at ``ip`` was told to stop at ``at`` by the fleet's clock."""

    ip: str
    at: float

    def excuses(self, row: Lost) -> bool:
        """Return whether a run that lasted into the last sixth of the grace period may be cut."""
        return (
            row.ip == self.ip
            and row.received > 0
            and row.sent_at <= self.at + SENT_MAX_S
            and row.ended_at >= self.at + GRACE_PERIOD_S * 5 / 6
        )


class KeptCaller:
    """Sends one request after the other on one connection; opens another when it is closed."""

    def __init__(self, fleet: Fleet, ip: str, name: str) -> None:
        self._fleet = fleet
        self._ip = ip
        self._ids = ((number, f"{name}-{number}") for number in itertools.count(1))
        self.served = 0
        self.lost: list[Lost] = []

    def run(self, until: float) -> None:
        """Send requests until ``until`` by the fleet's clock, or until the process is gone."""
        while self._fleet.now() < until:
            try:
                with socket.create_connection((self._ip, ENTRY_PORT), timeout=1.0) as sock:
                    sock.settimeout(READ_TIMEOUT_S)
                    while self._fleet.now() < until and self._send(sock):
                        gevent.sleep(PAUSE_S)
            except ConnectionRefusedError:
                return
            except OSError:
                gevent.sleep(PAUSE_S)

    def _make_request(self) -> tuple[str, bytes]:
        """Return the next request and its id: mostly a stream, or a plain request, or a job."""
        number, request_id = next(self._ids)
        path, body = "/once/x", b""
        lines = [
            f"Host: {HOST}",
            f"Clementinepin-Request-Id: {request_id}",
            "Clementinepin-Deadline-Ms: 5000",
        ]
        if number % JOB_PERIOD == 0:
            path, body = f"/jobs/{request_id}", make_job([f"{request_id}i"])
        elif number % PLAIN_PERIOD == 0:
            path = f"{PLAIN_PATH}x"
        else:
            lines.append(f"Clementinepin-Token-Count: 10,{EVENTS}")
            lines.append(f"Clementinepin-Prompt-Prefix: kept:10,{request_id}:10")
        lines = [f"POST {path} HTTP/1.1", *lines, f"Content-Length: {len(body)}"]
        return request_id, ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def _send(self, sock: socket.socket) -> bool:
        """Send one request and read its response; return whether the connection stays open."""
        request_id, request = self._make_request()
        sent_at = self._fleet.now()
        data = b""
        try:
            sock.sendall(request)
            while not parse_response(data).whole:
                piece = sock.recv(65_536)
                if not piece:
                    break
                data += piece
        except OSError:
            pass
        response = parse_response(data)
        if not response.whole:
            ended_at = self._fleet.now()
            self.lost.append(Lost(request_id, self._ip, sent_at, ended_at, len(data)))
            return False
        self.served += response.status == 200
        return b"connection: close" not in data.partition(b"\r\n\r\n")[0].lower()


def list_broken(fleet: Fleet, callers: list[KeptCaller], stops: list[PlannedStop]) -> list[str]:
    """Return a line for each request that was read and left without a complete response."""
    ran = {run.request_id for run in fleet.run_log.runs}
    lost = [row for caller in callers for row in caller.lost]
    return [
        f"{row.request_id}: its connection ended {row.ended_at - row.sent_at:.2f} s after it with "
        f"{row.received} bytes, ran: {row.request_id in ran}"
        for row in lost
        if (row.received or row.request_id in ran or row.ended_at - row.sent_at > LOST_AFTER_S)
        and not any(stop.excuses(row) for stop in stops)
    ]
