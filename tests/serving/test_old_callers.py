"""Tests of callers that speak HTTP/1.0, for whom the end of the connection ends a response."""

from __future__ import annotations

import gevent
import pytest
from gevent import socket

from tests.serving.harness import ID, Harness, send_events
from tests.serving.scripted import ScriptedTarget


def call_with_http_1_0(port: int) -> bytes:
    """Return all bytes of the response. Raises ConnectionResetError if it was reset."""
    lines = ["POST /x/1 HTTP/1.0", "Host: h.example", ID, "Content-Length: 4"]
    with gevent.Timeout(10.0), socket.create_connection(("127.0.0.1", port)) as sock:
        sock.sendall(("\r\n".join(lines) + "\r\n\r\nbody").encode())
        data = b""
        while piece := sock.recv(65_536):
            data += piece
        return data


def test_a_whole_stream_ends_with_the_connection(harness: Harness) -> None:
    harness.set_route(attempts_max=1)
    harness.add_target(ScriptedTarget(send_events(1, 2)))
    assert call_with_http_1_0(harness.port).endswith(b"data: e2\n\n")


def test_a_stream_that_breaks_off_resets_the_connection(harness: Harness) -> None:
    """Closing it normally made the part that was sent look like the whole stream."""
    harness.set_route(attempts_max=1)
    harness.add_target(ScriptedTarget(send_events(1, 2, end=False)))
    with pytest.raises(ConnectionResetError):
        call_with_http_1_0(harness.port)
