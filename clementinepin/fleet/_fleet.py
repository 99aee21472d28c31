"""The component ``fleet``: configuration, instance list, stewards and draining."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import gevent
from loguru import logger

from clementinepin.core import DrainStarted, spawn_loop
from clementinepin.fleet import _messages as messages
from clementinepin.fleet._collector import COLLECT_PERIOD_S, Collector
from clementinepin.fleet._configuration import WATCH_PERIOD_S, ConfigurationService
from clementinepin.fleet._instances import InstanceService
from clementinepin.fleet._stewards import STEWARD_PERIOD_S, EngineFactory, StewardService
from clementinepin.fleet.models import ApplyResult, EntryAdvice, Fleet
from clementinepin.infrastructure import InstanceList, KeyValueStore, ListedInstance, WeightStore
from clementinepin.peers import PeerNetwork
from clementinepin.systems.advice import choose_entries
from clementinepin.systems.drain import DrainPlan, limit_advice, plan_drain

if TYPE_CHECKING:
    from clementinepin.core import Core

LOG_PREFIX = "fleet:"


class FleetComponent:
    """Fleet and Component of one instance: connects the services behind its fleet-wide roles."""

    name = "fleet"

    def __init__(
        self,
        core: Core,
        key_value: KeyValueStore,
        peers: PeerNetwork,
        instance_list: InstanceList,
        weight_store: WeightStore,
        create_engine: EngineFactory,
    ) -> None:
        self._core = core
        self._peers = peers
        self._drain_plan: DrainPlan | None = None
        self._greenlets: list[gevent.Greenlet] = []
        self.configuration = ConfigurationService(core, key_value, peers)
        self.collector = Collector(core, key_value, peers)
        self.instances = InstanceService(core, instance_list, peers)
        self.stewards = StewardService(core, key_value, peers, weight_store, create_engine)
        peers.register(messages.METHOD_LEAVING, self._handle_leaving)
        core.subscribe(DrainStarted, self._start_drain)

    def start(self) -> None:
        """Start the loops that read the instance list, watch, collect and run stewards."""
        self._greenlets = [
            gevent.spawn(self.instances.run),
            spawn_loop(self.configuration.run_watch, WATCH_PERIOD_S, LOG_PREFIX),
            spawn_loop(self.collector.run, COLLECT_PERIOD_S, LOG_PREFIX),
            spawn_loop(self.stewards.run_period, STEWARD_PERIOD_S, LOG_PREFIX),
        ]

    def stop(self, deadline: float) -> None:
        """Stop the loops, and release the leases whose rounds end before the monotonic deadline."""
        gevent.killall(self._greenlets)
        self.stewards.hand_over(deadline)

    def describe_state(self) -> dict[str, Any]:
        """Return the revision in force, the instances, the held leases and the drain plan."""
        return {
            "revision": self.configuration.revision,
            "instances": [row._asdict() for row in self.instances.list_rows()],
            "stewards": self.stewards.describe_state(),
            "drain": self._drain_plan._asdict() if self._drain_plan else None,
        }

    def apply(self, files: Mapping[str, bytes], *, base: int | None) -> ApplyResult:
        """Accept a complete file set as revision ``base`` + 1 (None: the newest + 1)."""
        return self.configuration.apply(files, base)

    def fetch_revisions_in_force(self) -> dict[str, int]:
        """Return the revision in force by instance name, for the instances that replied."""
        return self.configuration.fetch_revisions_in_force()

    def advise_entries(self) -> EntryAdvice:
        """Return live entries, the nearest first."""
        own = self._core.settings.instance
        members = self._peers.list_members()
        entries = choose_entries(members, own.data_centre, own.region, self._core.random)
        wall = self._core.clock.wall()
        return EntryAdvice(entries, limit_advice(wall, self._core.settings.limits.advice_s))

    def list_instances(self) -> list[ListedInstance]:
        """Return the instances known from membership and the targets known from the list."""
        members = self._peers.list_members()
        names = {row.name for row in members}
        targets = [
            row
            for row in self.instances.list_rows()
            if row.service != "clementinepin" and row.name not in names
        ]
        return members + targets

    def list_stewards(self) -> dict[str, str]:
        """Return the name of the instance that is steward of each service, by service."""
        return self.stewards.list_holders()

    def _start_drain(self, event: DrainStarted) -> None:
        now = self._core.clock.monotonic()
        own = self._core.settings.instance.name
        self._drain_plan = plan_drain(now, event.deadline, self._core.settings.limits.advice_s)
        self._peers.mark_leaving(own)
        self._peers.broadcast(messages.METHOD_LEAVING, messages.LeavingMessage(name=own))
        gevent.spawn(self.stewards.hand_over, event.deadline)
        logger.info("{} Draining, other instances are informed.", LOG_PREFIX)

    def _handle_leaving(self, sender: str, raw: dict[str, Any]) -> dict[str, Any]:
        message = messages.read_message(raw, messages.LeavingMessage)
        self._peers.mark_leaving(message["name"])
        return {}


def create_fleet(
    core: Core,
    key_value: KeyValueStore,
    peers: PeerNetwork,
    instance_list: InstanceList,
    weight_store: WeightStore,
    create_engine: EngineFactory,
) -> Fleet:
    """Return the component ``fleet``, registered with the core."""
    fleet = FleetComponent(core, key_value, peers, instance_list, weight_store, create_engine)
    core.register(fleet)
    return fleet
