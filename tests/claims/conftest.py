from __future__ import annotations

import random
from types import SimpleNamespace

import gevent
import pytest

from clementinepin.claims._store import ClaimComponent
from clementinepin.helpers.clock import ManualClock
from clementinepin.helpers.metrics import create_metrics
from clementinepin.peers.exceptions import PeerUnavailableError
from standins.key_value import KeyValueState, MemoryKeyValueStore
from tests.virtual_time import VirtualTime


class FakePeers:
    """One instance's view of the network.

    Each call takes the next item of ``losses``: ``before`` loses the request, ``after`` the reply.
    """

    def __init__(self, name, network):
        self.name = name
        self.network = network
        self.handlers = {}

    def register(self, method, handler):
        self.handlers[method] = handler

    def list_live(self):
        return sorted(self.network.view.get(self.name, self.network.live))

    def call(self, instance, method, message, *, deadline):
        loss = self.network.losses.pop(0) if self.network.losses else ""
        if loss == "before" or instance not in self.network.live:
            raise PeerUnavailableError(instance)
        reply = self.network.peers[instance].handlers[method](self.name, dict(message))
        if loss == "after":
            raise PeerUnavailableError(instance)
        return reply


class Network:
    """Claim components of several instances that share a key-value store, in virtual time."""

    def __init__(self, names, seed=7):
        self.clock = ManualClock()
        self.time = VirtualTime(self.clock)
        self.state = KeyValueState()
        self.live = set(names)
        self.view = {}
        self.losses = []
        self.peers = {n: FakePeers(n, self) for n in names}
        self.stores = {n: MemoryKeyValueStore(self.clock, self.state) for n in names}
        self.claims = {n: self._create(n, seed + i) for i, n in enumerate(names)}

    def _create(self, name, seed):
        core = SimpleNamespace(
            clock=self.clock,
            random=random.Random(seed),
            metrics=create_metrics(None, 0, ""),
            settings=SimpleNamespace(instance=SimpleNamespace(name=name)),
        )
        return ClaimComponent(core, self.stores[name], self.peers[name])


@pytest.fixture
def make_network(monkeypatch):
    def make(*names):
        network = Network(names)
        monkeypatch.setattr(gevent, "sleep", network.time.sleep)
        return network

    return make
