"""Fakes for the peers, targets and settings of a scheduler."""

from __future__ import annotations

import random

from clementinepin.config import (
    AccountSpec,
    ApplicationSpec,
    Configuration,
    InstanceSettings,
    LimitSettings,
    LogSettings,
    MetricsSettings,
    ModelSpec,
    PlatformSettings,
    SecuritySettings,
    ServiceSpec,
    Settings,
    StorageSettings,
)
from clementinepin.core import Core, InstancesChanged
from clementinepin.helpers.clock import create_system_clock
from clementinepin.helpers.metrics import create_metrics
from clementinepin.infrastructure import ListedInstance
from clementinepin.peers.exceptions import PeerUnavailableError
from clementinepin.scheduling import CallInfo, create_scheduler
from clementinepin.targets import LoadReport

SERVICE = "lm"
MODEL = "m1"
APPLICATION = "app"


def build_configuration(revision=1, slots=4, accounts=(), preference=0.5, **changes):
    service = ServiceSpec(SERVICE, "engine", slots, True, preference, 1.8, 0.066, 60.0, ())
    plain = ServiceSpec("plain", "plain", slots, True, preference, 1.8, 0.066, 60.0, ())
    return Configuration(
        revision=revision,
        digest="d",
        models={MODEL: ModelSpec(MODEL, SERVICE, "1", "w", 4096, 1)},
        adapters={},
        applications={
            APPLICATION: ApplicationSpec(APPLICATION, MODEL, None, ("online", "batch"), (), ())
        },
        services={SERVICE: service, "plain": plain},
        accounts={spec.name: spec for spec in accounts},
    )._replace(**changes)


def build_account(name, concurrency=100, requests=1000.0, tokens=1e6, weight=1.0):
    return AccountSpec(name, (), (APPLICATION,), (), concurrency, requests, tokens, weight)


def build_target(name, service=SERVICE, data_centre="dc1", region="r1", state="live"):
    return ListedInstance(name, service, "127.0.0.1", 9000, 0, data_centre, region, state)


def build_call(request_id="r", account="a", priority="online", deadline=1e12, **changes):
    call = CallInfo(request_id, account, SERVICE, APPLICATION, priority, deadline, request_id)
    return call._replace(**changes)


def build_report(running=0, models=(MODEL,)):
    return LoadReport(running, 0, 0.0, models, (), "all", 0, 0.0)


def build_settings(name="e1", policy="adaptive", queue_max=100):
    return Settings(
        version=1,
        instance=InstanceSettings(name, "127.0.0.1", 1, 2, "dc1", "r1"),
        platform=PlatformSettings((), "", "", 1.0),
        storage=StorageSettings(None, 0),
        limits=LimitSettings(1, 1, queue_max, 1.0, 1.0, 1.0),
        security=SecuritySettings("", "", None, None, None),
        logs=LogSettings("text", "INFO"),
        metrics=MetricsSettings(None, 0, ""),
        allowance_policy=policy,
    )


class FakeEngine:
    def __init__(self, address):
        self.address = address

    def fetch_load(self):
        return build_report()

    def fetch_cache_events(self, after_sequence):
        return []


class FakePeers:
    """Peers in the same process: a call runs the other instance's handler directly."""

    def __init__(self, name, network):
        self.name = name
        self.network = network
        self.handlers = {}
        network[name] = self

    def register(self, method, handler):
        self.handlers[method] = handler

    def call(self, instance, method, message, *, deadline):
        if instance not in self.network:
            raise PeerUnavailableError(instance)
        return dict(self.network[instance].handlers[method](self.name, dict(message)))

    def list_live(self):
        return sorted(self.network)

    def mark_leaving(self, instance):
        self.network.pop(instance, None)


def build_fleet(names=("e1",), targets=("t1", "t2", "t3"), configuration=None, policy="adaptive"):
    """Return schedulers by instance name, connected by fakes, with load reports of all targets."""
    network, schedulers = {}, {}
    for name in names:
        core = Core(
            build_settings(name, policy),
            create_system_clock(),
            create_metrics(None, 0, ""),
            random.Random(1),
        )
        scheduler = create_scheduler(core, FakePeers(name, network), FakeEngine)
        schedulers[name] = (core, scheduler)
    for core, scheduler in schedulers.values():
        core.set_configuration(configuration or build_configuration())
        core.publish(InstancesChanged(tuple(build_target(t) for t in targets)))
        for target in targets:
            scheduler._decider.tables.targets.update(target, report=build_report())
    return {name: scheduler for name, (_, scheduler) in schedulers.items()}
