"""Random sequences of faults in configuration and orders."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from clementinepin.fleet import _revisions as revisions
from clementinepin.systems.stewardship import LEASE_TTL_S
from tests.fault_matrix.fleet_cluster import FleetCluster

NAMES = st.sampled_from(["n0", "n1", "n2", "n3"])
WORKERS = st.sampled_from(["w0", "w1", "w2"])
VERSIONS = st.sampled_from(["1", "2", "3"])


class FleetMachine(RuleBasedStateMachine):
    """No revision decreases, no order is sent without a lease, and the final state is correct.

    Mutation: let may_order return True, or create revisions unconditionally.
    """

    @initialize(checks=st.booleans())
    def start(self, checks: bool) -> None:
        self.pause_s = revisions.RESOLVE_PAUSE_S
        revisions.RESOLVE_PAUSE_S = 0.0
        self.cluster = FleetCluster(checks=checks)
        self.cluster.submit("n0", "1")
        self.cluster.run(8)

    @rule(name=NAMES, version=VERSIONS, stale=st.booleans())
    def submit(self, name: str, version: str, stale: bool) -> None:
        if name in self.cluster.list_running():
            revision = self.cluster.fleets[name].configuration.revision
            self.cluster.submit(name, version, base=max(0, revision - 1) if stale else None)

    @rule(name=NAMES, other=NAMES, versions=st.permutations(["1", "2", "3"]))
    def race(self, name: str, other: str, versions: list[str]) -> None:
        if {name, other} <= set(self.cluster.list_running()):
            self.cluster.on_revision_write = lambda: self.cluster.submit(other, versions[0])
            self.cluster.submit(name, versions[1])
            self.cluster.on_revision_write = None

    @rule(periods=st.integers(1, 8))
    def run(self, periods: int) -> None:
        self.cluster.run(periods)

    @rule(name=NAMES, count=st.integers(1, 3))
    def lose_replies(self, name: str, count: int) -> None:
        self.cluster.stores[name].replies_to_lose = count

    @rule(down=st.booleans())
    def change_service(self, down: bool) -> None:
        self.cluster.set_outage(down=down)

    @rule(slow=st.booleans())
    def change_speed(self, slow: bool) -> None:
        self.cluster.slow = slow

    @precondition(lambda self: len(self.cluster.list_running()) > 2)
    @rule(name=NAMES)
    def pause(self, name: str) -> None:
        self.cluster.paused.add(name)

    @rule(name=NAMES, expire_leases=st.booleans())
    def wake(self, name: str, expire_leases: bool) -> None:
        if expire_leases:
            self.cluster.clock.advance(LEASE_TTL_S + 1)
        self.cluster.paused.discard(name)

    @precondition(lambda self: self.cluster.find_holders())
    @rule(expire_leases=st.booleans(), worker=WORKERS)
    def wake_holder_during_round(self, expire_leases: bool, worker: str) -> None:
        if expire_leases:
            self.cluster.clock.advance(LEASE_TTL_S + 1)
        self.cluster.engines[worker].models.clear()
        for name in self.cluster.find_holders():
            self.cluster.paused.discard(name)
            self.cluster.fleets[name].stewards.run_round("homily-lm")

    @precondition(lambda self: len(self.cluster.dead) < 2)
    @rule(name=NAMES, cleanly=st.booleans())
    def stop(self, name: str, cleanly: bool) -> None:
        if cleanly and name in self.cluster.list_running():
            self.cluster.stop_cleanly(name)
        self.cluster.dead.add(name)

    @rule(name=NAMES)
    def isolate_instance(self, name: str) -> None:
        self.cluster.is_partitioned = lambda sender, receiver: (sender == name) != (
            receiver == name
        )

    @rule()
    def join_partitions(self) -> None:
        self.cluster.is_partitioned = lambda _sender, _receiver: False

    @rule(worker=WORKERS)
    def replace_worker(self, worker: str) -> None:
        self.cluster.engines[worker].models.clear()

    @invariant()
    def check_cluster(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.check_always()

    def teardown(self) -> None:
        if not hasattr(self, "cluster"):
            return
        try:
            self.cluster.settle()
            self.cluster.check()
        finally:
            revisions.RESOLVE_PAUSE_S = self.pause_s


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(max_examples=40, stateful_step_count=15)
