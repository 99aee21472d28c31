"""A fleet of fakes that meets faults at named steps, in virtual time."""

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
    """The instance that runs this code dies here."""


class FleetCluster(FakeFleet):
    """Runs instances, and records what no fault may change."""

    def __init__(self, *, checks: bool, engines: int = 3) -> None:
        super().__init__(count=4, engines=engines, checks=checks)
        self.checks = checks
        self.dead: set[str] = set()
        self.paused: set[str] = set()
        self.cut: Callable[[str, str], bool] = lambda _sender, _receiver: False
        self.accepted: set[tuple[int, str]] = set()
        self.fell: list[str] = []
        self.lawless: list[str] = []
        self.late_numbers: set[int] = set()
        self.interrupt: Callable[[], object] | None = None
        self.slow = False
        self.board.link = self._links
        for name, core in self.cores.items():
            core.subscribe(ConfigurationChanged, self._create_recorder(name))
        for store in self.stores.values():
            store.hook = self
        for name, engine in self.engines.items():
            engine._accept = self._create_judge(name, engine._accept)
        self.list_targets()

    def before(self, call: str, key: str) -> None:
        """Run before each call to the key-value service."""
        if self.slow:
            self.clock.advance(SLOW_S)
        if call == "put" and key.startswith(PREFIX_REVISIONS) and self.interrupt is not None:
            interrupt, self.interrupt = self.interrupt, None
            interrupt()

    def after(self, call: str, key: str) -> None:
        """Run behind the effect of each call."""

    def running(self) -> list[str]:
        """Return the instances that run now."""
        return [n for n in self.fleets if n not in self.dead and n not in self.paused]

    def set_outage(self, *, down: bool) -> None:
        """Take the key-value service down, or bring it back."""
        for store in self.stores.values():
            store.down = down

    def submit(self, name: str, version: str, base: int | None = None) -> ApplyResult | None:
        """Apply a file set once; None when it was not accepted, as far as is known."""
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
        """Run all instances that can run."""
        for _ in range(periods):
            for name in self.running():
                with contextlib.suppress(InstanceLost):
                    self._run_instance(name)
            self.clock.advance(PERIOD_S)

    def run_during_pause(self, name: str, version: str) -> None:
        """Pause an instance past its leases; the others go on, and configure a new version."""
        self.paused.add(name)
        self.clock.advance(LEASE_TTL_S + 1)
        self.submit(self.running()[0], version)
        self.run(SETTLE_PERIODS // 2)
        self.paused.discard(name)

    def find_steward(self) -> str | None:
        """Return the running instance that holds itself for the steward."""
        held = (n for n in self.running() if self.fleets[n].stewards._held)
        return next(held, None)

    def find_holders(self) -> list[str]:
        """Return the instances that believe in a lease, paused ones too."""
        alive = (name for name in self.fleets if name not in self.dead)
        return [name for name in alive if self.fleets[name].stewards._held]

    def stop_cleanly(self, name: str) -> None:
        """Drain an instance and stop it."""
        deadline = self.clock.monotonic() + 60
        self.cores[name].drain(deadline)
        self.fleets[name].stewards.hand_over(deadline)
        self.dead.add(name)

    def settle(self) -> None:
        """End all faults and run until everything should be well."""
        self.set_outage(down=False)
        self.slow = False
        self.paused.clear()
        self.cut = lambda _sender, _receiver: False
        for store in self.stores.values():
            store.replies_to_lose = 0
        self.run(SETTLE_PERIODS)

    def check(self) -> None:
        """Assert what must hold after every fault, once settled."""
        self.check_always()
        rows = self.state.list_range(PREFIX_REVISIONS, PREFIX_REVISIONS + "~", 1000)
        newest = decode_manifest(rows[-1].value)
        running = self.running()
        in_force = [self.cores[name].configuration for name in running]
        expected = (newest["revision"], newest["digest"])
        assert {(row.revision, row.digest) for row in in_force} == {expected}
        wanted = in_force[0].models["homily"].version
        assert {engine.models.get("homily") for engine in self.engines.values()} == {wanted}
        assert sum(bool(self.fleets[name].stewards._held) for name in running) == 1

    def check_always(self) -> None:
        """Assert what must hold at any time."""
        assert self.fell == []
        assert self.lawless == []
        for revision, digest in self.accepted:
            row = self.state.get(format_revision_key(revision))
            assert row is not None
            assert decode_manifest(row.value)["digest"] == digest
        if self.checks:
            for engine in self.engines.values():
                assert_numbers_rise(engine)

    def find_leases(self) -> dict[int, float]:
        """Return the deadline of each lease that an instance believes in, by number."""
        return {
            held.lease.fencing_number: held.lease.deadline
            for fleet in self.fleets.values()
            for held in fleet.stewards._held.values()
        }

    def _create_judge(self, target: str, accept: Callable[..., None]) -> Callable[..., None]:
        """Record orders that were sent without a lease; late ones were sent before a pause."""

        def judge(kind: str, name: str, version: str, number: int) -> None:
            now = self.clock.monotonic()
            is_lawful = now <= self.find_leases().get(number, 0.0)
            if not is_lawful and number not in self.late_numbers:
                self.lawless.append(f"{kind} {name} to {target} with {number} at {now}")
            self.late_numbers.discard(number)
            accept(kind, name, version, number)

        return judge

    def _run_instance(self, name: str) -> None:
        self.fleets[name].configuration.run_watch()
        for peer in self.running():
            if peer != name:
                self.board.networks[name].probe(peer)
        gevent.sleep(0)
        self.run_stewards(name)

    def _links(self, sender: str, receiver: str) -> bool:
        gone = self.dead | self.paused
        return not (sender in gone or receiver in gone or self.cut(sender, receiver))

    def _create_recorder(self, name: str) -> Callable[[ConfigurationChanged], None]:
        seen = [0]

        def record(event: ConfigurationChanged) -> None:
            if event.configuration.revision <= seen[-1]:
                self.fell.append(f"{name}: {seen[-1]} to {event.configuration.revision}")
            seen.append(event.configuration.revision)

        return record


def assert_numbers_rise(engine: FakeEngine) -> None:
    """Assert that no order of a superseded steward took effect."""
    numbers = [order[3] for order in engine.orders]
    assert numbers == sorted(numbers)
