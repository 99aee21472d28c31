"""Stand-in for a model engine that speaks the platform's protocol, and a log of its runs."""

from __future__ import annotations

import hashlib
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import gevent
import msgspec
from gevent.event import Event
from gevent.server import StreamServer

from soak._http import encode_chunk, get_length, read_body, read_head
from soak._proxy import reset

STEP_S = 0.012
QUEUE_MAX_REQUESTS = 8
PLAIN_PATH = "/plain/"  # of requests whose responses have no events
ITEM_PATHS = ("/jobs/", "/splitjobs/")
ITEM_FAILURES_MAX = 2  # an item is given up at its third attempt that fails
ERROR_RESPONSE = (
    b"HTTP/1.1 500 Oops\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\noops\n\n"
)

LONG_UPLOAD_BYTES = 8_000_000  # more than the buffers between an instance and an engine take
RESET_DELAY_MAX_S = 0.1
ODD_ANSWERS = (
    b"HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\nodd\n",
    b"HTTP/1.1 099 Odd\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nodd\n\r\n0\r\n\r\n",
    b"HTTP/1.1 199 Odd\r\nContent-Length: 4\r\n\r\nodd\n",
    b"HTTP/1.1 200 OK\r\nX Odd: odd\r\nContent-Length: 4\r\n\r\nodd\n",
    b"HTTP/1.1 200 OK\r\nX\x01Odd: odd\r\nContent-Length: 4\r\n\r\nodd\n",
)

SPLIT_SERVICES = ("split0", "split1")  # of one route; each writes texts of its own


class Run(NamedTuple):
    """One run of a request; ``first_event`` is the number of the first event that it sends.

    ``parts`` are those of its prompt that others may share.
    """

    request_id: str
    target: str
    started_at: float
    first_event: int
    parts: tuple[str, ...]


class RunLog:
    """All runs at all targets, in the order of their starts, and by id how many failed."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.failures: Counter[str] = Counter()

    def count(self, request_id: str) -> int:
        """Return how many times a request ran."""
        return sum(1 for run in self.runs if run.request_id == request_id)


def make_text(stream_id: str, number: int, version: str) -> str:
    """Return the data of an event, which depends on the arguments alone.

    ``stream_id`` is the id of the request that began the stream, ``version`` that of the engine's
    software.
    """
    return hashlib.sha256(f"{stream_id}/{number}/{version}".encode()).hexdigest()[:16]


def make_plain_body(request_id: str, version: str) -> bytes:
    """Return the body of the response to a request without events."""
    return make_text(request_id, 0, version).encode() * 40


class Target:
    """One engine with ``slots`` concurrent runs and a bounded queue.

    ``responses_to_lose`` counts runs whose connection closes before the response,
    ``events_to_cut`` runs that stop in the middle of an event, and ``responses_without_end`` those
    that send bytes until the caller closes. Each ``unframed_period``-th response ends with its
    connection, none if it is 0. Responses name ``limit_per_s`` as the limit of the engine, and say
    that it leaves if it ``says_leaving``, refusals too; ``leaving_told_at`` is when the first one
    did. A run whose prompt has one of ``crashing_parts`` calls ``on_crash`` once its response has
    begun. Nothing is sent or accepted while ``speaks`` is cleared. ``refusals_to_repeat`` counts
    requests that are refused, with the refusal written once more a little later, and
    ``failures_to_repeat`` runs of items that fail, with the failure written once more when the next
    run on their connection is under way. It has
    ``errors_to_write`` runs that write another response into their body, ``heads_to_truncate`` runs
    that end their connection behind the head of their response, and ``heads_to_cut`` runs that end
    it within their head, at a byte drawn by the name of the engine. ``uploads_to_break`` counts
    long requests that are answered early with a part of an unframed body and reset, and
    ``odd_answers`` runs that write an answer which is none in front of their response.
    """

    def __init__(
        self, name: str, service: str, slots: int, run_log: RunLog, clock: Any, version: str
    ) -> None:
        self.name = name
        self.version = version
        self.service = service
        self._text_version = f"{service}/{version}" if service in SPLIT_SERVICES else version
        self.slots = slots
        self._run_log = run_log
        self._clock = clock
        self._running = 0
        self._queued = 0
        self._sockets: set[Any] = set()
        self._signatures = itertools.count(1)
        self.responses_to_lose = 0
        self.events_to_cut = 0
        self.unframed_period = 0
        self.responses_without_end = 0
        self.speaks = Event()
        self.speaks.set()
        self.refusals_to_repeat = 0
        self.failures_to_repeat = 0
        self._failures_by_socket: dict[Any, bytes] = {}
        self.errors_to_write = 0
        self.heads_to_truncate = 0
        self.heads_to_cut = 0
        self.uploads_to_break = 0
        self.odd_answers = 0
        self._random = random.Random(name)
        self.limit_per_s: float | None = None
        self.crashing_parts: set[str] = set()
        self.on_crash: Callable[[str], None] = lambda _name: None
        self.draining = False
        self.says_leaving = False
        self.leaving_told_at: float | None = None
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.port: int = self._server.server_port

    def encode_entry(self, port: int) -> bytes:
        """Return the engine's entry in the store, in JSON; callers reach the engine at ``port``."""
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{port}",
            "zone": "a",
            "version": self.version,
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        return msgspec.json.encode(entry)

    def crash(self) -> None:
        """Close all connections; the runs on them end."""
        for sock in list(self._sockets):
            sock.close()

    def stop(self) -> None:
        """Close the port and all connections."""
        self._server.stop(timeout=0)
        self.crash()

    def _serve(self, sock: Any, _peer: Any) -> None:
        self._sockets.add(sock)
        try:
            while (request := read_head(sock)) is not None:
                headers, body = request
                if self.uploads_to_break and get_length(headers) >= LONG_UPLOAD_BYTES:
                    self.uploads_to_break -= 1
                    self._break_upload(sock, headers.get("clementinepin-request-id", ""))
                    return
                if not read_body(sock, get_length(headers) - len(body)):
                    return
                self.speaks.wait()
                if not self._handle_request(sock, headers):
                    return
        except OSError:
            return
        finally:
            self._sockets.discard(sock)
            self._failures_by_socket.pop(sock, None)
            sock.close()

    def _handle_request(self, sock: Any, headers: dict[str, str]) -> bool:
        """Answer one request; return whether the connection stays open."""
        request_id = headers.get("clementinepin-request-id", "")
        if headers.get("clementinepin-expect-instance") != self.name:
            sock.sendall(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
            return True
        if self.refusals_to_repeat:
            self.refusals_to_repeat -= 1
            _refuse_twice(sock, request_id)
            return True
        if self._queued >= QUEUE_MAX_REQUESTS:
            refusal = "HTTP/1.1 503 Full\r\nClementinepin-Not-Executed: 1\r\n"
            refusal += f"{self._name_leaving()}Content-Length: 0\r\n\r\n"
            sock.sendall(refusal.encode())
            return True
        self._queued += 1
        while self._running >= self.slots:
            gevent.sleep(STEP_S)
        self._queued -= 1
        self._running += 1
        try:
            return self._run(sock, request_id, headers)
        finally:
            self._running -= 1

    def _name_leaving(self) -> str:
        """Return the header line that says that this engine leaves, empty if it doesn't."""
        if not self.says_leaving:
            return ""
        if self.leaving_told_at is None:
            self.leaving_told_at = self._clock()
        return "Server-Leaving: 1\r\n"

    def _run(self, sock: Any, request_id: str, headers: dict[str, str]) -> bool:
        events = int(headers.get("clementinepin-token-count", "0,20").partition(",")[2])
        first = int(headers.get("last-event-id", "0")) + 1
        stream_id = headers.get("resumes", request_id)
        prompt = headers.get("clementinepin-prompt-prefix", "")
        parts = tuple(part.partition(":")[0] for part in prompt.split(","))[:-1]
        self._run_log.runs.append(Run(request_id, self.name, self._clock(), first, parts))
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            return False
        if copy := self._failures_by_socket.pop(sock, b""):
            sock.sendall(copy)
        if self._must_fail(request_id, headers[":path"]):
            failure = b"HTTP/1.1 500 Oops\r\nClementinepin-Request-Id: %s\r\n" % request_id.encode()
            self._failures_by_socket[sock] = failure + b"Content-Length: 0\r\n\r\n"
            sock.sendall(self._failures_by_socket[sock])
            return True
        gevent.sleep(STEP_S * 2)
        signature = next(self._signatures)
        framed = not self.unframed_period or signature % self.unframed_period > 0
        framing = "Transfer-Encoding: chunked" if framed else "Connection: close"
        plain = b""
        if headers[":path"].startswith(PLAIN_PATH):
            plain = make_plain_body(request_id, self.version)
            framing = f"Content-Length: {len(plain)}"
        kind = "text/plain" if plain else "text/event-stream"
        fields = f"Content-Type: {kind}\r\n{framing}\r\n"
        head = self._make_head(request_id, signature, fields)
        if self.responses_without_end:
            self.responses_without_end -= 1
            return self._send_without_end(sock, head)
        if not self._send_head(sock, head):
            return False
        if self.crashing_parts.intersection(parts):
            self.on_crash(self.name)
            return False
        if plain:
            return self._send_plain(sock, plain)
        return self._send_events(sock, stream_id, range(first, events + 1), framed=framed)

    def _break_upload(self, sock: Any, request_id: str) -> None:
        """Answer a request that is not read to its end with a part of a body, then reset it."""
        self._run_log.runs.append(Run(request_id, self.name, self._clock(), 1, ()))
        body = make_plain_body(request_id, self.version)
        fields = "Content-Type: text/plain\r\nConnection: close\r\n"
        head = self._make_head(request_id, next(self._signatures), fields)
        sock.sendall(head + body[: len(body) // 2])
        gevent.sleep(self._random.uniform(0.0, RESET_DELAY_MAX_S))
        reset(sock)

    def _must_fail(self, request_id: str, path: str) -> bool:
        """Return whether a run fails with status 500; count it then."""
        failures = self._run_log.failures
        is_item = path.startswith(ITEM_PATHS)
        if not (is_item and self.failures_to_repeat) or failures[request_id] >= ITEM_FAILURES_MAX:
            return False
        self.failures_to_repeat -= 1
        failures[request_id] += 1
        return True

    def _send_head(self, sock: Any, head: bytes) -> bool:
        """Send the head of a response; return whether its body follows."""
        self.speaks.wait()
        if self.odd_answers:
            self.odd_answers -= 1
            sock.sendall(self._random.choice(ODD_ANSWERS))
        if self.heads_to_cut:
            self.heads_to_cut -= 1
            sock.sendall(head[: self._random.randrange(1, len(head))])
            return False
        sock.sendall(head)
        if self.heads_to_truncate:
            self.heads_to_truncate -= 1
            return False
        return True

    def _send_events(
        self, sock: Any, stream_id: str, numbers: Iterable[int], *, framed: bool
    ) -> bool:
        """Send the events of a stream; return whether the connection stays open."""
        encode = encode_chunk if framed else bytes
        for count, number in enumerate(numbers):
            text = make_text(stream_id, number, self._text_version)
            event = f"id: {number}\ndata: {text}\n\n".encode()
            self.speaks.wait()
            if self.errors_to_write and count:
                self.errors_to_write -= 1
                sock.sendall(encode(ERROR_RESPONSE))
                return False
            if self.events_to_cut:
                self.events_to_cut -= 1
                sock.sendall(encode(event[: len(event) // 2]))
                return False
            sock.sendall(encode(event))
            gevent.sleep(STEP_S)
        if framed:
            sock.sendall(b"0\r\n\r\n")
        return framed

    def _make_head(self, request_id: str, signature: int, fields: str) -> bytes:
        """Return the head of a response; ``fields`` are the header lines that describe its body."""
        load = f"{self._running},{self._queued},{self.slots}"
        head = (
            f"HTTP/1.1 200 OK\r\n{fields}"
            f"Clementinepin-Request-Id: {request_id}\r\n"
            f"Clementinepin-Server-Signature: {self.name}.{signature}\r\n"
            f"Clementinepin-Server-Load: {load}\r\nKeep-Alive: timeout=10\r\n"
            f"{self._name_leaving()}"
        )
        if self.limit_per_s is not None:
            head += f"Server-Limit: {self.limit_per_s}\r\n"
        return f"{head}\r\n".encode()

    def _send_plain(self, sock: Any, body: bytes) -> bool:
        """Send a body without events in two pieces, or the first one only."""
        half = len(body) // 2
        sock.sendall(body[:half])
        gevent.sleep(STEP_S)
        if self.events_to_cut:
            self.events_to_cut -= 1
            return False
        sock.sendall(body[half:])
        return True

    def _send_without_end(self, sock: Any, head: bytes) -> bool:
        """Send header lines, then trailers or an event, without end; in turn by the runs so far."""
        kind = len(self._run_log.runs) % 3
        start = (head[:-2], head + b"0\r\n", head + encode_chunk(b"data: "))[kind]
        piece = (b"X-A: b\r\n" * 50, b"X-A: b\r\n" * 50, encode_chunk(b"a" * 400))[kind]
        sock.sendall(start)
        while True:
            sock.sendall(piece)
            gevent.sleep(0)


def _refuse_twice(sock: Any, request_id: str) -> None:
    """Refuse a request, and write the refusal once more when another request may be under way."""
    refusal = "HTTP/1.1 503 Full\r\nClementinepin-Not-Executed: 1\r\n"
    refusal += f"Clementinepin-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n"
    sock.sendall(refusal.encode())
    gevent.spawn_later(STEP_S * 2, _write_again, sock, refusal.encode())


def _write_again(sock: Any, data: bytes) -> None:
    try:
        sock.sendall(data)
    except OSError:
        return  # the caller has closed the connection
