"""What a read sees of a connection that breaks while another greenlet writes to it."""

from __future__ import annotations

import gevent
import pytest

from clementinepin.helpers.clock import create_system_clock
from clementinepin.targets import TargetSocket, connect_directly
from tests.serving.broken_answers import UPLOAD, ResettingTarget, WriteWatch


def write_until_reset(target: ResettingTarget, watch: WriteWatch) -> tuple[TargetSocket, OSError]:
    """Return the connection, of which nothing was read, and the error of the write."""
    clock = create_system_clock()
    sock = connect_directly(target.address, clock.monotonic() + 5.0, clock)
    sock.settimeout(5.0)
    writing = gevent.spawn(sock.sendall, UPLOAD)
    watch.wait_until_under_way(target)
    target.may_reset.set()
    with pytest.raises((BrokenPipeError, ConnectionResetError)) as caught:
        writing.get(timeout=5.0)
    return sock, caught.value


def test_a_read_behind_a_write_that_found_a_reset_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    target = ResettingTarget(b"part")
    sock, failure = write_until_reset(target, WriteWatch(monkeypatch, target.port))
    assert isinstance(failure, ConnectionResetError)
    assert sock.recv(100) == b"part"
    for _ in range(2):
        with pytest.raises(ConnectionAbortedError):
            sock.recv(100)
    target.stop()


def test_an_answer_that_ended_in_order_before_a_reset_is_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    target = ResettingTarget(b"whole", ends_in_order=True)
    sock, failure = write_until_reset(target, WriteWatch(monkeypatch, target.port))
    assert isinstance(failure, BrokenPipeError)
    assert (sock.recv(100), sock.recv(100)) == (b"whole", b"")
    target.stop()
