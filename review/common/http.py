"""A small HTTP/1.1 client over one new connection, as callers on the platform use it."""

from __future__ import annotations

import json
import time
from typing import Any, NamedTuple

from gevent import socket

READ_SIZE_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0


class Answer(NamedTuple):
    """What a client has seen of one attempt.

    ``status`` is 0 if no answer began. ``complete`` says that the answer ended as the protocol
    demands; ``error`` describes why it did not. Times are monotonic seconds.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    error: str
    sent_at: float
    ended_at: float

    @property
    def message(self) -> Any:
        """Return the decoded JSON body."""
        return json.loads(self.body)

    @property
    def events(self) -> list[tuple[int, str]]:
        """Return the ids and data of all whole events in the body."""
        return parse_events(self.body)


def parse_events(body: bytes) -> list[tuple[int, str]]:
    """Return the ids and data of all whole events of a stream."""
    rows = []
    for block in body.decode("latin-1").split("\n\n")[:-1]:
        fields = dict(line.partition(": ")[::2] for line in block.split("\n"))
        rows.append((int(fields.get("id", "0")), fields.get("data", "")))
    return rows


def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Send one request on a new connection and read its answer to the end."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
    sent_at = time.monotonic()
    try:
        sock = socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S)
    except OSError as err:
        return Answer(0, {}, b"", False, f"connect: {err}", sent_at, time.monotonic())
    reader = _Reader(sock, sent_at + timeout_s)
    try:
        sock.sendall(data)
        sent_at = time.monotonic()
        reader.read_answer()
    except (OSError, ValueError, EOFError) as err:
        reader.error = f"{type(err).__name__}: {err}"
    finally:
        sock.close()
    complete = not reader.error
    return Answer(
        reader.status,
        reader.headers,
        bytes(reader.body),
        complete,
        reader.error,
        sent_at,
        time.monotonic(),
    )


class _Reader:
    """Reads one answer; what was read before a failure stays."""

    def __init__(self, sock: Any, deadline: float) -> None:
        self._sock = sock
        self._deadline = deadline
        self._data = bytearray()
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.error = ""

    def read_answer(self) -> None:
        """Read the head and the body."""
        head = self._read_until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        self.headers = {k.lower(): v.strip() for k, _, v in (x.partition(":") for x in head[1:])}
        self.status = int(head[0].split(" ")[1])
        if "chunked" in self.headers.get("transfer-encoding", ""):
            while size := int(self._read_until(b"\r\n").split(b";")[0], 16):
                self._read_body(size)
                self._read_until(b"\r\n")
            self._read_until(b"\r\n")
        elif "content-length" in self.headers:
            self._read_body(int(self.headers["content-length"]))
        else:
            raise ValueError("an answer with neither a length nor chunks")

    def _fill(self) -> None:
        self._sock.settimeout(max(0.001, self._deadline - time.monotonic()))
        data = self._sock.recv(READ_SIZE_BYTES)
        if not data:
            raise EOFError("the connection ended before the answer")
        self._data += data

    def _read_until(self, mark: bytes) -> bytes:
        while mark not in self._data:
            self._fill()
        found, _, rest = bytes(self._data).partition(mark)
        self._data = bytearray(rest)
        return found

    def _read_body(self, size: int) -> None:
        while size:
            if not self._data:
                self._fill()
            piece = self._data[:size]
            del self._data[: len(piece)]
            self.body += piece
            size -= len(piece)
