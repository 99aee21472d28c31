"""All parts of one soak: the store, engines behind proxies, and the real daemons as processes.

The store and the engines are stand-ins in this process. Each daemon reaches the store through a
proxy of its own, so that faults can hit one connection at a time.
"""

from __future__ import annotations

import functools
import itertools
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
from soak._target import LONG_UPLOAD_BYTES, PLAIN_PATH, SPLIT_SERVICES, RunLog, Target
from standins.key_value import create_server

INTERNAL_PORTS = (7720, 7735)
ENDING_SIGNALS = (signal.SIGKILL, signal.SIGTERM, signal.SIGABRT)
ROOT = Path(__file__).parent.parent
DAEMON = Path(__file__).parent / "_daemon.py"
Builds = tuple[Path, ...]
SERVICE = "llm"
HOST = "soak.example"
GRACE_PERIOD_S = 4.0
HEARTBEAT_INTERVAL_S = 0.4
SLOTS = 4  # of an engine
CRASH_S = 0.5  # until an engine that a request crashed is back
UNFRAMED_PERIOD = 3  # each third response of an engine ends with its connection
VERSIONS = ("v1", "v2", "v3")  # of the engines' software
TEXT_VERSIONS = (*VERSIONS, *(f"{s}/{v}" for s in SPLIT_SERVICES for v in VERSIONS))
RELEASED_SERVICES = tuple(f"released{n}" for n in range(6))  # each with a resumable route

SETTINGS_TEMPLATE = """node = "{name}"
role = "{role}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_ports = [{internal_ports[0]}, {internal_ports[1]}]
bootstrap = {bootstrap}
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
    """One daemon process with its settings file, log file and proxy to the store.

    Each start takes the next of ``builds``, which are checkouts of the project. The first one is
    the first start of the whole fleet.
    """

    def __init__(
        self, name: str, ip: str, folder: Path, store_port: int, builds: Builds, *, is_front: bool
    ) -> None:
        # Instances begin with different builds, so that both run at any time.
        first = int(name[-1]) % len(builds)
        self._builds = itertools.cycle((*builds[first:], *builds[:first]))
        self.name = name
        self.ip = ip
        self.is_front = is_front
        self.proxy = Proxy(("127.0.0.1", store_port))
        self.end_expected = False
        self.is_restarting = False
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self.unexpected_exit_codes: list[int] = []
        names = ("front", "ready", "directory")
        ports = dict(zip(names, (8161, 8167, 8164), strict=True))
        listen = "\n".join(f'{k} = "{ip}:{v}"' for k, v in ports.items()) if is_front else ""
        self._settings = functools.partial(
            SETTINGS_TEMPLATE.format,
            name=name,
            internal_ports=INTERNAL_PORTS,
            role="front" if is_front else "store",
            serves='["front", "directory"]' if is_front else '["store"]',
            ip=ip,
            zone=f"z{name[-1]}",
            listen=listen,
            grace=GRACE_PERIOD_S,
            store=self.proxy.port,
        )
        self._settings_path = folder / f"{name}.toml"
        self._links_path = folder / f"{name}-links.json"
        self._cuts: dict[str, dict[str, Any]] = {}

    def start(self) -> None:
        """Start the process; all starts append to the same log file."""
        self.end_expected = False
        is_first = self._process is None
        self._settings_path.write_text(self._settings(bootstrap=str(is_first).lower()))
        build = next(self._builds)
        environment = {
            **os.environ,
            "CLEMENTINEPIN_BOOT": str(self._settings_path),
            "PYTHONPATH": str(build),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(DAEMON), str(self._links_path)],
                cwd=build,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def cut_links(self, ports: list[int], new: str, opened: str) -> None:
        """Cut the links of this process to the ports of targets; new connections refuse or hang.

        ``opened`` is what happens to open ones: reset, hang or none. No ports end all cuts.
        """
        self._write_cut("targets", ["127.0.0.1"], ports, new, opened)

    def cut_off(self, hosts: list[str], new: str, opened: str) -> None:
        """Cut the links with the instances at ``hosts``, in both directions; none end the cut."""
        ports = list(range(INTERNAL_PORTS[0], INTERNAL_PORTS[1] + 1)) if hosts else []
        self._write_cut("instances", hosts, ports, new, opened)

    def _write_cut(
        self, kind: str, hosts: list[str], ports: list[int], new: str, opened: str
    ) -> None:
        """Write the cuts of all kinds; the one of ``kind`` replaces its former one."""
        row = {"hosts": hosts, "ports": ports, "new": new, "open": opened}
        self._cuts[kind] = row | {"accepted": kind == "instances"}
        written = self._links_path.with_suffix(".new")
        written.write_bytes(
            msgspec.json.encode([row for row in self._cuts.values() if row["ports"]])
        )
        written.replace(self._links_path)

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to a running process; after one of ENDING_SIGNALS its end is expected."""
        self.end_expected = self.end_expected or signal_number in ENDING_SIGNALS
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal_number)

    def is_running(self) -> bool:
        """Return whether the process runs; record the exit code of an unexpected end once."""
        if self._process is None:
            return False
        code = self._process.poll()
        if code is not None and not self.end_expected:
            self.unexpected_exit_codes.append(code)
            self.end_expected = True
        return code is None

    def end(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait(10)


def make_released_routes(common: dict[str, Any]) -> list[dict[str, Any]]:
    """Return a resumable route for each of RELEASED_SERVICES."""
    own = [{"name": s, "path_prefix": f"/{s}/", "service": s} for s in RELEASED_SERVICES]
    return [common | row | {"max_attempts": 3, "resumable": True} for row in own]


class Fleet:
    """Starts and stops all parts.

    ``fronts`` and ``runners`` are the numbers of entry instances and of job runners, ``targets``
    that of engines; ``net`` is the second part of the instances' loopback addresses. ``builds`` are
    the checkouts whose daemons run beside each other. Prompts with one of ``crashing_parts`` crash
    the engine that writes a response to them.
    """

    def __init__(
        self,
        folder: Path,
        seed: int,
        *,
        fronts: int,
        runners: int,
        targets: int,
        net: int = 0,
        builds: Builds = (ROOT,),
    ) -> None:
        self.random = random.Random(seed)
        self.has_two_builds = len(builds) > 1
        self.started_at = time.monotonic()
        self.store = create_server("127.0.0.1", 0, create_system_clock())
        self.store.start()
        self.gateway: Any = self.store.application
        self.run_log = RunLog()
        self.targets: dict[str, Target] = {}
        self.crashing_parts: set[str] = set()
        self.proxies: dict[str, Proxy] = {}
        self._lease_ids: dict[str, int] = {}
        self._unregistered: set[str] = set()
        self.split_weights = (100, 0)
        port = self.store.server_port
        self.instances = [
            Instance(f"front-{n}", f"127.{net}.1.{n + 1}", folder, port, builds, is_front=True)
            for n in range(fronts)
        ]
        self.instances += [
            Instance(f"store-{n}", f"127.{net}.2.{n + 1}", folder, port, builds, is_front=False)
            for n in range(runners)
        ]
        self.put_configuration(1)
        for n in range(targets):
            self.add_target(f"w{n}", VERSIONS[0 if self.has_two_builds else n % 2])
        self.add_target("p0", VERSIONS[0], SPLIT_SERVICES[0])
        self._heartbeat = gevent.spawn(self._run_heartbeats)
        for instance in self.instances:
            instance.start()

    def now(self) -> float:
        """Return the seconds since the start of the fleet."""
        return time.monotonic() - self.started_at

    def put_configuration(self, version: int) -> None:
        """Write a configuration with this version to the store, as the operator does."""
        common = {"host": HOST, "service": SERVICE, "timeout_ms": 5000, "sticky": True}
        stream = {"kind": "streaming", "target_latency_ms": 300, "gap_target_ms": 200}
        batch = {
            "kind": "batch",
            "max_attempts": 3,
            "resumable": True,
            "target_latency_ms": 500,
            "run_target_ms": 18_000,
            "retention_s": 120,
            "max_count": 1_000_000,
        }
        pairs = zip(SPLIT_SERVICES, self.split_weights, strict=True)
        split = {"traffic_split": [{"service": name, "weight": w} for name, w in pairs]}
        routes = [
            {
                "name": "plain",
                "path_prefix": PLAIN_PATH,
                "max_attempts": 3,
                "kind": "idempotent",
                "target_latency_ms": 500,
                **common,
            },
            {"name": "once", "path_prefix": "/once/", "max_attempts": 1, **stream, **common},
            {
                "name": "again",
                "path_prefix": "/again/",
                "max_attempts": 3,
                "resumable": True,
                **stream,
                **common,
            },
            *make_released_routes(common | stream),
            {"name": "jobs", "path_prefix": "/jobs/", **batch, **common},
            {"name": "splitjobs", "path_prefix": "/splitjobs/", **batch, **common, **split},
            {
                "name": "split",
                "path_prefix": "/split/",
                "max_attempts": 3,
                "resumable": True,
                **stream,
                **common,
                **split,
            },
        ]
        names = (SERVICE, *SPLIT_SERVICES, *RELEASED_SERVICES)
        services = [{"name": service} for service in names]
        limits = {"max_body_bytes": LONG_UPLOAD_BYTES}
        config = {"version": version, "routes": routes, "services": services, "limits": limits}
        self.gateway.state.put("op/config", msgspec.json.encode(config), None)

    def add_target(
        self, name: str, version: str = VERSIONS[0], service: str = SERVICE, slots: int = SLOTS
    ) -> None:
        """Start an engine behind a proxy and register it in the store under a lease."""
        self._unregistered.discard(name)
        target = Target(name, service, slots, self.run_log, self.now, version)
        target.unframed_period = 0 if self.has_two_builds else UNFRAMED_PERIOD
        target.crashing_parts = self.crashing_parts
        target.on_crash = lambda name: self.crash_target(name, CRASH_S)
        self.targets[name] = target
        self.proxies[name] = Proxy(("127.0.0.1", target.port))
        self._register(name)

    def crash_target(self, name: str, down_s: float) -> None:
        """End all runs of an engine, which refuses connections until it is back."""
        target, proxy = self.targets.get(name), self.proxies.get(name)
        if target is None or proxy is None:
            return
        proxy.close_port()
        target.crash()
        gevent.spawn_later(down_s, self._open_port, name)

    def _open_port(self, name: str) -> None:
        if name in self.proxies and not self.proxies[name].is_open:
            self.proxies[name].open_port()

    def drain_target(self, name: str) -> None:
        """Let an engine report that it drains, and say so in its responses."""
        self.targets[name].says_leaving = self.targets[name].draining = True
        self._register(name)

    def unregister_target(self, name: str) -> None:
        """Delete an engine's entry from the store; the engine serves on."""
        if name not in self._unregistered:
            self._unregistered.add(name)
            self.gateway.state.revoke_lease(self._lease_ids.pop(name))

    def register_again(self, name: str) -> None:
        """Write an engine's entry anew, as its next heartbeat would."""
        self._unregistered.discard(name)
        self._register(name)

    def remove_target(self, name: str) -> None:
        """Delete an engine's entry from the store and stop the engine and its proxy."""
        self.unregister_target(name)
        self.targets.pop(name).stop()
        self.proxies.pop(name).stop()

    def stop(self) -> None:
        """Stop all processes and servers that this fleet started."""
        self._heartbeat.kill()
        for instance in self.instances:
            instance.is_running()
            instance.end()
            instance.proxy.stop()
        for name in list(self.targets):
            self.remove_target(name)
        self.store.stop()

    def _register(self, name: str) -> None:
        state, now = self.gateway.state, self.gateway.clock.monotonic()
        lease = state.grant_lease(HEARTBEAT_INTERVAL_S * 3, now)
        self._lease_ids[name] = lease
        state.put(
            f"servers/{name}", self.targets[name].encode_entry(self.proxies[name].port), None, lease
        )

    def _run_heartbeats(self) -> None:
        """Renew the engines' leases while the store is up; register engines with expired leases."""
        while True:
            gevent.sleep(HEARTBEAT_INTERVAL_S)
            for name in self.targets.keys() - self._unregistered:
                state, now = self.gateway.state, self.gateway.clock.monotonic()
                if (
                    not self.gateway.faults["down"]
                    and state.keep_lease(self._lease_ids[name], now) is None
                ):
                    self._register(name)
