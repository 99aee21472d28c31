from __future__ import annotations

import contextlib

import gevent
import pytest
from gevent.server import StreamServer
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from clementinepin.helpers.clock import create_system_clock
from clementinepin.infrastructure._http import RESPONSE_MAX_BYTES, HttpClient, HttpResponse
from clementinepin.infrastructure._weight_store import RETRY_MAX_S, parse_retry_after
from clementinepin.infrastructure.exceptions import PlatformUnavailableError

REPLY = b"HTTP/1.1 200 OK\r\nRetry-After: 5\r\nX: \xe2\r\nContent-Length: 2\r\n\r\n[]"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\n[]\r\n0\r\nT: x\r\n\r\n"


class Replier:
    """Sends ``reply`` on each connection, whatever it is asked, and closes."""

    def __init__(self):
        self.reply = b""
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, sock, _):
        with contextlib.suppress(OSError):
            sock.recv(65_536)
            sock.sendall(self.reply)
            sock.shutdown(1)
            sock.recv(1)
        sock.close()

    def fetch(self, reply):
        self.reply = reply
        client = HttpClient(f"127.0.0.1:{self.server.server_port}", create_system_clock())
        try:
            return client.fetch("GET", "/")
        finally:
            client.close()


@pytest.fixture
def replier():
    replier = Replier()
    yield replier
    replier.server.stop()


@pytest.mark.parametrize(
    "reply",
    [
        b"",
        b"\xff" * 50,
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 \xff\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX\xff: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5_000 + b"\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[]",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"f" * 30 + b"\r\n",
        b"HTTP/1.1 301 Moved\r\nLocation: http://[::1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\n[]",
        b"HTTP/1.1 200 OK\r\nSet-Cookie: \xff\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_odd_response_is_read_or_unavailable(replier, reply):
    with contextlib.suppress(PlatformUnavailableError):
        assert isinstance(replier.fetch(reply), HttpResponse)


@settings(
    derandomize=True,
    max_examples=150,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    base=st.sampled_from([REPLY, CHUNKED]),
    edits=st.lists(st.tuples(st.integers(0, 70), st.binary(max_size=3)), max_size=3),
)
def test_any_response_is_read_or_unavailable(replier, base, edits):
    data = bytearray(base)
    for at, piece in edits:
        data[at : at + 1] = piece
    with contextlib.suppress(PlatformUnavailableError):
        assert isinstance(replier.fetch(bytes(data)), HttpResponse)


ENDLESS = {
    "header": (b"HTTP/1.1 200 OK\r\nX: ", b"a" * 65_536),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X: aaaaaaaa\r\n" * 4_000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 65_536),
    "chunk extension": (CHUNKED[:50], b";" + b"a" * 65_536),
    "trailers": (CHUNKED[:-7], b"X: aaaaaaaa\r\n" * 4_000),
}


@pytest.mark.parametrize("kind", ENDLESS)
def test_a_response_without_end_is_given_up_within_its_bound(kind):
    """Guards against a faulty service that fills the memory until the call times out (issue 47)."""
    start, piece = ENDLESS[kind]
    sent = 0

    def serve(sock, _):
        nonlocal sent
        with contextlib.suppress(OSError):
            sock.recv(65_536)
            sock.sendall(start)
            while sent < 4 * RESPONSE_MAX_BYTES:
                sock.sendall(piece)
                sent += len(piece)
                gevent.sleep(0)

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    client = HttpClient(f"127.0.0.1:{server.server_port}", create_system_clock())
    with pytest.raises(PlatformUnavailableError, match=r"\d bytes"):
        client.fetch("GET", "/")
    server.stop(timeout=0)


@settings(derandomize=True, max_examples=200)
@given(value=st.none() | st.text(max_size=9) | st.sampled_from(["9" * 5_000, "²", "٣", "inf"]))
def test_any_time_to_retry_is_bounded(value):
    assert 0 <= parse_retry_after(value) <= RETRY_MAX_S
