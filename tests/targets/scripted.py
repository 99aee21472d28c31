"""A target that responds to each request with a script of bytes and connection faults."""

from __future__ import annotations

import json

import gevent.event
from gevent import socket
from gevent.server import StreamServer

from clementinepin.targets import TargetAddress

CUT = object()
RESET = object()
HANG = object()


def make_event(request_id, text, finish_reason=None, chat=False):
    choice = {"index": 0, "finish_reason": finish_reason}
    if chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    event = {"id": f"cmpl-{request_id}", "choices": [choice]}
    return b"data: " + json.dumps(event).encode() + b"\n\n"


def make_stream(request_id, texts, chat=False):
    events = [make_event(request_id, t, chat=chat) for t in texts[:-1]]
    events.append(make_event(request_id, texts[-1], "stop", chat=chat))
    return b"".join(events) + b"data: [DONE]\n\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"


def make_reply(body, status="200 OK", headers=()):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class ScriptedTarget:
    """Plays ``script(request)`` for each request: an iterable of bytes, CUT, RESET and HANG."""

    def __init__(self, script, name="t1"):
        self.script = script
        self.name = name
        self.requests = []
        self.connections = 0
        self.closed_by_peer = gevent.event.Event()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self):
        return TargetAddress(self.name, "127.0.0.1", self._server.server_port)

    def stop(self):
        self._server.stop()

    def _serve(self, sock, _):
        self.connections += 1
        source = sock.makefile("rb")
        while True:
            request = read_request(source)
            if request is None:
                self.closed_by_peer.set()
                return
            self.requests.append(request)
            if not self._play(sock, request):
                return

    def _play(self, sock, request):
        for step in self.script(request):
            if step is CUT:
                sock.shutdown(socket.SHUT_RDWR)
                return False
            if step is RESET:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                sock.close()
                return False
            if step is HANG:
                if is_closed(sock):
                    self.closed_by_peer.set()
                return False
            try:
                sock.sendall(step)
            except OSError:
                self.closed_by_peer.set()
                return False
        return True


def is_closed(sock):
    """Return whether the peer closes the connection, with a reset if it left data unread."""
    try:
        return sock.recv(1) == b""
    except ConnectionResetError:
        return True


def read_request(source):
    """Return method, path, headers and body of one request, or None at the end of file."""
    line = source.readline()
    if not line:
        return None
    method, path, _ = line.decode().split(" ", 2)
    headers = {}
    while (line := source.readline().strip()) != b"":
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip()
    body = source.read(int(headers.get("content-length", 0)))
    return {"method": method, "path": path, "headers": headers, "body": body}
