"""A small deployment: the project's programs as processes, and the platform around them."""

from __future__ import annotations

import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent

from clementinepin.helpers.clock import create_system_clock
from review.common.http import Answer, call
from review.common.worker import RunLog, Worker
from standins.key_value import create_server

ROOT = Path(__file__).resolve().parent.parent.parent
HEARTBEAT_S = 1.2
GRACE_PERIOD_S = 8.0
HOST = "nony24.example"
ZONES = ("scot-central-a", "scot-central-b", "scot-central-c", "scot-central-d")
PORTS = {"front": 8161, "ready": 8167, "directory": 8164}
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

SETTINGS = """node = "{name}"
role = "{role}"
machine_class = "{role}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "scot-central"
internal_ports = [7720, 7735]
seeds = []
bootstrap = {bootstrap}
fault_counted = {counted}
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
[listen]
{listen}
[limits]
max_fds = {fds}
[bounds]
contact_ms = 3000
drain_timeout_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
config_deadline_ms = 2000
finish_deadline_s = 18
status_retention_s = 120
cancel_timeout_ms = 3000
settle_timeout_ms = 1000
ttl_max_s = 5
[platform]
address = "{platform}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_retention_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"""


class NotRunError(Exception):
    """The case could not run: its surroundings did not come up."""


class Machine:
    """One machine of the deployment with its one process."""

    def __init__(self, name: str, ip: str, zone: str, folder: Path, platform: str) -> None:
        self.name = name
        self.ip = ip
        self.is_front = name.startswith("front")
        self.process: subprocess.Popen[bytes] | None = None
        self._folder = folder
        self._settings = folder / f"{name}.toml"
        self._starts = 0
        listen = "\n".join(f'{k} = "{ip}:{v}"' for k, v in PORTS.items()) if self.is_front else ""
        self._text = SETTINGS.format(
            name=name,
            role="front" if self.is_front else "store",
            serves='["front", "directory"]' if self.is_front else '["store"]',
            ip=ip,
            zone=zone,
            bootstrap="{bootstrap}",
            counted="false" if self.is_front else "true",
            listen=listen,
            fds=4200 if self.is_front else 8200,
            platform=platform,
        )

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        bootstrap = "false" if self._starts else "true"
        self._settings.write_text(self._text.replace("{bootstrap}", bootstrap))
        self._starts += 1
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["front" if self.is_front else "store"]["run"].split(" ")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["CLEMENTINEPIN_BOOT"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(10)

    def address(self, listener: str) -> str:
        """Return the address of a listener."""
        return f"{self.ip}:{PORTS[listener]}"


class Fleet:
    """Starts and stops everything; ``record`` writes a line to ``record.txt`` of the case."""

    def __init__(self, case: Path, *, fronts: int, stores: int, seed: int = 1) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.random = random.Random(seed)
        self.started_at = time.monotonic()
        self.log = RunLog()
        self.workers: dict[str, Worker] = {}
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._record = (case / "record.txt").open("w")
        net, self._net_lock = take_net()
        self._worker_host = f"127.{net}.3.1"
        self.store = create_server(f"127.{net}.0.1", 0, create_system_clock())
        self.store.start()
        self.state = self.store.application.state
        platform = f"127.{net}.0.1:{self.store.server_port}"
        self.machines = [
            Machine(
                f"{kind}-{ZONES[n % len(ZONES)]}-{n + 1}",
                f"127.{net}.{second}.{n + 1}",
                ZONES[n % len(ZONES)],
                self._folder,
                platform,
            )
            for kind, second, count in (("front", 1, fronts), ("store", 2, stores))
            for n in range(count)
        ]
        self._heartbeats = gevent.spawn(self._run_heartbeats)

    @property
    def fronts(self) -> list[Machine]:
        """Return the machines that callers reach."""
        return [m for m in self.machines if m.is_front]

    @property
    def stores(self) -> list[Machine]:
        """Return the machines that run batch jobs."""
        return [m for m in self.machines if not m.is_front]

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def record(self, text: str) -> None:
        """Write a line with the time to the record."""
        self._record.write(f"{self.now():8.3f} {text}\n")
        self._record.flush()

    def add_worker(self, name: str, service: str, **options: Any) -> Worker:
        """Start a worker and register it in the platform's store."""
        worker = Worker(name, service, self._worker_host, self.log, **options)
        self.workers[name] = worker
        self.register(worker)
        self.record(f"worker {name} of {service}, version {worker.version}: {worker.state}")
        return worker

    def register(self, worker: Worker) -> None:
        """Write a worker's entry to the store."""
        self.state.put(f"servers/{worker.name}", worker.encode_entry(), None)

    def unregister(self, worker: Worker) -> None:
        """Remove a worker's entry from the store; the worker itself goes on."""
        self.workers.pop(worker.name, None)
        self.state.delete(f"servers/{worker.name}", None)
        self.record(f"worker {worker.name}: entry removed")

    def put_configuration(
        self, version: int, routes: list[dict[str, Any]], services: list[str]
    ) -> None:
        """Write a desired state, as the operator does."""
        rows = [{"name": s, "health_path": "/health", "max_connections": 360} for s in services]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        state = {"version": version, "routes": routes, "services": rows, "limits": limits}
        self.state.put("op/config", json.dumps(state).encode(), None)
        names = ",".join(route["name"] for route in routes)
        self.record(f"desired state {version} confirmed: routes {names}")

    def start(self) -> None:
        """Start all processes and wait until callers may come, as long as the pages say."""
        for machine in self.machines:
            machine.start()
        self.wait_ready(30.0)
        gevent.sleep(4.0)

    def wait_ready(self, limit_s: float) -> None:
        """Wait until all fronts are ready. Raises NotRunError if they don't get ready."""
        end = time.monotonic() + limit_s
        while not all(self.is_ready(m) for m in self.fronts):
            if time.monotonic() > end:
                raise NotRunError("the fronts did not get ready")
            gevent.sleep(0.1)

    def is_ready(self, machine: Machine) -> bool:
        """Return whether a front says that it is ready."""
        answer = call(machine.address("ready"), "GET", "/v1/ready", {"Host": "x"}, timeout_s=1.0)
        return answer.status == 200

    def resolve(self, machine: Machine) -> tuple[list[str], float]:
        """Ask a front for the addresses to connect to; return them and their time to live."""
        path = f"/v1/resolve?name={HOST}&region=scot-central&zone={ZONES[0]}"
        answer = call(machine.address("directory"), "GET", path, {"Host": "x"}, timeout_s=1.0)
        if answer.status != 200:
            return [], 0.0
        return answer.message["addresses"], answer.message["ttl_s"]

    def stop(self) -> None:
        """End everything that this fleet started."""
        self._heartbeats.kill()
        for machine in self.machines:
            machine.end()
        for worker in self.workers.values():
            worker.stop()
        self.store.stop(timeout=0)
        self._net_lock.close()
        self._record_runs()
        self._record.close()
        if folder := os.environ.get("REVIEW_LOGS"):
            shutil.copytree(self._folder, folder, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)

    def _record_runs(self) -> None:
        """Write down what ran at the workers, and how each run ended."""
        for run in self.log.runs:
            self._record.write(
                f"{run.started_at - self.started_at:8.3f} run {run.request_id} at {run.worker},"
                f" version {run.version}, from event {run.first_event}\n"
            )
        for request_id, worker, last, outcome in self.log.ends:
            self._record.write(f"         run {request_id} at {worker}: {outcome}, last {last}\n")

    def _run_heartbeats(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_S)
            for worker in list(self.workers.values()):
                self.register(worker)


def take_net() -> tuple[int, socket.socket]:
    """Return the second part of loopback addresses on which all ports are free.

    The socket keeps other cases from taking the same addresses as long as it is open.
    """
    for net in random.sample(range(16, 250), 50):
        lock = socket.socket()
        try:
            lock.bind((f"127.{net}.9.9", PORTS["front"]))
            for last in ("1.1", "2.1"):
                for port in (*PORTS.values(), 7720, 9464):
                    with socket.socket() as sock:
                        sock.bind((f"127.{net}.{last}", port))
        except OSError:
            lock.close()
            continue
        return net, lock
    raise NotRunError("no free loopback addresses")


def make_stream_headers(request_id: str, events: int, deadline_ms: int = 5000) -> dict[str, str]:
    """Return the headers of a request for a stream."""
    return {
        "Host": HOST,
        "Clementinepin-Request-Id": request_id,
        "Clementinepin-Model": "m",
        "Clementinepin-Token-Count": f"350,{events}",
        "Clementinepin-Prompt-Prefix": f"5c1e07a2:100,{request_id[:8]}:250",
        "Clementinepin-Deadline-Ms": str(deadline_ms),
    }


def make_items(prefix: str, count: int, path: str, events: int) -> list[dict[str, Any]]:
    """Return the items of a batch job."""
    body = base64.b64encode(b"prompt").decode()
    rows = []
    for n in range(count):
        item_id = f"{prefix}{n:04x}"
        headers = make_stream_headers(item_id, events)
        kept = {k: v for k, v in headers.items() if k not in ("Host", "Clementinepin-Request-Id")}
        del kept["Clementinepin-Deadline-Ms"]
        rows.append(
            {
                "id": item_id,
                "path": f"{path}{n}/x",
                "headers": kept,
                "body": body,
                "tokens": 350 + events,
            }
        )
    return rows


def submit(address: str, path: str, job_id: str, items: list[dict[str, Any]]) -> Answer:
    """Submit a batch job once."""
    headers = {
        "Host": HOST,
        "Clementinepin-Request-Id": job_id,
        "Content-Type": "application/json",
    }
    return call(address, "POST", path, headers, json.dumps({"items": items}).encode(), 4.0)


def read_results(address: str, job_id: str, after: int = 0) -> Answer:
    """Read the results of a batch job from a position."""
    return call(address, "GET", f"/v1/lots/{job_id}?after={after}", {"Host": HOST}, timeout_s=3.0)


def read_all_results(addresses: list[str], job_id: str) -> tuple[int, list[dict[str, Any]]]:
    """Return the total and all results listed so far, -1 and none if no front answers."""
    rows: list[dict[str, Any]] = []
    total = -1
    for attempt in range(60):
        answer = read_results(addresses[attempt % len(addresses)], job_id, len(rows))
        if answer.status != 200:
            gevent.sleep(0.2)
            continue
        total = answer.message["total"]
        if not answer.message["results"]:
            break
        rows += answer.message["results"]
    return total, rows


def run_case(case: Path, play: Callable[[Path], int]) -> None:
    """Run a case and exit with its code, 2 if it could not run; SIGTERM ends all of it."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    try:
        code = play(case)
    except NotRunError as err:
        sys.stderr.write(f"the case could not run: {err}\n")
        code = EXIT_NOT_RUN
    except Exception as err:
        sys.stderr.write(f"the case could not run: {type(err).__name__}: {err}\n")
        code = EXIT_NOT_RUN
    sys.exit(code)
