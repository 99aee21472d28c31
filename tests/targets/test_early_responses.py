"""Targets that respond before they have read a long request, and read the rest later or never."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from clementinepin.helpers.clock import create_system_clock
from clementinepin.targets import HttpExchange, HttpRequest, TargetAddress, Transport
from clementinepin.targets.exceptions import TargetLostError
from tests.serving.scripted import UNNAMED_REFUSAL, make_plain

BODY = b"x" * 8_000_000  # larger than the socket buffers of a loopback connection


class EarlyResponseTarget:
    """Reads the headers, sends a response and then calls ``continue_connection``."""

    def __init__(self, response: bytes, continue_connection: Callable[[Any], None]) -> None:
        self._response = response
        self._continue_connection = continue_connection
        self.connections = 0
        self.received = b""
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, sock: Any, _peer: Any) -> None:
        self.connections += 1
        with sock:
            data = b""
            while b"\r\n\r\n" not in data:
                data += sock.recv(1024)
            self.received = data.partition(b"\r\n\r\n")[2]
            sock.sendall(self._response)
            self._continue_connection(sock)

    def read_rest(self, sock: Any) -> None:
        gevent.sleep(0.05)
        while len(self.received) < len(BODY):
            self.received += sock.recv(65_536)
        gevent.sleep(5.0)


def send(target: EarlyResponseTarget, transport: Transport) -> HttpExchange:
    deadline = create_system_clock().monotonic() + 5.0
    return transport.send(HttpRequest("POST", "/x", body=BODY, deadline=deadline))


def create_transport(target: EarlyResponseTarget) -> Transport:
    address = TargetAddress("t", "127.0.0.1", target.server.server_port)
    return Transport(address, create_system_clock())


def wait_for_close(sock: Any) -> None:
    """Read nothing more, and stay open longer than the client does."""
    gevent.sleep(5.0)


@pytest.mark.parametrize("response", [make_plain(b"early"), UNNAMED_REFUSAL])
def test_an_early_response_is_returned_at_once(response: bytes) -> None:
    target = EarlyResponseTarget(response, wait_for_close)
    transport = create_transport(target)
    exchange = send(target, transport)
    assert exchange.status in (200, 503)
    exchange.read_all(100)
    assert transport.idle == 0
    target.server.stop(timeout=0)


def test_the_rest_of_a_long_body_is_written_in_the_background() -> None:
    target = EarlyResponseTarget(b"", lambda sock: target.read_rest(sock))
    transport = create_transport(target)
    with gevent.Timeout(10.0):
        sending = gevent.spawn(send, target, transport)
        while len(target.received) < len(BODY):
            gevent.sleep(0.01)
    assert target.received == BODY
    sending.kill()
    target.server.stop(timeout=0)


def test_a_connection_with_an_unfinished_request_is_not_reused() -> None:
    target = EarlyResponseTarget(make_plain(b"early"), wait_for_close)
    transport = create_transport(target)
    for _ in range(2):
        assert send(target, transport).read_all(100) == b"early"
    assert target.connections == 2
    target.server.stop(timeout=0)


def test_a_target_that_closes_without_a_response_is_lost() -> None:
    def reset(sock: Any) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")

    target = EarlyResponseTarget(b"", reset)
    with pytest.raises(TargetLostError):
        send(target, create_transport(target))
    target.server.stop(timeout=0)
