from __future__ import annotations

import random
from collections.abc import Callable, Iterator

import pytest

from clementinepin.config.models import (
    InstanceSettings,
    LimitSettings,
    LogSettings,
    MetricsSettings,
    PlatformSettings,
    SecuritySettings,
    Settings,
    StorageSettings,
)
from clementinepin.core import Core
from clementinepin.helpers.clock import create_system_clock
from clementinepin.helpers.metrics import create_metrics
from clementinepin.peers import PeerNetwork, create_peer_network
from clementinepin.peers._membership import create_own_row
from clementinepin.systems.membership import merge_listed
from tests.ports import find_port


def create_settings(name: str, *, port: int, secret: str = "s" * 16) -> Settings:
    return Settings(
        version=1,
        instance=InstanceSettings(name, "127.0.0.1", 8000, port, "dc1", "r1"),
        platform=PlatformSettings(("127.0.0.1:1",), "127.0.0.1:1", "127.0.0.1:1", 50.0),
        storage=StorageSettings(None, 0),
        limits=LimitSettings(1_000_000, 100, 100, 10.0, 10.0, 60.0),
        security=SecuritySettings(secret, "0" * 64, None, None, None),
        logs=LogSettings("text", "INFO"),
        metrics=MetricsSettings(None, 8125, "clementinepin"),
        allowance_policy="adaptive",
    )


def create_core(settings: Settings) -> Core:
    return Core(settings, create_system_clock(), create_metrics(None, 0, ""), random.Random(1))


Starter = Callable[..., list[PeerNetwork]]


@pytest.fixture
def start_networks() -> Iterator[Starter]:
    started = []

    def start(*names: str, secrets: dict[str, str] | None = None) -> list[PeerNetwork]:
        cores = [
            create_core(
                create_settings(name, port=find_port(), secret=(secrets or {}).get(name, "s" * 16))
            )
            for name in names
        ]
        rows = [create_own_row(core) for core in cores]
        networks = [create_peer_network(core) for core in cores]
        for network in networks:
            merge_listed(network._membership.table, rows)
            network.start()
            network._prober.kill()
            started.append(network)
        return networks

    yield start
    for network in started:
        network.stop(0.0)
