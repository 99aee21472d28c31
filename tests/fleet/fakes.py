"""Fakes of what the fleet component uses, in one process and in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any

from clementinepin.core import Core
from clementinepin.exceptions import ClementinepinError
from clementinepin.fleet._fleet import FleetComponent
from clementinepin.helpers.clock import ManualClock
from clementinepin.helpers.metrics import create_metrics
from clementinepin.infrastructure import ListedInstance
from clementinepin.peers import PeerRefusedError, PeerUnavailableError
from clementinepin.targets import LoadReport, TargetAddress
from clementinepin.targets.exceptions import OrderRefusedError, TargetNotReachedError
from standins.instance_list import LaggingTable, MemoryInstanceList
from standins.key_value import KeyValueState, MemoryKeyValueStore
from standins.weight_store import MemoryWeightStore
from tests.peers.conftest import create_settings

# The wait at this rate is too small to change the clock's floating-point value.
LOADS_UNLIMITED_PER_S = 1e12


class Switchboard:
    """Connects fake networks; ``link`` returns whether a message passes."""

    def __init__(self) -> None:
        self.networks: dict[str, FakePeerNetwork] = {}
        self.link: Callable[[str, str], bool] = lambda _sender, _receiver: True


class FakePeerNetwork:
    """Calls handlers of other instances directly."""

    def __init__(self, row: ListedInstance, switchboard: Switchboard) -> None:
        self.row = row
        self.board = switchboard
        self.leaving: set[str] = set()
        self.handlers: dict[str, Callable[[str, dict[str, Any]], Mapping[str, Any]]] = {}
        self.attached: dict[str, tuple[Any, Any]] = {}
        switchboard.networks[row.name] = self

    def register(self, method, handler) -> None:
        self.handlers[method] = handler

    def call(self, instance, method, message, *, deadline) -> dict[str, Any]:
        other = self.board.networks.get(instance)
        if other is None or not self.board.link(self.row.name, instance):
            raise PeerUnavailableError(instance)
        try:
            return dict(other.handlers[method](self.row.name, dict(message)))
        except PeerUnavailableError:
            raise
        except ClementinepinError as err:
            raise PeerRefusedError(str(err), err.code) from err

    def list_live(self) -> list[str]:
        return [row.name for row in self.list_members() if row.state == "live"]

    def list_members(self) -> list[ListedInstance]:
        reached = (
            network.row
            for name, network in sorted(self.board.networks.items())
            if name == self.row.name or self.board.link(self.row.name, name)
        )
        return [
            row._replace(state="leaving") if row.name in self.leaving else row for row in reached
        ]

    def mark_leaving(self, instance: str) -> None:
        self.leaving.add(instance)

    def attach(self, topic, provide, receive) -> None:
        self.attached[topic] = (provide, receive)

    def broadcast(self, method, message) -> None:
        for name in sorted(self.board.networks):
            if name != self.row.name and self.board.link(self.row.name, name):
                self.board.networks[name].handlers[method](self.row.name, dict(message))

    def gather(self, method, message, *, deadline) -> dict[str, dict[str, Any]]:
        return {
            name: self.call(name, method, message, deadline=deadline) for name in self.list_live()
        }

    def probe(self, peer: str) -> None:
        """Exchange the attached messages with a peer, as a membership probe does."""
        other = self.board.networks[peer]
        if not self.board.link(self.row.name, peer):
            return
        for topic, (provide, receive) in self.attached.items():
            other.attached[topic][1](self.row.name, dict(provide()))
            receive(peer, dict(other.attached[topic][0]()))


class FakeEngine:
    """An engine that carries out orders; with ``checks`` it refuses older fencing numbers."""

    def __init__(self, clock: ManualClock, *, checks: bool = True) -> None:
        self.clock = clock
        self.checks = checks
        self.up = True
        self.models: dict[str, str] = {}
        self.adapters: dict[str, str] = {}
        self.role = "serve"
        self.fencing_number = 0
        self.orders: list[tuple[str, str, str, int]] = []

    def fetch_load(self) -> LoadReport:
        if not self.up:
            raise TargetNotReachedError
        models = tuple(f"{name}:{version}" for name, version in sorted(self.models.items()))
        adapters = tuple(f"{name}:{version}" for name, version in sorted(self.adapters.items()))
        return LoadReport(
            0, 0, 0.0, models, adapters, self.role, self.fencing_number, self.clock.monotonic()
        )

    def load_model(self, model, version, weights, fencing_number) -> None:
        self._accept("load_model", model, version, fencing_number)
        self.models[model] = version

    def load_adapter(self, adapter, version, weights, fencing_number) -> None:
        self._accept("load_adapter", adapter, version, fencing_number)
        self.adapters[adapter] = version

    def change_role(self, role, fencing_number) -> None:
        self._accept("change_role", role, "", fencing_number)
        self.role = role

    def _accept(self, kind: str, name: str, version: str, number: int) -> None:
        if not self.up:
            raise TargetNotReachedError
        if self.checks and number < self.fencing_number:
            raise OrderRefusedError
        self.fencing_number = max(self.fencing_number, number)
        self.orders.append((kind, name, version, number))


class FakeFleet:
    """Instances that share one key-value state, one instance list and some engines."""

    def __init__(
        self,
        count: int = 3,
        engines: int = 0,
        *,
        checks: bool = True,
        loads_per_s: float = LOADS_UNLIMITED_PER_S,
    ) -> None:
        self.weight_store = MemoryWeightStore(clock := ManualClock(), loads_per_s)
        self.clock = clock
        self.state = KeyValueState()
        self.board = Switchboard()
        self.table = LaggingTable(self.clock)
        self.engines = {f"w{n}": FakeEngine(self.clock, checks=checks) for n in range(engines)}
        self.stores: dict[str, MemoryKeyValueStore] = {}
        self.cores: dict[str, Core] = {}
        self.fleets: dict[str, FleetComponent] = {}
        self.rows = [create_row(f"n{n}", data_centre=f"dc{n % 2}") for n in range(count)]
        for row in self.rows:
            self.start(row)

    def start(self, row: ListedInstance) -> FleetComponent:
        """Start a new instance."""
        core = Core(
            create_settings(row.name, port=1),
            self.clock,
            create_metrics(None, 0, ""),
            random.Random(1),
        )
        core.settings = core.settings._replace(
            instance=core.settings.instance._replace(data_centre=row.data_centre)
        )
        self.cores[row.name] = core
        self.stores[row.name] = MemoryKeyValueStore(self.clock, self.state)
        fleet = FleetComponent(
            core,
            self.stores[row.name],
            FakePeerNetwork(row, self.board),
            MemoryInstanceList(self.table),
            self.weight_store,
            self._find_engine,
        )
        self.fleets[row.name] = fleet
        return fleet

    def list_targets(self) -> None:
        """Put all engines on the instance list and let all instances read it."""
        targets = [create_row(name, service="homily-lm", peer_port=0) for name in self.engines]
        self.table.set_rows([*self.rows, *targets])
        self.clock.advance(1.0)
        for fleet in self.fleets.values():
            fleet.instances.read()

    def run_stewards(self, *names: str) -> None:
        """Run one period of the stewards and wait for the rounds that it starts."""
        for name in names or tuple(self.fleets):
            stewards = self.fleets[name].stewards
            stewards.run_period()
            for held in list(stewards._held.values()):
                if held.round is not None:
                    held.round.join()

    def _find_engine(self, address: TargetAddress) -> FakeEngine:
        return self.engines[address.name]


def create_row(
    name: str,
    *,
    service: str = "clementinepin",
    data_centre: str = "dc0",
    state: str = "live",
    peer_port: int = 1,
) -> ListedInstance:
    """Return a row of the instance list."""
    return ListedInstance(name, service, "127.0.0.1", 80, peer_port, data_centre, "r1", state)


def create_files(
    version: str = "1", *, workers_min: int = 1, checks: bool = True
) -> dict[str, bytes]:
    """Return a small file set; ``version`` is the version of its model."""
    text = f"""
version = 1
[services.homily-lm]
kind = "engine"
checks_fencing = {str(checks).lower()}
[models.homily]
service = "homily-lm"
version = "{version}"
weights = "/homily/{version}"
workers_min = {workers_min}
[adapters.tags]
model = "homily"
version = "1"
weights = "/tags/1"
"""
    return {"fleet.toml": text.encode()}
