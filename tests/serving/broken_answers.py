"""Targets in trouble, whose answers must not reach a caller, and the uploads that meet them."""

from __future__ import annotations

from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from clementinepin.targets import TargetAddress
from tests.serving.cut_links import reset
from tests.serving.scripted import make_chunk

UPLOAD = b"u" * 4_000_000  # within the limit on callers' bodies
READ_BYTES = 4096  # what the target reads of an upload
SETTLED_S = 0.1  # the answer reaches its reader meanwhile
RECEIVE_BUFFER_BYTES = 4096  # so that the kernel takes only a small part of an upload
# A status has three digits, the first from 1 to 5 (RFC 9110, section 15).
ODD_STATUSES = ("000", "0", "20", "099", "600", "999", "2000", "-1", "2x0", "0200", "")
ODD_PROTOCOLS = ("HTTP/2.0", "HTTP/0.9", "RTSP/1.0", "ICE/1.0")
ODD_LINES = (
    *(f"HTTP/1.1 {status} Odd" for status in ODD_STATUSES),
    *(f"{protocol} 200 OK" for protocol in ODD_PROTOCOLS),
)
INTERIM_LINES = tuple(f"HTTP/1.1 {s} Odd" for s in ("100", "102", "103", "199"))
# Each as a line of a head or of trailers.
ODD_FIELDS = {
    "blank in the name": b"X Odd: odd",
    "blank before the name": b" X-Odd: odd",
    "blank behind the name": b"X-Odd : odd",
    "tab in the name": b"X\tOdd: odd",
    "tab before the name": b"\tX-Odd: odd",
    "tab behind the name": b"X-Odd\t: odd",
    "control byte": b"X\x01Odd: odd",
    "escape": b"X\x1bOdd: odd",
    "NUL": b"X\0Odd: odd",
    "CR": b"X\rOdd: odd",
    "LF": b"X\nOdd: odd",
    "DEL": b"X\x7fOdd: odd",
    "byte above 127": b"X\xe9Odd: odd",
    "no name": b": odd",
    "no colon": b"X-Odd",
    "Content-Length and a blank": b"Content-Length : 3",
    "Content-Length with a blank": b"Content Length: 3",
    "Transfer-Encoding and a blank": b"Transfer-Encoding : chunked",
    "NUL in the value": b"X-Odd: odd\0odd",
    "CR in the value": b"X-Odd: odd\rodd",
    "folded value": b"X-Odd: odd\r\n odd",
}


class ResettingTarget:
    """Answers an upload early with ``answer``, reads no more of it, and resets the connection.

    The reset follows as soon as ``may_reset`` is set. ``answered`` is set behind each answer. If it
    ``ends_in_order``, it closes its side of the connection behind the answer.
    """

    def __init__(self, answer: bytes, *, ends_in_order: bool = False) -> None:
        self._answer = answer
        self._ends_in_order = ends_in_order
        self.answered = Event()
        self.may_reset = Event()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen(64)
        self._server = StreamServer(listener, self._serve)
        self._server.start()
        self.port: int = self._server.server_port

    @property
    def address(self) -> TargetAddress:
        return TargetAddress("t0", "127.0.0.1", self.port)

    def stop(self) -> None:
        self.may_reset.set()
        self._server.stop(timeout=0)

    def _serve(self, sock: Any, _peer: Any) -> None:
        received = 0
        while received < READ_BYTES:
            piece = sock.recv(READ_BYTES)
            if not piece:
                return
            received += len(piece)
        sock.sendall(self._answer)
        if self._ends_in_order:
            sock.shutdown(socket.SHUT_WR)
        self.answered.set()
        self.may_reset.wait()
        reset(sock)


def send_answers(*answers: bytes) -> Any:
    """Return a script that sends answers one behind the other and closes."""

    def script(sock: Any, request: bytes) -> bool:
        for answer in answers:
            sock.sendall(answer)
        return False

    return script


def frame(start: bytes, body: bytes, *, chunked: bool) -> bytes:
    """Return a response; ``start`` is its status line and fields."""
    if chunked:
        return start + b"Transfer-Encoding: chunked\r\n\r\n" + make_chunk(body) + b"0\r\n\r\n"
    return start + b"Content-Length: %d\r\n\r\n" % len(body) + body


class WriteWatch:
    """Sees whether a write to a port is held up, whichever part of the process writes."""

    def __init__(self, monkeypatch: Any, port: int) -> None:
        self._port = port
        self._running = 0
        send = socket.socket.send

        def watch(sock: Any, *args: Any, **kwargs: Any) -> int:
            if not self._leads_to_port(sock):
                return int(send(sock, *args, **kwargs))
            self._running += 1
            try:
                return int(send(sock, *args, **kwargs))
            finally:
                self._running -= 1

        monkeypatch.setattr(socket.socket, "send", watch)

    def wait_until_under_way(self, target: ResettingTarget) -> None:
        """Wait until the target has answered while a part of a request is still to be written."""
        with gevent.Timeout(5.0):
            target.answered.wait()
            while not self._running:
                gevent.sleep(0.01)
        gevent.sleep(SETTLED_S)
        assert self._running

    def _leads_to_port(self, sock: Any) -> bool:
        try:
            return bool(sock.getpeername()[1] == self._port)
        except OSError:
            return False


def upload(port: int, *headers: str) -> bytes:
    """Send a long request and return all bytes of the response until the connection ends."""
    lines = ["POST /x/1 HTTP/1.1", "Host: h.example", "Connection: close", *headers]
    lines.append(f"Content-Length: {len(UPLOAD)}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    with gevent.Timeout(10.0), socket.create_connection(("127.0.0.1", port)) as sock:
        sock.sendall(head + UPLOAD)
        data = b""
        while piece := sock.recv(65_536):
            data += piece
        return data
