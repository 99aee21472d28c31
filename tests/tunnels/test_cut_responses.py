"""Targets of the product's own interface that stop within their head or body and close."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from clementinepin.core import InstancesChanged
from clementinepin.helpers.clock import create_system_clock
from clementinepin.infrastructure import ListedInstance
from clementinepin.targets import (
    GenerateRequest,
    PlainRequest,
    TargetAddress,
    create_engine,
    create_plain_service,
)
from clementinepin.targets.exceptions import TargetLostError
from clementinepin.tunnels import create_tunnels
from tests.serving.cut_links import CutLink, Manner
from tests.targets.scripted import CUT, STREAM_HEAD, ScriptedTarget, chunk, make_reply, make_stream

ID = "q1"
UNFRAMED = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
EVENTS = make_stream(ID, ["one ", "two"])
STREAMS = {"chunks": STREAM_HEAD + chunk(EVENTS), "unframed": UNFRAMED + EVENTS}
WHOLE = make_reply(b'{"id": "cmpl-q1", "choices": []}')


class Ways:
    """An instance that reaches its targets directly, or through another one."""

    def __init__(self, networks: list[Any] | None) -> None:
        self._parts: list[Any] = []
        self.dialer = None
        if networks is not None:
            near, self._far = (create_tunnels(n._core, n) for n in networks)
            self._far.start()
            self.dialer = near.dialer
            self._core = networks[1]._core

    def add_target(self, whole: bytes, sizes: range) -> TargetAddress:
        """Return the address of a target that sends a part of each size in turn."""
        parts = iter([whole[:size] for size in sizes])
        target = ScriptedTarget(lambda _request: (next(parts), CUT), "t0")
        self._parts.append(target)
        if self.dialer is None:
            return target.address
        link = CutLink(Manner.REFUSE)
        self._parts.append(link)
        row = ListedInstance("t0", "llm", "127.0.0.1", target.address.port, 0, "dc", "r", "live")
        self._core.publish(InstancesChanged((row,)))
        return TargetAddress("t0", "127.0.0.1", link.port)

    def stop(self) -> None:
        if self.dialer is not None:
            self._far.stop(0.0)
        for part in self._parts:
            part.stop()


@pytest.fixture(params=["directly", "through a tunnel"])
def ways(request: pytest.FixtureRequest, start_networks: Any) -> Iterator[Ways]:
    ways = Ways(start_networks("a", "b") if request.param != "directly" else None)
    yield ways
    ways.stop()


def get_deadline() -> float:
    return create_system_clock().monotonic() + 10.0


@pytest.mark.parametrize("idempotent", [False, True])
def test_a_plain_response_that_is_cut_anywhere_is_lost(ways: Ways, idempotent: bool) -> None:
    """Guards against an empty or short body that is framed as whole (issue 41)."""
    whole = make_reply(b"answer")
    sizes = range(1, len(whole))
    service = create_plain_service(
        ways.add_target(whole, sizes), create_system_clock(), ways.dialer
    )
    for _ in sizes:
        request = PlainRequest("POST", "/x", (), b"", get_deadline(), idempotent)
        with pytest.raises(TargetLostError):
            list(service.call(request).body)


def test_an_unframed_plain_response_that_is_cut_within_its_head_is_lost(ways: Ways) -> None:
    sizes = range(1, len(UNFRAMED))
    address = ways.add_target(UNFRAMED, sizes)
    service = create_plain_service(address, create_system_clock(), ways.dialer)
    for _ in sizes:
        request = PlainRequest("POST", "/x", (), b"", get_deadline(), True)
        with pytest.raises(TargetLostError):
            service.call(request)


@pytest.mark.parametrize("kind", STREAMS)
def test_a_stream_that_is_cut_anywhere_is_lost(ways: Ways, kind: str) -> None:
    """Guards against streams whose last event never came and that look whole (issue 41)."""
    sizes = range(1, STREAMS[kind].index(b"[DONE]") + len(b"[DONE]\n"))
    address = ways.add_target(STREAMS[kind], sizes)
    engine = create_engine(address, create_system_clock(), ways.dialer)
    for _ in sizes:
        request = GenerateRequest(ID, "/v1/completions", {"model": "m"}, "online", get_deadline())
        with pytest.raises(TargetLostError):
            list(engine.generate(request))


def test_a_whole_response_of_an_engine_that_is_cut_anywhere_is_lost(ways: Ways) -> None:
    sizes = range(1, len(WHOLE))
    engine = create_engine(ways.add_target(WHOLE, sizes), create_system_clock(), ways.dialer)
    for _ in sizes:
        request = GenerateRequest(ID, "/v1/completions", {"model": "m"}, "online", get_deadline())
        with pytest.raises(TargetLostError):
            list(engine.generate(request._replace(whole=True)))
