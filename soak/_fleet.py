"""The world of one soak: a store, engines behind proxies, and our daemons as processes."""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import gevent
import msgspec

from clementinepin.helpers.clock import create_system_clock
from soak._proxy import Proxy
from soak._target import Ledger, Target
from standins.key_value import create_server

ROOT = Path(__file__).parent.parent
SERVICE = "llm"
HOST = "soak.example"
GRACE_S = 4.0
HEARTBEAT_S = 0.4

SETTINGS = """node = "{name}"
role = "{role}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_ports = [7720, 7735]
[listen]
{listen}
[limits]
max_fds = 1024
[bounds]
grace_period_s = {grace}
ttl_max_s = 5
[platform]
address = "127.0.0.1:{store}"
"""


class Instance:
    """One daemon with its own way to the store. It is ended by its own id only."""

    def __init__(self, name: str, ip: str, folder: Path, store_port: int, *, front: bool) -> None:
        self.name = name
        self.ip = ip
        self.front = front
        self.proxy = Proxy(("127.0.0.1", store_port))
        self.planned = False
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self.unplanned_ends: list[int] = []
        names = ("front", "ready", "directory")
        ports = dict(zip(names, (8161, 8167, 8164), strict=True))
        listen = "\n".join(f'{k} = "{ip}:{v}"' for k, v in ports.items()) if front else ""
        text = SETTINGS.format(
            name=name,
            role="front" if front else "store",
            serves='["front", "directory"]' if front else '["store"]',
            ip=ip,
            zone=f"z{name[-1]}",
            listen=listen,
            grace=GRACE_S,
            store=self.proxy.port,
        )
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(text)

    def start(self) -> None:
        """Start the process; its log is appended to one file."""
        self.planned = False
        environ = {**os.environ, "CLEMENTINEPIN_BOOT": str(self._settings)}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "clementinepin.serve"],
                cwd=ROOT,
                env=environ,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal; one that ends the process is planned."""
        self.planned = self.planned or number in (signal.SIGKILL, signal.SIGTERM)
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def is_running(self) -> bool:
        """Tell whether the process runs; an end that nobody planned is noted."""
        if self._process is None:
            return False
        code = self._process.poll()
        if code is not None and not self.planned:
            self.unplanned_ends.append(code)
            self.planned = True
        return code is None

    def end(self) -> None:
        """Kill it if it still runs, and wait."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait(10)


class Fleet:
    """All parts, started in order."""

    def __init__(
        self, folder: Path, seed: int, *, fronts: int, runners: int, targets: int, net: int = 0
    ) -> None:
        self.random = random.Random(seed)
        self.started_at = time.monotonic()
        self.store = create_server("127.0.0.1", 0, create_system_clock())
        self.store.start()
        self.gateway: Any = self.store.application
        self.ledger = Ledger()
        self.targets: dict[str, Target] = {}
        self.proxies: dict[str, Proxy] = {}
        self._leases: dict[str, int] = {}
        port = self.store.server_port
        self.instances = [
            Instance(f"front-{n}", f"127.{net}.1.{n + 1}", folder, port, front=True)
            for n in range(fronts)
        ]
        self.instances += [
            Instance(f"store-{n}", f"127.{net}.2.{n + 1}", folder, port, front=False)
            for n in range(runners)
        ]
        self.put_configuration(1)
        for n in range(targets):
            self.add_target(f"w{n}")
        self._beat = gevent.spawn(self._run_beats)
        for instance in self.instances:
            instance.start()

    def now(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self.started_at

    def put_configuration(self, version: int) -> None:
        """Write a configuration as the operator does."""
        common = {"host": HOST, "service": SERVICE, "timeout_ms": 5000, "sticky": True}
        stream = {"kind": "streaming", "target_latency_ms": 300, "gap_target_ms": 200}
        routes = [
            {"name": "once", "path_prefix": "/once/", "max_attempts": 1, **stream, **common},
            {
                "name": "again",
                "path_prefix": "/again/",
                "max_attempts": 3,
                "resumable": True,
                **stream,
                **common,
            },
            {
                "name": "jobs",
                "path_prefix": "/jobs/",
                "kind": "batch",
                "max_attempts": 3,
                "resumable": True,
                "target_latency_ms": 500,
                "run_target_ms": 18_000,
                "retention_s": 120,
                "max_count": 1_000_000,
                **common,
            },
        ]
        config = {"version": version, "routes": routes, "services": [{"name": SERVICE}]}
        self.gateway.state.put("op/config", msgspec.json.encode(config), None)

    def add_target(self, name: str) -> None:
        """Start an engine and register it under a lease."""
        target = Target(name, SERVICE, 4, self.ledger, self.now)
        self.targets[name] = target
        self.proxies[name] = Proxy(("127.0.0.1", target.port))
        self._register(name)

    def remove_target(self, name: str) -> None:
        """End an engine and its entry."""
        self.gateway.state.revoke_lease(self._leases.pop(name))
        self.targets.pop(name).stop()
        self.proxies.pop(name).stop()

    def stop(self) -> None:
        """End everything that this fleet started."""
        self._beat.kill()
        for instance in self.instances:
            instance.is_running()
            instance.end()
            instance.proxy.stop()
        for name in list(self.targets):
            self.remove_target(name)
        self.store.stop()

    def _register(self, name: str) -> None:
        state, now = self.gateway.state, self.gateway.clock.monotonic()
        lease = state.grant_lease(HEARTBEAT_S * 3, now)
        self._leases[name] = lease
        state.put(
            f"servers/{name}", self.targets[name].describe(self.proxies[name].port), None, lease
        )

    def _run_beats(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_S)
            for name in list(self.targets):
                state, now = self.gateway.state, self.gateway.clock.monotonic()
                if (
                    not self.gateway.faults["down"]
                    and state.keep_lease(self._leases[name], now) is None
                ):
                    self._register(name)
