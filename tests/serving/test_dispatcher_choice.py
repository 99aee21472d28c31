"""Tests that an instance keeps a dispatcher that responds while older ones can't be reached."""

from __future__ import annotations

from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

from clementinepin.helpers.clock import create_system_clock
from clementinepin.serving import _messages as messages
from clementinepin.serving._dispatcher_link import DispatcherLink
from clementinepin.serving.models import Member
from tests.ports import find_port


class Runners:
    """A fleet whose job runners are given."""

    def __init__(self, ports: list[int]) -> None:
        self._members = [
            Member(f"d{n}", True, "127.0.0.1", port, "", "a", "r", False, n)
            for n, port in enumerate(ports)
        ]

    def list_job_runners(self) -> list[Member]:
        return self._members


def test_an_instance_cut_off_from_two_dispatchers_keeps_the_third() -> None:
    """Guards against a responsive dispatcher that is left at once for those that are cut off."""
    silent = []
    for _ in range(2):
        listener = socket.socket()
        listener.bind(("127.0.0.1", find_port()))
        listener.listen(64)
        silent.append(listener)
    connections: list[Any] = []

    def serve(sock: Any, _peer: Any) -> None:
        connections.append(sock)
        sender = messages.MessageSender(sock)
        while True:
            sender.send(messages.SlotQueued())
            gevent.sleep(0.1)

    server = StreamServer(("127.0.0.1", find_port()), serve)
    server.start()
    ports = [listener.getsockname()[1] for listener in silent] + [server.server_port]
    clock = create_system_clock()
    link = DispatcherLink(
        Runners(ports),  # type: ignore[arg-type]
        clock,
        lambda: messages.Hello("f1", [], [], [], {}, []),
        lambda _message: None,
    )
    responsive = 0
    link.start()
    for _ in range(400):
        gevent.sleep(0.01)
        responsive += link.is_responsive
    link.stop()
    server.stop(timeout=0)
    assert responsive > 0
    assert len(connections) < 5  # the skipped ones are tried again once in SKIP_UNREACHED_S
