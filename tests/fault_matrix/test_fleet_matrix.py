"""Fault matrix of configuration, orders and handover.

These mutations of the code must make it fail: a revision is accepted with an unconditional write;
an order is sent with another number than its lease's; a lost lease is kept.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from clementinepin.core import ConfigurationChanged
from clementinepin.fleet import _revisions as revisions
from clementinepin.fleet._leases import PREFIX_STEWARDS
from clementinepin.fleet._revisions import PREFIX_REVISIONS
from tests.fault_matrix.fleet_cluster import FleetCluster, InstanceLost

scenarios("fleet.feature")


class Fault:
    """A fault that is injected once, when its step is first reached after arming."""

    def __init__(self, cluster: FleetCluster, name: str) -> None:
        self.cluster = cluster
        self.armed = False
        self.injected = False
        self._inject = {
            "service down": self._take_service_down,
            "service slow": self._slow_service,
            "reply lost": self._lose_reply,
            "lease expired during pause": self._pause,
            "racing operators": self._race,
            "instance lost": self._lose_instance,
            "clean stop": self._stop_instance,
        }[name]

    def on_step(self, instance: str) -> None:
        """Inject the fault at the instance that reached the step."""
        if self.armed and not self.injected:
            self.injected = True
            self._inject(instance)

    def _take_service_down(self, instance: str) -> None:
        self.cluster.set_outage(down=True)

    def _slow_service(self, instance: str) -> None:
        self.cluster.slow = True

    def _lose_reply(self, instance: str) -> None:
        self.cluster.stores[instance].replies_to_lose = 1

    def _pause(self, instance: str) -> None:
        self.cluster.run_during_pause(instance, "3")

    def _race(self, instance: str) -> None:
        other = next(name for name in self.cluster.list_running() if name != instance)
        self.cluster.submit(other, "3")

    def _lose_instance(self, instance: str) -> None:
        self.cluster.dead.add(instance)
        raise InstanceLost

    def _stop_instance(self, instance: str) -> None:
        self.cluster.cores[instance].drain(self.cluster.clock.monotonic() + 60)


def _arm_store(cluster: FleetCluster, fault: Fault, call: str, prefix: str) -> None:
    for name, store in cluster.stores.items():
        store.hook = _StoreHook(cluster, fault, name, call, prefix)


class _StoreHook:
    """Reports the step when ``call``, such as "before put", runs on a key with the prefix."""

    def __init__(
        self, cluster: FleetCluster, fault: Fault, instance: str, call: str, prefix: str
    ) -> None:
        self.cluster = cluster
        self.fault = fault
        self.instance = instance
        self.call = call
        self.prefix = prefix

    def before(self, call: str, key: str) -> None:
        self.cluster.before(call, key)
        if self.call == f"before {call}" and key.startswith(self.prefix):
            self.fault.on_step(self.instance)

    def after(self, call: str, key: str) -> None:
        if self.call == f"after {call}" and key.startswith(self.prefix):
            self.fault.on_step(self.instance)


def _arm_orders(cluster: FleetCluster, fault: Fault) -> None:
    for engine in cluster.engines.values():
        accept = engine._accept

        def accept_later(kind, name, version, number, accept=accept) -> None:
            steward = cluster.find_steward()
            if steward is not None:
                before = cluster.find_leases()
                fault.on_step(steward)
                # The order was sent with a valid lease that expired during the fault.
                if cluster.clock.monotonic() > before[number]:
                    cluster.late_numbers.add(number)
            accept(kind, name, version, number)

        engine._accept = accept_later


def _arm_in_force(cluster: FleetCluster, fault: Fault) -> None:
    for name, core in cluster.cores.items():
        core.subscribe(ConfigurationChanged, lambda _event, name=name: fault.on_step(name))


ARM_FUNCTIONS: dict[str, Callable[[FleetCluster, Fault], None]] = {
    "configuration written": lambda c, f: _arm_store(c, f, "before put", PREFIX_REVISIONS),
    "in force": _arm_in_force,
    "order sent": _arm_orders,
    "handed over": lambda c, f: _arm_store(c, f, "before put", PREFIX_STEWARDS),
}


@pytest.fixture(autouse=True)
def _no_pause(monkeypatch):
    monkeypatch.setattr(revisions, "RESOLVE_PAUSE_S", 0.0)


@given(
    parsers.parse('a settled fleet whose engines "{engines}" fencing numbers'),
    target_fixture="cluster",
)
def create_cluster(engines: str) -> FleetCluster:
    cluster = FleetCluster(checks=engines == "check")
    assert cluster.submit("n0", "1") is not None
    cluster.run(30)
    assert {engine.models.get("homily") for engine in cluster.engines.values()} == {"1"}
    return cluster


@given(parsers.parse('the fault "{name}" at the step "{step}"'), target_fixture="fault")
def arm_fault(cluster: FleetCluster, name: str, step: str) -> Fault:
    fault = Fault(cluster, name)
    ARM_FUNCTIONS[step](cluster, fault)
    fault.armed = True
    return fault


@when("an operator applies another version and the steward is drained")
def apply_and_drain(cluster: FleetCluster) -> None:
    cluster.submit("n0", "2")
    cluster.run(3)
    steward = cluster.find_steward()
    if steward is not None:
        cluster.stop_cleanly(steward)
    cluster.run(10)


@when("all faults end")
def end_faults(cluster: FleetCluster, fault: Fault) -> None:
    assert fault.injected
    cluster.settle()


@then("one configuration is in force and the engines have it")
def check_cluster(cluster: FleetCluster) -> None:
    cluster.check()
