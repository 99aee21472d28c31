"""Tests of the feed: a fed instance gets the store's rows, and watches the store when it ends."""

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
    """A listener that stores the rows it receives."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}

    def replace_rows(self, rows: list[KeyValue]) -> None:
        self.rows = {row.key: row.value for row in rows}

    def apply_change(self, key: str, value: bytes | None, version: int) -> None:
        self.rows.pop(key, None)
        if value is not None:
            self.rows[key] = value


class Source(LinkServer):
    """A link server that passes messages directly to its clients."""

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0))
        self.clients: list[FeedClient] = []

    def broadcast(self, message: messages.Message) -> None:
        for client in self.clients:
            client.receive(message)  # type: ignore[arg-type]

    def connect(self, client: FeedClient, server: FeedServer) -> None:
        class FakeLink:
            send = staticmethod(client.receive)

        client.open("d1")
        server._handle_hello(FakeLink(), messages.Hello("f1", []))  # type: ignore[arg-type]
        self.clients.append(client)


class Net:
    """A source follower on a store, its feed, and a follower that is fed."""

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

    def send_heartbeat(self) -> None:
        self.links.broadcast(self.server._make_heartbeat())


@pytest.fixture
def net():
    net = Net()
    yield net
    gevent.killall(net.greenlets)


def test_a_fed_instance_receives_rows_and_changes_without_a_store_call(net):
    net.write("s/1", b"one")
    net.links.connect(net.client, net.server)
    reads = net.store.reads
    net.write("s/2", b"two")
    net.store.remove("s/1")
    net.write("s/3", b"three")
    assert net.fed_table.rows == net.source_table.rows == {"s/2": b"two", "s/3": b"three"}
    assert net.fed.is_fed()
    assert net.store.reads == reads


def test_a_feed_without_heartbeats_is_not_trusted(net):
    net.links.connect(net.client, net.server)
    assert net.fed.is_fed()
    net.clock.advance(FEED_TRUST_S)
    assert not net.fed.is_fed()
    net.send_heartbeat()
    assert net.fed.is_fed()


def test_a_source_that_lost_the_store_is_not_trusted(net):
    net.links.connect(net.client, net.server)
    net.store.down = True
    net.store.wake()
    gevent.sleep(0.01)
    net.clock.advance(FEED_TRUST_S)
    net.send_heartbeat()
    assert not net.fed.is_fed()


def test_a_source_that_is_fed_itself_is_not_trusted(net):
    """Two instances that feed each other would never read the store again."""
    net.source.trust_feed_for(60.0)
    net.links.connect(net.client, net.server)
    assert not net.fed.is_fed()


def test_an_instance_never_feeds_itself(net):
    net.client.open("f1")
    net.client.receive(messages.FeedRows("targets", [("s/1", b"x", 5)], 5))
    net.client.receive(messages.FeedHeartbeat(True))
    assert not net.fed.is_fed()


def test_a_follower_waits_for_a_new_source_before_it_watches_the_store(net):
    net.links.connect(net.client, net.server)
    net.client.close()
    assert net.fed.is_fed()
    net.clock.advance(HAND_OVER_S)
    assert not net.fed.is_fed()


def test_an_older_version_never_replaces_a_newer_one(net):
    net.fed.receive_change("s/1", b"new", 9)
    net.fed.receive_change("s/1", b"old", 4)
    net.fed.receive_rows([KeyValue("s/1", b"old", 4)], 5)
    assert net.fed_table.rows == {"s/1": b"new"}
    net.fed.receive_change("s/1", None, 12)
    net.fed.receive_rows([KeyValue("s/1", b"new", 9)], 10)
    assert net.fed_table.rows == {}


def test_rows_missing_in_a_newer_list_are_removed(net):
    net.fed.receive_rows([KeyValue("s/1", b"a", 3), KeyValue("s/2", b"b", 4)], 4)
    net.fed.receive_rows([KeyValue("s/2", b"b", 4)], 8)
    assert net.fed_table.rows == {"s/2": b"b"}


def test_a_row_with_new_keep_alive_data_only_is_not_fed(net):
    """Guards against useless feed messages: each repeated list was sent to all 300 instances.

    Sweep of kirkvoice-serve-grown.
    """
    changes = []
    follower = StoreFollower(
        net.store, "s/", Table(), net.clock, is_same=lambda old, new: old[:1] == new[:1]
    )
    follower.subscribe(lambda row, gone: changes.append((row.value, gone)))
    follower.receive_rows([KeyValue("s/1", b"a1", 1)], 1)
    follower.receive_rows([KeyValue("s/1", b"a2", 2)], 2)
    follower.receive_change("s/1", b"a3", 3)
    follower.receive_change("s/1", b"b1", 4)
    assert changes == [(b"a1", False), (b"b1", False)]
