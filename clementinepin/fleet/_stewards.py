"""Stewards of services.

The steward of a service is the instance that holds the service's lease. In rounds it compares
the load reports of the service's engines with the configuration, and sends orders to engines
that differ from it. Each order carries the lease's fencing number, by which engines refuse
orders of an earlier steward.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import gevent
from gevent.pool import Pool
from loguru import logger

from clementinepin.config import ServiceSpec
from clementinepin.const import InstanceState
from clementinepin.core import ConfigurationChanged, InstancesChanged
from clementinepin.exceptions import ClementinepinError
from clementinepin.fleet._leases import UNREACHABLE_ERRORS, LeaseKeeper
from clementinepin.helpers.rendezvous import rank_owners
from clementinepin.infrastructure import KeyValueStore, ListedInstance, WeightStore
from clementinepin.infrastructure.exceptions import PlatformUnavailableError
from clementinepin.peers import PeerNetwork
from clementinepin.systems import stewardship
from clementinepin.tables.stewardship import (
    OrderKind,
    PendingOrder,
    StewardLease,
    TargetView,
)
from clementinepin.targets import Engine, LoadReport, TargetAddress
from clementinepin.targets.exceptions import OrderRefusedError, TargetNotReachedError

if TYPE_CHECKING:
    from clementinepin.core import Core

LOG_PREFIX = "stewards:"
STEWARD_PERIOD_S = 0.5
IDLE_ROUND_PERIOD_S = 5.0
CANDIDATES_MAX = 2
REPORTS_PER_ROUND = 10
HAND_OVER_POLL_PERIOD_S = 0.05

EngineFactory = Callable[[TargetAddress], Engine]


class _StewardState:
    """State of one service whose steward is this instance.

    ``reports`` and ``pending`` are by target name. ``load_allowed_at`` has the earliest time of
    the next load by path of weights, in wall-clock seconds; ``next_round_at`` is in monotonic
    seconds.
    """

    def __init__(self, lease: StewardLease) -> None:
        self.lease = lease
        self.reports: dict[str, LoadReport] = {}
        self.pending: dict[str, PendingOrder] = {}
        self.held_back = 0
        self.report_offset = 0
        self.load_allowed_at: dict[str, float] = {}
        self.next_round_at = 0.0
        self.round: gevent.Greenlet | None = None

    def is_busy(self) -> bool:
        """Return whether a round is running."""
        return self.round is not None and not self.round.ready()


class StewardService:
    """Acquires leases of services and makes their engines load the configured models."""

    def __init__(
        self,
        core: Core,
        key_value: KeyValueStore,
        peers: PeerNetwork,
        weight_store: WeightStore,
        create_engine: EngineFactory,
    ) -> None:
        self._core = core
        self._peers = peers
        self._weight_store = weight_store
        self._create_engine = create_engine
        self._keeper = LeaseKeeper(key_value, core.clock, core.settings.instance.name)
        self._held: dict[str, _StewardState] = {}
        self._targets: dict[str, list[ListedInstance]] = {}
        self._engines: dict[TargetAddress, Engine] = {}
        core.subscribe(InstancesChanged, self._handle_instances_changed)
        core.subscribe(ConfigurationChanged, self._clear_round_delays)

    def run_period(self) -> None:
        """Acquire, extend and release leases, and start the rounds that are due.

        Does nothing before the first configuration and while this instance drains.
        """
        configuration = self._core.configuration
        if configuration is None or self._core.draining:
            return
        services = {n: s for n, s in configuration.services.items() if s.kind == "engine"}
        for name in [name for name in self._held if name not in services]:
            self._keeper.release(self._held.pop(name).lease.lease_id)
        now = self._core.clock.monotonic()
        for name, service in sorted(services.items()):
            self._keep_or_acquire(name, service)
            held = self._held.get(name)
            if held is not None and not held.is_busy() and now >= held.next_round_at:
                held.round = gevent.spawn(self.run_round, name)

    def run_round(self, service: str) -> None:
        """Read load reports of a service's engines and send the orders that are needed."""
        held = self._held.get(service)
        configuration = self._core.configuration
        if held is None or configuration is None:
            return
        views = self._refresh_views(service, held)
        now = self._core.clock.monotonic()
        held.pending = stewardship.drop_reported(held.pending, views, now)
        desired = stewardship.choose_desired_models(configuration, service)
        plan = stewardship.plan_orders(desired, views, held.pending, now)
        held.held_back = len(plan.held_back)
        # Rounds follow each other quickly only while there is something to change.
        if not plan.orders and not held.pending:
            held.next_round_at = now + IDLE_ROUND_PERIOD_S
        for entry in plan.orders:
            if not self._send(service, held, entry):
                return

    def hand_over(self, deadline: float) -> None:
        """Release all leases, each after its running round has ended.

        A lease whose round is still running at ``deadline`` (monotonic seconds) is left to expire:
        another steward must not start while an order of this one is in flight.
        """
        held_states = list(self._held.values())
        self._held.clear()
        for held in held_states:
            while held.is_busy() and self._core.clock.monotonic() < deadline:
                gevent.sleep(HAND_OVER_POLL_PERIOD_S)
            if not held.is_busy():
                self._keeper.release(held.lease.lease_id)

    def list_holders(self) -> dict[str, str]:
        """Return the steward's instance name by service.

        If the key-value service can't be reached, only services of this instance are listed.
        """
        try:
            return self._keeper.list_holders()
        except UNREACHABLE_ERRORS:
            own = self._core.settings.instance.name
            return dict.fromkeys(sorted(self._held), own)

    def describe_state(self) -> dict[str, Any]:
        """Return the leases held here, with their pending orders, by service."""
        return {
            name: {
                "fencing_number": held.lease.fencing_number,
                "deadline": held.lease.deadline,
                "pending": [entry.order._asdict() for entry in held.pending.values()],
                "held_back": held.held_back,
            }
            for name, held in sorted(self._held.items())
        }

    def _clear_round_delays(self, _event: object) -> None:
        for held in self._held.values():
            held.next_round_at = 0.0

    def _handle_instances_changed(self, event: InstancesChanged) -> None:
        targets: dict[str, list[ListedInstance]] = {}
        for row in event.rows:
            if row.state == InstanceState.LIVE:
                targets.setdefault(row.service, []).append(row)
        self._targets = targets
        addresses = {_create_address(row) for rows in targets.values() for row in rows}
        for address in [address for address in self._engines if address not in addresses]:
            del self._engines[address]
        self._clear_round_delays(event)

    def _keep_or_acquire(self, name: str, service: ServiceSpec) -> None:
        """Extend the lease of a service if it is held here and due, else try to acquire it.

        Only the first CANDIDATES_MAX instances in the service's rendezvous order try.
        """
        held = self._held.get(name)
        if held is None:
            candidates = rank_owners(f"steward/{name}", self._peers.list_live())[:CANDIDATES_MAX]
            if self._core.settings.instance.name not in candidates:
                return
            lease = self._keeper.acquire(name, checks_fencing=service.checks_fencing)
            if lease is not None:
                self._held[name] = _StewardState(lease)
            return
        now = self._core.clock.monotonic()
        if not stewardship.needs_renewal(held.lease, now):
            return
        lease = self._keeper.extend(held.lease)
        if lease is None or self._core.clock.monotonic() >= lease.deadline:
            self._end_stewardship(name, held, "lease lost")
        else:
            held.lease = lease

    def _end_stewardship(self, name: str, held: _StewardState, reason: str) -> None:
        if self._held.get(name) is held:
            del self._held[name]
            logger.info("{} No longer steward of {}: {}.", LOG_PREFIX, name, reason)

    def _refresh_views(self, service: str, held: _StewardState) -> list[TargetView]:
        """Fetch the reports of the next REPORTS_PER_ROUND engines; return views of all engines."""
        rows = self._targets.get(service, [])
        count = min(len(rows), REPORTS_PER_ROUND)
        chosen = [rows[(held.report_offset + index) % len(rows)] for index in range(count)]
        held.report_offset += count
        for row, report in zip(
            chosen, Pool(REPORTS_PER_ROUND).map(self._fetch_report, chosen), strict=True
        ):
            if report is None:
                held.reports.pop(row.name, None)
            else:
                held.reports[row.name] = report
        names = {row.name for row in rows}
        held.reports = {name: r for name, r in held.reports.items() if name in names}
        return [TargetView(row.name, held.reports.get(row.name)) for row in rows]

    def _fetch_report(self, row: ListedInstance) -> LoadReport | None:
        try:
            return self._get_engine(row).fetch_load()
        except ClementinepinError:
            return None
        except Exception as err:
            # The round goes on with the other engines.
            logger.opt(exception=err).error("{} No report of {}.", LOG_PREFIX, row.name)
            return None

    def _get_engine(self, row: ListedInstance) -> Engine:
        address = _create_address(row)
        engine = self._engines.get(address)
        if engine is None:
            engine = self._engines[address] = self._create_engine(address)
        return engine

    def _send(self, service: str, held: _StewardState, entry: PendingOrder) -> bool:
        """Send an order if it is allowed; return whether this instance may send another."""
        order = entry.order
        row = next((r for r in self._targets.get(service, []) if r.name == order.target), None)
        if row is None or not self._may_load(held, order.weights):
            return True
        # Checked last, so that nothing waits between the check of the lease and the order.
        if self._held.get(service) is not held or not stewardship.may_order(
            held.lease, self._core.clock.monotonic()
        ):
            return False
        held.pending[order.target] = entry
        try:
            with gevent.Timeout(stewardship.ORDER_MAX_S, TimeoutError):
                self._call_engine(self._get_engine(row), entry, held.lease.fencing_number)
        except OrderRefusedError:
            self._end_stewardship(service, held, "an engine has seen a newer steward")
            return False
        except TargetNotReachedError:
            held.pending.pop(order.target, None)
        except (ClementinepinError, TimeoutError) as err:
            logger.warning("{} Order to {} was not confirmed: {}.", LOG_PREFIX, order.target, err)
        self._core.metrics.incr("stewards.orders")
        return True

    def _may_load(self, held: _StewardState, weights: str) -> bool:
        """Return whether a load may start now within the rate of the weight store.

        An order without weights is always allowed. False if the store can't be reached.
        """
        if not weights:
            return True
        now = self._core.clock.wall()
        if now < held.load_allowed_at.get(weights, 0.0):
            return False
        try:
            held.load_allowed_at[weights] = self._weight_store.check_rate(weights)
        except PlatformUnavailableError:
            return False
        return held.load_allowed_at[weights] <= self._core.clock.wall()

    def _call_engine(self, engine: Engine, entry: PendingOrder, fencing_number: int) -> None:
        order = entry.order
        logger.info(
            "{} Sending order {} {} to {}.", LOG_PREFIX, order.kind, order.name, order.target
        )
        if order.kind == OrderKind.LOAD_MODEL:
            engine.load_model(order.name, order.version, order.weights, fencing_number)
        elif order.kind == OrderKind.LOAD_ADAPTER:
            engine.load_adapter(order.name, order.version, order.weights, fencing_number)
        else:
            engine.change_role(order.name, fencing_number)


def _create_address(row: ListedInstance) -> TargetAddress:
    return TargetAddress(row.name, row.address, row.port)
