"""Callers that keep their connection until it is closed, as those of a planned stop do."""

from __future__ import annotations

import itertools
from typing import NamedTuple

import gevent
from gevent import socket

from soak._callers import parse_response
from soak._fleet import HOST, Fleet

ENTRY_PORT = 8161
EVENTS = 8
LOST_AFTER_S = 0.2  # a request that crosses the end of a connection is not lost before
READ_TIMEOUT_S = 6.0
PAUSE_S = 0.02


class Lost(NamedTuple):
    """A request without a complete response, and how long after it the connection ended."""

    request_id: str
    after_s: float
    received: int


class KeptCaller:
    """Sends one request after the other on one connection; opens another when it is closed."""

    def __init__(self, fleet: Fleet, ip: str, name: str) -> None:
        self._fleet = fleet
        self._ip = ip
        self._ids = (f"{name}-{number}" for number in itertools.count())
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

    def _send(self, sock: socket.socket) -> bool:
        """Send one request and read its response; return whether the connection stays open."""
        request_id = next(self._ids)
        lines = [
            "POST /once/x HTTP/1.1",
            f"Host: {HOST}",
            f"Clementinepin-Request-Id: {request_id}",
            f"Clementinepin-Token-Count: 10,{EVENTS}",
            "Clementinepin-Deadline-Ms: 5000",
            f"Clementinepin-Prompt-Prefix: kept:10,{request_id}:10",
            "Content-Length: 0",
        ]
        sent_at = self._fleet.now()
        data = b""
        try:
            sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
            while not parse_response(data).whole:
                piece = sock.recv(65_536)
                if not piece:
                    break
                data += piece
        except OSError:
            pass
        response = parse_response(data)
        if not response.whole:
            self.lost.append(Lost(request_id, self._fleet.now() - sent_at, len(data)))
            return False
        self.served += response.status == 200
        return b"connection: close" not in data.partition(b"\r\n\r\n")[0].lower()


def list_broken(fleet: Fleet, callers: list[KeptCaller]) -> list[str]:
    """Return a line for each request that was read and left without a complete response."""
    ran = {run.request_id for run in fleet.run_log.runs}
    return [
        f"{row.request_id}: its connection ended {row.after_s:.2f} s after it with "
        f"{row.received} bytes, ran: {row.request_id in ran}"
        for caller in callers
        for row in caller.lost
        if row.received or row.request_id in ran or row.after_s > LOST_AFTER_S
    ]
