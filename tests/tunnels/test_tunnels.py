"""Tests of an instance of the product's own interface that reaches no target by itself."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import gevent
import pytest

from clementinepin.core import InstancesChanged
from clementinepin.entry._retry import classify_failure
from clementinepin.helpers.clock import create_system_clock
from clementinepin.infrastructure import ListedInstance
from clementinepin.scheduling import CallResult
from clementinepin.targets import (
    Engine,
    GenerateRequest,
    PlainRequest,
    TargetAddress,
    create_engine,
    create_plain_service,
)
from clementinepin.targets.exceptions import (
    TargetLinkLostError,
    TargetLostError,
    TargetNotReachedError,
)
from clementinepin.tunnels import _server as tunnel_server
from clementinepin.tunnels import create_tunnels
from tests.serving.cut_links import CutLink, Effect, Link, Manner
from tests.targets.scripted import (
    CUT,
    HANG,
    LAST_CHUNK,
    STREAM_HEAD,
    ScriptedTarget,
    chunk,
    make_reply,
    make_stream,
)

ID = "q1"
PIECES = (STREAM_HEAD, chunk(make_stream(ID, ["one ", "two"])), LAST_CHUNK)


class Pair:
    """Instance ``a``, whose links to targets are cut, and ``b``, which reaches them."""

    def __init__(self, networks: list[Any]) -> None:
        self.near, self.far = (create_tunnels(network._core, network) for network in networks)
        self.far.start()
        self._parts: list[Any] = []

    def add_cut_target(self, manner: Manner, *steps: Any) -> tuple[ScriptedTarget, TargetAddress]:
        """Return a target that only ``b`` reaches, and the address that ``a`` knows for it."""
        target = self._add_target(*steps)
        link = CutLink(manner)
        self._parts.append(link)
        return target, TargetAddress("t0", "127.0.0.1", link.port)

    def add_linked_target(self, effect: Effect, *steps: Any) -> tuple[Link, TargetAddress]:
        """Return the link of ``a`` to a target that both reach, and its address."""
        target = self._add_target(*steps)
        link = Link(target.address.port, effect)
        self._parts.append(link)
        return link, TargetAddress("t0", "127.0.0.1", link.port)

    def create_engine(self, address: TargetAddress) -> Engine:
        return create_engine(address, create_system_clock(), self.near.dialer)

    def stop(self) -> None:
        self.far.stop(0.0)
        for part in self._parts:
            part.stop()

    def _add_target(self, *steps: Any) -> ScriptedTarget:
        target = ScriptedTarget(lambda _request: steps, "t0")
        self._parts.append(target)
        row = ListedInstance("t0", "llm", "127.0.0.1", target.address.port, 0, "dc", "r", "live")
        self.far._core.publish(InstancesChanged((row,)))
        return target


@pytest.fixture
def pair(start_networks: Any) -> Iterator[Pair]:
    pair = Pair(start_networks("a", "b"))
    yield pair
    pair.stop()


def make_request(wait_s: float = 10.0, **changes: Any) -> GenerateRequest:
    deadline = create_system_clock().monotonic() + wait_s
    request = GenerateRequest(ID, "/v1/completions", {"model": "m"}, "online", deadline)
    return request._replace(**changes)


@pytest.mark.parametrize("manner", Manner)
def test_a_stream_comes_through_a_peer_if_the_own_link_is_cut(pair: Pair, manner: Manner) -> None:
    target, address = pair.add_cut_target(manner, *PIECES)
    engine = pair.create_engine(address)
    for _ in range(3):
        chunks = list(engine.generate(make_request()))
        assert "".join(c.text for c in chunks) == "one two"
        assert chunks[-1].done
    assert len(target.requests) == 3
    assert pair.near.describe_state()["relayed"] == ["t0"]


def test_a_plain_call_comes_through_a_peer(pair: Pair) -> None:
    body = b"x" * 500_000
    _, address = pair.add_cut_target(Manner.HANG, make_reply(body))
    service = create_plain_service(address, create_system_clock(), pair.near.dialer)
    deadline = create_system_clock().monotonic() + 10.0
    request = PlainRequest("POST", "/x", (), b"y" * 300_000, deadline, False)
    assert b"".join(service.call(request).body) == body


def test_a_stream_that_its_target_breaks_off_in_a_tunnel_is_lost(pair: Pair) -> None:
    _, address = pair.add_cut_target(Manner.REFUSE, *PIECES[:2][:1], CUT)
    with pytest.raises(TargetLostError) as caught:
        list(pair.create_engine(address).generate(make_request()))
    assert classify_failure(caught.value, started=True) is CallResult.LOST


def test_a_stream_whose_peer_is_lost_is_not_blamed_on_its_target(pair: Pair) -> None:
    target, address = pair.add_cut_target(Manner.REFUSE, STREAM_HEAD, HANG)
    reading = gevent.spawn(list, pair.create_engine(address).generate(make_request()))
    with gevent.Timeout(5.0):
        while not target.requests:
            gevent.sleep(0.01)
    pair.far._server.close()
    with pytest.raises(TargetLostError) as caught, gevent.Timeout(5.0):
        reading.get()
    assert len(target.requests) == 1
    assert target.closed_by_peer.wait(5.0)
    assert classify_failure(caught.value, started=True) is not CallResult.SUCCESS


def test_a_run_that_a_lost_link_breaks_off_is_not_blamed_on_its_target(pair: Pair) -> None:
    link, address = pair.add_linked_target(Effect.RESET, STREAM_HEAD, HANG)
    reading = gevent.spawn(list, pair.create_engine(address).generate(make_request()))
    gevent.sleep(0.1)
    link.cut(Manner.REFUSE)
    with pytest.raises(TargetLinkLostError) as caught, gevent.Timeout(5.0):
        reading.get()
    assert classify_failure(caught.value, started=True) is CallResult.CANCELLED


def test_closing_a_stream_cancels_it_through_a_peer(pair: Pair) -> None:
    target, address = pair.add_cut_target(Manner.HANG, *PIECES[:2], HANG)
    stream = pair.create_engine(address).generate(make_request())
    next(stream)
    stream.close()  # type: ignore[attr-defined]
    assert target.closed_by_peer.wait(5.0)


def test_a_lost_instance_leaves_no_run_behind(pair: Pair, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a relay that keeps a target at work for an instance that is gone."""
    monkeypatch.setattr(tunnel_server, "UNUSED_MAX_S", 0.2)
    monkeypatch.setattr(tunnel_server, "WAIT_MAX_S", 0.05)
    target, address = pair.add_cut_target(Manner.REFUSE, STREAM_HEAD, HANG)
    reading = gevent.spawn(list, pair.create_engine(address).generate(make_request()))
    with gevent.Timeout(5.0):
        while not target.requests:
            gevent.sleep(0.01)
    pair.near._peers.stop(0.0)  # type: ignore[attr-defined]
    assert target.closed_by_peer.wait(5.0)
    with pytest.raises(TargetLostError):
        reading.get(timeout=5.0)


def test_a_target_that_no_peer_reaches_is_not_reached(pair: Pair) -> None:
    target, address = pair.add_cut_target(Manner.REFUSE, *PIECES)
    target.stop()
    with pytest.raises(TargetNotReachedError) as caught, gevent.Timeout(5.0):
        list(pair.create_engine(address).generate(make_request()))
    assert caught.value.refused
    assert pair.near.describe_state()["relayed"] == []


def test_a_leaving_instance_opens_no_tunnel(pair: Pair) -> None:
    _, address = pair.add_cut_target(Manner.REFUSE, *PIECES)
    pair.far._core.draining = True
    with pytest.raises(TargetNotReachedError):
        list(pair.create_engine(address).generate(make_request()))
