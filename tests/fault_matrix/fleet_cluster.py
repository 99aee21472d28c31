"""Fleet of fake instances and engines with faults, in virtual time."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import gevent

from clementinepin.core import ConfigurationChanged
from clementinepin.fleet import (
    ApplyResult,
    ConfigurationConflictError,
    ConfigurationUnavailableError,
    ConfigurationUnknownError,
)
from clementinepin.fleet._messages import decode_manifest
from clementinepin.fleet._revisions import PREFIX_REVISIONS, format_revision_key
from clementinepin.systems.stewardship import LEASE_TTL_S
from tests.fleet.fakes import FakeEngine, FakeFleet, create_files

PERIOD_S = 2.0
SLOW_S = 1.5
SETTLE_PERIODS = 60


class InstanceLost(gevent.GreenletExit):
    """Ends the code that the lost instance is running."""


class FleetCluster(FakeFleet):
    """Runs instances and records violations of what must hold under every fault.

    ``decreased_revisions`` has the revisions in force that were not higher than the one before.
    ``orders_without_lease`` has the orders whose sender had no valid lease, except those sent
    before a pause, whose fencing numbers are in ``late_numbers``. ``on_revision_write`` runs once,
    before the next write of a revision. ``is_partitioned`` returns whether the link from a sender
    to a receiver is broken.
    """

    def __init__(self, *, checks: bool, engines: int = 3) -> None:
        super().__init__(count=4, engines=engines, checks=checks)
        self.checks = checks
        self.dead: set[str] = set()
        self.paused: set[str] = set()
        self.is_partitioned: Callable[[str, str], bool] = lambda _sender, _receiver: False
        self.accepted: set[tuple[int, str]] = set()
        self.decreased_revisions: list[str] = []
        self.orders_without_lease: list[str] = []
        self.late_numbers: set[int] = set()
        self.on_revision_write: Callable[[], object] | None = None
        self.slow = False
        self.board.link = self._is_connected
        for name, core in self.cores.items():
            core.subscribe(ConfigurationChanged, self._create_recorder(name))
        for store in self.stores.values():
            store.hook = self
        for name, engine in self.engines.items():
            engine._accept = self._create_order_check(name, engine._accept)
        self.list_targets()

    def before(self, call: str, key: str) -> None:
        """Run before each call to the key-value service."""
        if self.slow:
            self.clock.advance(SLOW_S)
        if (
            call == "put"
            and key.startswith(PREFIX_REVISIONS)
            and self.on_revision_write is not None
        ):
            on_revision_write, self.on_revision_write = self.on_revision_write, None
            on_revision_write()

    def after(self, call: str, key: str) -> None:
        """Run after each call to the key-value service has taken effect."""

    def list_running(self) -> list[str]:
        """Return the instances that are neither dead nor paused."""
        return [n for n in self.fleets if n not in self.dead and n not in self.paused]

    def set_outage(self, *, down: bool) -> None:
        """Make the key-value service unavailable or available."""
        for store in self.stores.values():
            store.down = down

    def submit(self, name: str, version: str, base: int | None = None) -> ApplyResult | None:
        """Apply a file set once; return None if it was rejected or its outcome is unknown."""
        try:
            result = self.fleets[name].apply(create_files(version, checks=self.checks), base=base)
        except (
            ConfigurationConflictError,
            ConfigurationUnavailableError,
            ConfigurationUnknownError,
            InstanceLost,
        ):
            return None
        self.accepted.add((result.revision, result.digest))
        return result

    def run(self, periods: int) -> None:
        """Run all running instances for a number of periods."""
        for _ in range(periods):
            for name in self.list_running():
                with contextlib.suppress(InstanceLost):
                    self._run_instance(name)
            self.clock.advance(PERIOD_S)

    def run_during_pause(self, name: str, version: str) -> None:
        """Pause an instance until its leases expire, while the others apply a new version."""
        self.paused.add(name)
        self.clock.advance(LEASE_TTL_S + 1)
        self.submit(self.list_running()[0], version)
        self.run(SETTLE_PERIODS // 2)
        self.paused.discard(name)

    def find_steward(self) -> str | None:
        """Return the first running instance that considers itself a steward, or None."""
        held = (n for n in self.list_running() if self.fleets[n].stewards._held)
        return next(held, None)

    def find_holders(self) -> list[str]:
        """Return the instances that consider themselves lease holders, including paused ones."""
        alive = (name for name in self.fleets if name not in self.dead)
        return [name for name in alive if self.fleets[name].stewards._held]

    def stop_cleanly(self, name: str) -> None:
        """Drain an instance and stop it."""
        deadline = self.clock.monotonic() + 60
        self.cores[name].drain(deadline)
        self.fleets[name].stewards.hand_over(deadline)
        self.dead.add(name)

    def settle(self) -> None:
        """End all faults and run until the engines should have the configured models."""
        self.set_outage(down=False)
        self.slow = False
        self.paused.clear()
        self.is_partitioned = lambda _sender, _receiver: False
        for store in self.stores.values():
            store.replies_to_lose = 0
        self.run(SETTLE_PERIODS)

    def check(self) -> None:
        """Assert what must hold once the fleet has settled after all faults."""
        self.check_always()
        rows = self.state.list_range(PREFIX_REVISIONS, PREFIX_REVISIONS + "~", 1000)
        newest = decode_manifest(rows[-1].value)
        running = self.list_running()
        in_force = [self.cores[name].configuration for name in running]
        expected = (newest["revision"], newest["digest"])
        assert {(row.revision, row.digest) for row in in_force} == {expected}
        desired_version = in_force[0].models["homily"].version
        assert {engine.models.get("homily") for engine in self.engines.values()} == {
            desired_version
        }
        assert sum(bool(self.fleets[name].stewards._held) for name in running) == 1

    def check_always(self) -> None:
        """Assert what must hold at any time."""
        assert self.decreased_revisions == []
        assert self.orders_without_lease == []
        for revision, digest in self.accepted:
            row = self.state.get(format_revision_key(revision))
            assert row is not None
            assert decode_manifest(row.value)["digest"] == digest
        if self.checks:
            for engine in self.engines.values():
                assert_numbers_never_decrease(engine)

    def find_leases(self) -> dict[int, float]:
        """Return the deadline of each lease that an instance considers its own, by number."""
        return {
            held.lease.fencing_number: held.lease.deadline
            for fleet in self.fleets.values()
            for held in fleet.stewards._held.values()
        }

    def _create_order_check(self, target: str, accept: Callable[..., None]) -> Callable[..., None]:
        """Return an accept function that records orders sent without a valid lease."""

        def check_order(kind: str, name: str, version: str, number: int) -> None:
            now = self.clock.monotonic()
            has_lease = now <= self.find_leases().get(number, 0.0)
            if not has_lease and number not in self.late_numbers:
                self.orders_without_lease.append(
                    f"{kind} {name} to {target} with {number} at {now}"
                )
            self.late_numbers.discard(number)
            accept(kind, name, version, number)

        return check_order

    def _run_instance(self, name: str) -> None:
        self.fleets[name].configuration.run_watch()
        for peer in self.list_running():
            if peer != name:
                self.board.networks[name].probe(peer)
        gevent.sleep(0)
        self.run_stewards(name)

    def _is_connected(self, sender: str, receiver: str) -> bool:
        unreachable = self.dead | self.paused
        return not (
            sender in unreachable
            or receiver in unreachable
            or self.is_partitioned(sender, receiver)
        )

    def _create_recorder(self, name: str) -> Callable[[ConfigurationChanged], None]:
        """Return a subscriber that records revisions that don't increase."""
        seen = [0]

        def record(event: ConfigurationChanged) -> None:
            if event.configuration.revision <= seen[-1]:
                self.decreased_revisions.append(
                    f"{name}: {seen[-1]} to {event.configuration.revision}"
                )
            seen.append(event.configuration.revision)

        return record


def assert_numbers_never_decrease(engine: FakeEngine) -> None:
    """Assert that fencing numbers never decrease: no order of a superseded steward took effect."""
    numbers = [order[3] for order in engine.orders]
    assert numbers == sorted(numbers)
