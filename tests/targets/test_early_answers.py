"""A target may answer before it has read a long request, and read the rest later or never."""

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

BODY = b"x" * 8_000_000  # beyond what the buffers of a loopback connection take


class EarlyTarget:
    """Reads the headers, answers, and goes on as its script says."""

    def __init__(self, answer: bytes, go_on: Callable[[Any], None]) -> None:
        self._answer = answer
        self._go_on = go_on
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
            sock.sendall(self._answer)
            self._go_on(sock)

    def read_rest(self, sock: Any) -> None:
        gevent.sleep(0.05)
        while len(self.received) < len(BODY):
            self.received += sock.recv(65_536)
        gevent.sleep(5.0)


def send(target: EarlyTarget, transport: Transport) -> HttpExchange:
    deadline = create_system_clock().monotonic() + 5.0
    return transport.send(HttpRequest("POST", "/x", body=BODY, deadline=deadline))


def create_transport(target: EarlyTarget) -> Transport:
    address = TargetAddress("t", "127.0.0.1", target.server.server_port)
    return Transport(address, create_system_clock())


def wait_for_close(sock: Any) -> None:
    """Read nothing of the rest, and end after the other side did."""
    gevent.sleep(5.0)


@pytest.mark.parametrize("answer", [make_plain(b"early"), UNNAMED_REFUSAL])
def test_an_early_answer_is_taken_at_once(answer: bytes) -> None:
    target = EarlyTarget(answer, wait_for_close)
    transport = create_transport(target)
    exchange = send(target, transport)
    assert exchange.status in (200, 503)
    exchange.read_all(100)
    assert transport.idle == 0
    target.server.stop(timeout=0)


def test_the_rest_of_a_body_is_what_was_promised() -> None:
    target = EarlyTarget(b"", lambda sock: target.read_rest(sock))
    transport = create_transport(target)
    with gevent.Timeout(10.0):
        sending = gevent.spawn(send, target, transport)
        while len(target.received) < len(BODY):
            gevent.sleep(0.01)
    assert target.received == BODY
    sending.kill()
    target.server.stop(timeout=0)


def test_no_later_request_shares_a_connection_whose_body_is_still_due() -> None:
    target = EarlyTarget(make_plain(b"early"), wait_for_close)
    transport = create_transport(target)
    for _ in range(2):
        assert send(target, transport).read_all(100) == b"early"
    assert target.connections == 2
    target.server.stop(timeout=0)


def test_a_target_that_closes_without_an_answer_is_lost() -> None:
    def reset(sock: Any) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")

    target = EarlyTarget(b"", reset)
    with pytest.raises(TargetLostError):
        send(target, create_transport(target))
    target.server.stop(timeout=0)
