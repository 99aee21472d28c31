"""Tests that an odd message ends at most its connection, and that links are served behind it."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

import gevent
import msgspec
import pytest
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.helpers.clock import create_system_clock
from clementinepin.infrastructure.exceptions import (
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)
from clementinepin.serving import _dispatcher_link
from clementinepin.serving import _messages as messages
from clementinepin.serving._dispatcher import read_outcome
from clementinepin.serving._dispatcher_link import DispatcherLink
from clementinepin.serving._feed import FeedClient
from clementinepin.serving._fleet import MemberView
from clementinepin.serving._links import InstanceLinks, LinkServer
from clementinepin.serving._outages import StoreOutages
from clementinepin.serving._tunnels import TunnelChannel
from clementinepin.serving.models import Member
from clementinepin.serving.store import StoreFollower
from clementinepin.systems.dispatch_actions import RunOutcome
from clementinepin.targets.exceptions import RelayLostError
from tests.serving.memory_store import MemoryStore
from tests.serving.odd_entries import DEPTH
from tests.serving.test_relay import Pair
from tests.serving.test_slots import FakeFleet, find_port

NESTED = b"\x91" * DEPTH + b"\xc0"
ODD_FRAMES = {
    "nested lists": NESTED,
    "nested lists in a field": b"\x93\x0a\xa1x" + NESTED,
    "nested lists in a field of a later release": b"\x92\x06" + NESTED,
    "nested maps": b"\x81\xa1a" * DEPTH,
    "an unknown tag": msgspec.msgpack.encode([99, 1]),
    "a number of 64 bits": msgspec.msgpack.encode([10, "targets", [], 2**64 - 1]),
    "text that is not UTF-8": b"\x92\x00\xa2\xff\xff",
    "an empty frame": b"",
    "no MessagePack": b"\xc1",
    "a list that is not there": b"\xdd\xff\xff\xff\xff",
}
ODD = pytest.mark.parametrize("frame", ODD_FRAMES.values(), ids=ODD_FRAMES.keys())


def pack(data: bytes) -> bytes:
    return messages.HEADER.pack(len(data)) + data


@ODD
def test_an_odd_frame_raises_the_documented_error(frame: bytes) -> None:
    """Guards against errors that no reader of a connection between instances catches."""
    try:
        received = messages.FrameReader().feed(pack(frame))
    except ValueError:
        return
    for message in received:
        messages.pack_message(message)


@settings(derandomize=True, max_examples=500)
@given(data=st.binary(max_size=60), is_framed=st.booleans())
def test_any_bytes_give_messages_or_the_documented_error(data: bytes, is_framed: bool) -> None:
    with contextlib.suppress(ValueError):
        messages.FrameReader().feed(pack(data) if is_framed else data)


@pytest.fixture
def server() -> Iterator[tuple[LinkServer, int]]:
    port = find_port()
    server = LinkServer(("127.0.0.1", port))
    server.start()
    yield server, port
    server.stop()


def connect(port: int) -> Any:
    sock = socket.create_connection(("127.0.0.1", port))
    sock.settimeout(5.0)
    return sock


@ODD
def test_links_are_served_behind_an_odd_frame(server: tuple[LinkServer, int], frame: bytes) -> None:
    links, port = server
    closed: list[str] = []
    links.handle_close(closed.append)
    links.handle(messages.Hello, lambda link, _hello: link.send(messages.SlotQueued()))
    with connect(port) as odd, connect(port) as sound:
        odd.sendall(messages.pack_message(messages.Hello("odd", [])))
        gevent.sleep(0.01)
        odd.sendall(pack(frame))
        odd.shutdown(socket.SHUT_WR)
        while odd.recv(65_536):
            pass
        sound.sendall(messages.pack_message(messages.Hello("sound", [])))
        assert messages.FrameReader().feed(sound.recv(65_536)) == [messages.SlotQueued()]
    gevent.sleep(0.01)
    assert closed[:1] == ["odd"]


def test_a_handler_that_fails_leaves_the_message_to_the_others(
    server: tuple[LinkServer, int],
) -> None:
    """Guards against one message, or one listener, that stops the link of an instance."""
    links, port = server
    seen: list[str] = []

    def fail(link: Any, message: Any) -> None:
        raise KeyError("odd")

    def fail_close(_name: str) -> None:
        raise RecursionError("odd")

    links.handle(messages.Hello, fail)
    links.handle(messages.Hello, lambda link, hello: seen.append(hello.name))
    links.handle_close(fail_close)
    links.handle_close(lambda name: seen.append(f"{name} closed"))
    with connect(port) as sock:
        for _ in range(2):
            sock.sendall(messages.pack_message(messages.Hello("f1", [])))
            gevent.sleep(0.01)
    gevent.sleep(0.01)
    assert seen == ["f1", "f1", "f1 closed"]


class OddDispatcher:
    """Sends given bytes behind the first message to each connection."""

    def __init__(self, data: bytes) -> None:
        self.port = find_port()
        self.links = LinkServer(("127.0.0.1", self.port))
        self.hellos = 0
        self._data = data
        self.links.handle(messages.Hello, self._handle_hello)
        self.links.start()

    def _handle_hello(self, link: Any, _hello: messages.Hello) -> None:
        self.hellos += 1
        link._sock.sendall(messages.pack_message(messages.SlotQueued()) + self._data)


@pytest.mark.parametrize("data", [pack(b"\x92\x06" + NESTED), pack(b"\xc1")])
def test_an_instance_connects_again_behind_an_odd_frame_of_the_dispatcher(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an instance without a dispatcher for the rest of its life."""
    monkeypatch.setattr(_dispatcher_link, "SKIP_UNREACHED_S", 0.02)
    monkeypatch.setattr(_dispatcher_link, "RECONNECT_S", 0.01)
    dispatcher = OddDispatcher(data)
    fleet: Any = FakeFleet(dispatcher.port, 1)
    link = DispatcherLink(
        fleet, create_system_clock(), lambda: messages.Hello("f1", []), lambda _message: None
    )
    link.start()
    with gevent.Timeout(5.0):
        while dispatcher.hellos < 3:
            gevent.sleep(0.01)
    link.stop()
    dispatcher.links.stop()


def test_a_message_that_can_not_be_handled_leaves_the_link_to_the_dispatcher() -> None:
    """Guards against a feed of a range that this build doesn't know, which ended the link."""
    data = messages.pack_message(messages.FeedChange("unknown", "k", b"v", 1))
    rows = messages.pack_message(messages.FeedRows("unknown", [], 1))
    dispatcher = OddDispatcher(data + rows + messages.pack_message(messages.PreemptSlot(7)))
    fleet: Any = FakeFleet(dispatcher.port, 1)
    seen: list[Any] = []
    feed = FeedClient("f1", {})

    def handle(message: Any) -> None:
        if isinstance(message, messages.FeedRows | messages.FeedChange):
            feed.receive(message)
        elif isinstance(message, messages.SlotQueued):
            raise RecursionError("odd")
        else:
            seen.append(message)

    clock = create_system_clock()
    link = DispatcherLink(fleet, clock, lambda: messages.Hello("f1", []), handle)
    link.start()
    with gevent.Timeout(5.0):
        while not seen:
            gevent.sleep(0.01)
    link.stop()
    dispatcher.links.stop()
    assert seen == [messages.PreemptSlot(7)]
    assert dispatcher.hellos == 1


@ODD
def test_an_odd_reply_of_a_relay_is_a_typed_error(
    frame: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against followers that end at what another instance replies."""

    def call(message: Any, reply: Any) -> None:
        pair = Pair()
        pair.relay.stop()
        pair.direct_store.down = True
        monkeypatch.setattr(pair.links, "send_request", lambda *_args: reply)
        pair.relayed._run(lambda: pair.direct_store.get("k"), message, lambda result: result)

    write = messages.StoreCall(0, "write", change=b"")
    for code in ("", VersionConflictError.code):
        with pytest.raises(PlatformUnavailableError):
            call(messages.StoreCall(0, "get", key="k"), messages.StoreReply(1, code, frame))
        with pytest.raises(ReplyLostError):
            call(write, messages.StoreReply(1, code, frame))
    with pytest.raises(PlatformUnavailableError):
        call(messages.StoreCall(0, "get", key="k"), messages.SlotQueued())


def test_a_relay_answers_a_change_that_can_not_be_decoded() -> None:
    """Guards against a caller that waits for its timeout, and a greenlet that ends."""
    pair = Pair()
    member = pair.relayed.list_relays()[0]
    for change in (NESTED, b"\xc1", b""):
        call = messages.StoreCall(0, "write", change=change)
        reply = InstanceLinks(create_system_clock()).send_request(member, call, 2.0)
        assert reply.code == PlatformUnavailableError.code
    assert not pair.store.rows
    pair.relay.stop()


@ODD
def test_an_odd_frame_in_a_tunnel_is_a_lost_relay(frame: bytes) -> None:
    near, far = socket.socketpair()
    with near, far:
        channel = TunnelChannel(near, messages.FrameReader())
        far.sendall(pack(frame))
        far.close()
        with pytest.raises(RelayLostError):
            channel.recv(65_536)


def test_an_instance_with_a_port_that_is_none_is_not_known() -> None:
    """Guards against links that fail at an address with another error than OSError."""
    clock = create_system_clock()
    view = MemberView("cp/nodes/", "n9", StoreOutages(clock), lambda: None)
    follower = StoreFollower(MemoryStore(), "cp/nodes/", view, clock)
    member = Member("n1", True, "127.0.0.1", 1, "", "a", "r", False)
    odd = [msgspec.msgpack.encode(member._replace(link_port=port)) for port in (-1, 65_536, 2**63)]
    for version, value in enumerate([*odd, NESTED, b"\xc1", b""], 1):
        follower.receive_change("cp/nodes/n1", value, version)
    assert not view.rows
    follower.receive_change("cp/nodes/n1", msgspec.msgpack.encode(member), 9)
    assert set(view.rows) == {"n1"}


@pytest.mark.parametrize("outcome", ["served", "of a later release", "", "\0"])
def test_any_outcome_of_a_run_frees_its_slot(outcome: str) -> None:
    """Guards against slots that stay taken for an outcome that this build doesn't know."""
    expected = RunOutcome.SERVED if outcome == "served" else RunOutcome.CANCELLED
    assert read_outcome(outcome) is expected
