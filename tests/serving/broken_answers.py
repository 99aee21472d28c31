"""Targets in trouble, whose answers must not reach a caller, and the uploads that meet them."""

from __future__ import annotations

from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from clementinepin.targets._connection import Connection
from tests.ports import find_port
from tests.serving.cut_links import reset
from tests.serving.scripted import make_chunk

UPLOAD = b"u" * 4_000_000  # within the limit on callers' bodies
READ_BYTES = 4096  # what the target reads of an upload
RECEIVE_BUFFER_BYTES = 4096  # so that the kernel takes only a small part of an upload


class ResettingTarget:
    """Answers an upload early with ``answer``, reads no more of it, and resets the connection.

    The reset follows as soon as ``may_reset`` is set. ``answered`` is set behind each answer.
    """

    def __init__(self, answer: bytes, *, host: str = "127.0.0.1") -> None:
        self._answer = answer
        self.connections = 0
        self.answered = Event()
        self.may_reset = Event()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind((host, find_port()))
        listener.listen(64)
        self._server = StreamServer(listener, self._serve)
        self._server.start()
        self.port: int = self._server.server_port

    def stop(self) -> None:
        self.may_reset.set()
        self._server.stop(timeout=0)

    def _serve(self, sock: Any, _peer: Any) -> None:
        self.connections += 1
        received = 0
        while received < READ_BYTES:
            piece = sock.recv(READ_BYTES)
            if not piece:
                return
            received += len(piece)
        sock.sendall(self._answer)
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
    """Sees the connections to targets on which a request was begun."""

    def __init__(self, monkeypatch: Any) -> None:
        self._connections: list[Connection] = []
        write = Connection.write

        def record(connection: Connection, data: bytes, deadline: float) -> None:
            self._connections.append(connection)
            write(connection, data, deadline)

        monkeypatch.setattr(Connection, "write", record)

    @property
    def is_under_way(self) -> bool:
        """Return whether a part of the last request is still to be written."""
        return self._connections[-1].is_writing


def upload(port: int, *headers: str, path: str = "/x/1") -> bytes:
    """Send a long request and return all bytes of the response until the connection ends."""
    lines = [f"POST {path} HTTP/1.1", "Host: h.example", "Connection: close", *headers]
    lines.append(f"Content-Length: {len(UPLOAD)}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    with gevent.Timeout(10.0), socket.create_connection(("127.0.0.1", port)) as sock:
        sock.sendall(head + UPLOAD)
        data = b""
        while piece := sock.recv(65_536):
            data += piece
        return data
