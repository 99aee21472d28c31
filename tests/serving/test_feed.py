"""An instance that is fed by the dispatcher knows what the store says, and watches again alone."""

from __future__ import annotations

import gevent
import pytest

from clementinepin.helpers.clock import ManualClock
from clementinepin.infrastructure import Change, KeyValue
from clementinepin.serving import _messages as messages
from clementinepin.serving._feed import FEED_TRUST_S, HAND_OVER_S, FeedClient, FeedServer
from clementinepin.serving._links import LinkServer
from clementinepin.serving.store import StoreFollower
from tests.serving.memory_store import MemoryStore


class Table:
    """A listener that keeps what it was told."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}

    def replace_rows(self, rows: list[KeyValue]) -> None:
        self.rows = {row.key: row.value for row in rows}

    def apply_change(self, key: str, value: bytes | None, version: int) -> None:
        self.rows.pop(key, None)
        if value is not None:
            self.rows[key] = value


class Source(LinkServer):
    """A link server that hands messages straight to one client."""

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0))
        self.clients: list[FeedClient] = []

    def broadcast(self, message: messages.Message) -> None:
        for client in self.clients:
            client.take(message)  # type: ignore[arg-type]

    def greet(self, client: FeedClient, server: FeedServer) -> None:
        class Line:
            send = staticmethod(client.take)

        client.open("d1")
        server._greet(Line(), messages.Hello("f1", []))  # type: ignore[arg-type]
        self.clients.append(client)


class Net:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore()
        self.source_table, self.fed_table = Table(), Table()
        self.source = StoreFollower(self.store, "s/", self.source_table, self.clock)
        self.fed = StoreFollower(self.store, "s/", self.fed_table, self.clock)
        self.links = Source()
        self.server = FeedServer(self.links, {"targets": self.source})
        self.client = FeedClient("f1", {"targets": self.fed})
        self.greenlets = [gevent.spawn(self.source.run)]
        gevent.sleep(0.01)

    def write(self, key: str, value: bytes) -> None:
        self.store.apply(Change({}, {key: value}))
        gevent.sleep(0.01)

    def beat(self) -> None:
        self.links.broadcast(self.server._make_beat())


@pytest.fixture
def net():
    net = Net()
    yield net
    gevent.killall(net.greenlets)


def test_a_fed_instance_learns_rows_and_changes_without_a_call(net):
    net.write("s/1", b"one")
    net.links.greet(net.client, net.server)
    reads = net.store.reads
    net.write("s/2", b"two")
    net.store.remove("s/1")
    net.write("s/3", b"three")
    assert net.fed_table.rows == net.source_table.rows == {"s/2": b"two", "s/3": b"three"}
    assert net.fed.is_fed()
    assert net.store.reads == reads


def test_trust_ends_without_beats(net):
    net.links.greet(net.client, net.server)
    assert net.fed.is_fed()
    net.clock.advance(FEED_TRUST_S)
    assert not net.fed.is_fed()
    net.beat()
    assert net.fed.is_fed()


def test_a_source_that_lost_the_store_is_not_trusted(net):
    net.links.greet(net.client, net.server)
    net.store.down = True
    net.store.wake()
    gevent.sleep(0.01)
    net.clock.advance(FEED_TRUST_S)
    net.beat()
    assert not net.fed.is_fed()


def test_a_source_that_is_fed_itself_is_not_trusted(net):
    """Two instances that feed each other would never hear of the store again."""
    net.source.trust_feed(60.0)
    net.links.greet(net.client, net.server)
    assert not net.fed.is_fed()


def test_an_instance_never_feeds_itself(net):
    net.client.open("f1")
    net.client.take(messages.FeedRows("targets", [("s/1", b"x", 5)], 5))
    net.client.take(messages.FeedBeat(True))
    assert not net.fed.is_fed()


def test_a_lost_source_leaves_a_moment_for_its_successor(net):
    net.links.greet(net.client, net.server)
    net.client.close()
    assert net.fed.is_fed()
    net.clock.advance(HAND_OVER_S)
    assert not net.fed.is_fed()


def test_an_older_word_never_replaces_a_newer_one(net):
    net.fed.take_change("s/1", b"new", 9)
    net.fed.take_change("s/1", b"old", 4)
    net.fed.take_rows([KeyValue("s/1", b"old", 4)], 5)
    assert net.fed_table.rows == {"s/1": b"new"}
    net.fed.take_change("s/1", None, 12)
    net.fed.take_rows([KeyValue("s/1", b"new", 9)], 10)
    assert net.fed_table.rows == {}


def test_rows_missing_in_a_newer_list_are_gone(net):
    net.fed.take_rows([KeyValue("s/1", b"a", 3), KeyValue("s/2", b"b", 4)], 4)
    net.fed.take_rows([KeyValue("s/2", b"b", 4)], 8)
    assert net.fed_table.rows == {"s/2": b"b"}


def test_a_row_that_only_shows_life_is_not_passed_on(net):
    """Sweep of kirkvoice-serve-grown at 300 instances: each list anew went to all of them."""
    passed = []
    follower = StoreFollower(
        net.store, "s/", Table(), net.clock, is_same=lambda old, new: old[:1] == new[:1]
    )
    follower.subscribe(lambda row, gone: passed.append((row.value, gone)))
    follower.take_rows([KeyValue("s/1", b"a1", 1)], 1)
    follower.take_rows([KeyValue("s/1", b"a2", 2)], 2)
    follower.take_change("s/1", b"a3", 3)
    follower.take_change("s/1", b"b1", 4)
    assert passed == [(b"a1", False), (b"b1", False)]
