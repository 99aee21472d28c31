"""Scripted targets and a simple caller over loopback sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

from tests.ports import find_port

HEAD = (
    b"HTTP/1.1 200 OK\r\nClementinepin-Server-Signature: %s\r\n" b"Clementinepin-Request-Id: %s\r\n"
)
EVENTS = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED_EVENTS = b"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"


def make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def make_event(number: int) -> bytes:
    return b"id: %d\ndata: e%d\n\n" % (number, number)


def read_id(request: bytes) -> bytes:
    """Return the request id from a request's headers, empty if there is none."""
    for line in request.split(b"\r\n"):
        if line.lower().startswith(b"clementinepin-request-id:"):
            return line.partition(b":")[2].strip()
    return b""


def make_plain(body: bytes, signature: bytes = b"s1", request_id: bytes = b"q1") -> bytes:
    head = HEAD % (signature, request_id)
    return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


UNNAMED_REFUSAL = b"HTTP/1.1 503 Busy\r\nClementinepin-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


def refuse(sock: Any, request: bytes) -> None:
    """Send a refusal that names the request and states that it did not run."""
    named = b"Clementinepin-Request-Id: " + read_id(request) + b"\r\nContent-Length"
    sock.sendall(UNNAMED_REFUSAL.replace(b"Content-Length", named))


class ScriptedTarget:
    """Responds to each request with its next script, and refuses it when none is left.

    A script is the response's bytes, or a function of socket and request that sends the response
    and returns False to close the connection.
    """

    def __init__(self, *scripts: Callable[[Any, bytes], None] | bytes) -> None:
        self._scripts = list(scripts)
        self.requests: list[bytes] = []
        self.connections = 0
        self._server = StreamServer(("127.0.0.1", find_port()), self._serve)
        self._server.start()
        self.port = self._server.server_port

    def _serve(self, sock: Any, _peer: Any) -> None:
        self.connections += 1
        with sock:
            while True:
                request = read_message(sock)
                if not request:
                    return
                self.requests.append(request)
                script = self._scripts.pop(0) if self._scripts else refuse
                if isinstance(script, bytes):
                    sock.sendall(script)
                elif script(sock, request) is False:
                    return

    def stop(self) -> None:
        self._server.stop(timeout=0)


def read_message(sock: Any) -> bytes:
    """Return one message whose length is given by Content-Length, or b"" at end of file."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65_536)
        if not piece:
            return b""
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    size = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            size = int(line.partition(b":")[2])
    while len(body) < size:
        body += sock.recv(65_536)
    return head + b"\r\n\r\n" + body


def call(port: int, *headers: str, method: str = "POST", path: str = "/x/1") -> bytes:
    """Send one request and return all bytes of the response until the connection closes."""
    lines = [f"{method} {path} HTTP/1.1", "Host: h.example", "Connection: close", *headers]
    lines.append("Content-Length: 4" if method == "POST" else "Content-Length: 0")
    body = "body" if method == "POST" else ""
    with gevent.Timeout(10.0), socket.create_connection(("127.0.0.1", port)) as sock:
        sock.sendall(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
        data = b""
        while piece := sock.recv(65_536):
            data += piece
        return data
