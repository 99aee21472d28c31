"""Stand-in for a model worker: slots, a queue, event streams that depend on the request alone."""

from __future__ import annotations

import hashlib
import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import gevent
from gevent import socket
from gevent.lock import BoundedSemaphore
from gevent.server import StreamServer

QUEUE_MAX = 24
READ_SIZE_BYTES = 65_536
EVENTS_DEFAULT = 26


class Run(NamedTuple):
    """One run: which request, at which worker and version, and what became of it."""

    request_id: str
    worker: str
    version: str
    first_event: int
    started_at: float


class RunLog:
    """The runs of all workers in the order of their starts, and the last event that each made."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.ends: list[tuple[str, str, int, str]] = []


def make_data(stream_id: str, number: int, version: str) -> str:
    """Return the data of an event, as the version of the software makes it."""
    return hashlib.sha256(f"{stream_id}/{number}/{version}".encode()).hexdigest()[:16]


def make_text(stream_id: str, events: int, version: str) -> str:
    """Return an item's whole output."""
    return "\n".join(make_data(stream_id, n, version) for n in range(1, events + 1))


class Worker:
    """One worker. It serves a request at a time on a connection and ``slots`` requests at once.

    ``event_s`` is the time between two events. ``unframed`` answers have neither a length nor
    chunks and end with their connection. ``choose_cut`` gets a request's id and how many events its
    answer is to bring, and returns after how many of them it is truncated, None for a whole one; a
    truncated connection is closed without a reset.
    """

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        log: RunLog,
        *,
        version: str = "v1",
        slots: int = 8,
        event_s: float = 0.02,
        unframed: bool = False,
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.slots = slots
        self.event_s = event_s
        self.unframed = unframed
        self.choose_cut: Callable[[str, int], int | None] = lambda _request_id, _events: None
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._log = log
        self._waiting = 0
        self._running = 0
        self._free = BoundedSemaphore(slots)
        self._sockets: set[Any] = set()
        self._server = StreamServer((host, 0), self._serve)
        self._server.start()
        self.address = f"{host}:{self._server.server_port}"

    def encode_entry(self) -> bytes:
        """Return the entry in the platform's store."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "scot-central-a",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return json.dumps(entry).encode()

    @property
    def running(self) -> int:
        """Return the number of requests that run."""
        return self._running

    def stop(self) -> None:
        """End: close the port and all connections."""
        self._server.stop(timeout=0)
        for sock in list(self._sockets):
            sock.close()

    def _serve(self, sock: Any, _peer: Any) -> None:
        self._sockets.add(sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (request := _read_request(sock)) is not None:
                if not self._answer(sock, *request):
                    return
        except OSError:
            return
        finally:
            self._sockets.discard(sock)
            sock.close()

    def _answer(self, sock: Any, path: str, headers: dict[str, str]) -> bool:
        """Answer one request; return whether the connection stays open."""
        request_id = headers.get("clementinepin-request-id", "")
        expected = headers.get("clementinepin-expect-instance", self.name)
        if expected != self.name:
            return self._refuse(sock, 421, request_id)
        if path == "/health":
            return self._send_health(sock, request_id)
        if self._waiting >= QUEUE_MAX:
            return self._refuse(sock, 503, request_id)
        self._waiting += 1
        with self._free:
            self._waiting -= 1
            self._running += 1
            try:
                return self._run(sock, request_id, headers)
            finally:
                self._running -= 1

    def _refuse(self, sock: Any, status: int, request_id: str) -> bool:
        head = f"HTTP/1.1 {status} No\r\nClementinepin-Not-Executed: 1\r\n"
        head += f"Clementinepin-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n"
        sock.sendall(head.encode())
        return True

    def _send_health(self, sock: Any, request_id: str) -> bool:
        head = f"HTTP/1.1 200 OK\r\nClementinepin-Instance-Id: {self.name}\r\n"
        head += f"Clementinepin-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n"
        sock.sendall(head.encode())
        return True

    def _run(self, sock: Any, request_id: str, headers: dict[str, str]) -> bool:
        _, _, tokens = headers.get("clementinepin-token-count", "").partition(",")
        events = int(tokens) if tokens else EVENTS_DEFAULT
        first = int(headers.get("last-event-id", "0")) + 1
        stream_id = headers.get("resumes", request_id)
        gevent.sleep(self.event_s)
        self._log.runs.append(Run(request_id, self.name, self.version, first, time.monotonic()))
        framing = "Connection: close" if self.unframed else "Transfer-Encoding: chunked"
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\n"
            f"Clementinepin-Request-Id: {request_id}\r\n"
            f"Clementinepin-Server-Signature: {self.name}.{len(self._log.runs)}\r\n"
            f"Clementinepin-Server-Load: {self._running},{self._waiting},{self.slots}\r\n"
            "Keep-Alive: timeout=10\r\n\r\n"
        )
        cut = self.choose_cut(request_id, events - first + 1)
        number = first - 1
        outcome = "broken"
        try:
            sock.sendall(head.encode())
            for number in range(first, events + 1):
                if cut is not None and number - first >= cut:
                    outcome = "truncated"
                    number -= 1
                    return False
                data = make_data(stream_id, number, self.version)
                self._send_piece(sock, f"id: {number}\ndata: {data}\n\n".encode())
                gevent.sleep(self.event_s)
            if not self.unframed:
                sock.sendall(b"0\r\n\r\n")
            outcome = "whole"
            return not self.unframed
        finally:
            self._log.ends.append((request_id, self.name, number, outcome))

    def _send_piece(self, sock: Any, data: bytes) -> None:
        """Send a part of the body; raise OSError if the caller has closed its connection."""
        sock.sendall(data if self.unframed else b"%x\r\n%s\r\n" % (len(data), data))
        try:
            if not sock._sock.recv(1, socket.MSG_PEEK):
                raise ConnectionResetError("the caller closed the connection")
        except BlockingIOError:
            return


def _read_request(sock: Any) -> tuple[str, dict[str, str]] | None:
    """Return path and lower-case headers of the next request, None at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(READ_SIZE_BYTES)
        if not piece:
            return None
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    left = int(headers.get("content-length", "0")) - len(body)
    while left > 0:
        piece = sock.recv(READ_SIZE_BYTES)
        if not piece:
            return None
        left -= len(piece)
    return first.split(" ")[1], headers
