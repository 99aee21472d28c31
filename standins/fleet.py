"""Start a fleet of processes on loopback: the platform's stand-ins, targets and daemons."""

from __future__ import annotations

import hashlib
import json
import tomllib
from functools import partial
from pathlib import Path
from typing import Any, Final, NamedTuple

from geventhttpclient import HTTPClient

from standins.processes import (
    LOOPBACK,
    ChildProcess,
    ProcessGroup,
    ProcessNotReadyError,
    accepts_connections,
    wait_until,
)

READY_TIMEOUT_S: Final = 20.0
HTTP_TIMEOUT_S: Final = 10.0
OWN_SERVICE: Final = "clementinepin"
PEER_SECRET: Final = "peer-secret-of-a-loopback-fleet"


class TargetPlan(NamedTuple):
    """Targets of one service: ``workers`` processes of the stand-in ``kind`` with ``options``."""

    service: str
    kind: str
    workers: int
    options: tuple[str, ...] = ()


class FleetPlan(NamedTuple):
    """What to start.

    ``daemons`` is the number of instances; the first ``folders`` of them get a data folder.
    ``keys`` are the callers' keys by account; ``demo`` names what the demo calls. ``weight_rate``
    limits the loads from the weight store per second.
    """

    region: str
    data_centres: tuple[str, ...]
    daemons: int
    folders: int
    operator_key: str
    keys: dict[str, str]
    targets: tuple[TargetPlan, ...]
    demo: dict[str, str] = {}
    weight_rate: float = 50.0
    drain_s: float = 10.0
    advice_s: float = 2.0
    list_lag_s: float = 1.0
    allowance_policy: str = "adaptive"


class PlatformPorts(NamedTuple):
    """Loopback ports of the platform's stand-ins."""

    key_value: int
    instance_list: int
    weight_store: int


class Member(NamedTuple):
    """One started process and its row in the instance list."""

    row: dict[str, Any]
    process: ChildProcess

    @property
    def port(self) -> int:
        """Return the HTTP port."""
        return int(self.row["targets"][0].rpartition(":")[2])

    @property
    def name(self) -> str:
        """Return the name in the instance list."""
        return str(self.row["labels"]["name"])


def load_plan(path: Path) -> FleetPlan:
    """Return the plan in a ``fleet.toml`` file."""
    document = tomllib.loads(path.read_text())
    targets = [
        TargetPlan(
            name,
            "engine",
            table["workers"],
            ("--slots", str(table["slots"]), "--step-ms", str(table["step_ms"])),
        )
        for name, table in document["engines"].items()
    ]
    targets += [TargetPlan(n, "plain", t["workers"]) for n, t in document["plain"].items()]
    return FleetPlan(
        region=document["region"],
        data_centres=tuple(document["data_centres"]),
        daemons=document["daemons"],
        folders=document["folders"],
        operator_key=document["operator_key"],
        keys=document["keys"],
        targets=tuple(targets),
        demo=document.get("demo", {}),
    )


def send_json(port: int, method: str, path: str, value: object = None) -> Any:
    """Send one JSON request to a loopback port; return the decoded body of any status."""
    client = HTTPClient(
        LOOPBACK, port, network_timeout=HTTP_TIMEOUT_S, connection_timeout=HTTP_TIMEOUT_S
    )
    try:
        body = b"" if value is None else json.dumps(value).encode()
        raw = client.request(method, path, body, {"Content-Type": "application/json"}).read()
        return json.loads(bytes(raw) or b"null")
    finally:
        client.close()


def pick_platform_ports(group: ProcessGroup) -> PlatformPorts:
    """Return three free ports."""
    return PlatformPorts(group.pick_port(), group.pick_port(), group.pick_port())


def start_platform(
    group: ProcessGroup, ports: PlatformPorts, list_lag_s: float, weight_rate: float
) -> None:
    """Start the stand-ins of the platform."""
    for name, module, port, options in (
        ("key-value", "key_value", ports.key_value, []),
        ("instance-list", "instance_list", ports.instance_list, ["--lag", str(list_lag_s)]),
        ("weight-store", "weight_store", ports.weight_store, ["--rate", str(weight_rate)]),
    ):
        group.start(name, [f"standins.{module}", "--port", str(port), *options])


class Fleet:
    """Processes of one plan."""

    def __init__(self, plan: FleetPlan, group: ProcessGroup) -> None:
        self.plan = plan
        self.group = group
        self.daemons: list[Member] = []
        self.targets: dict[str, list[Member]] = {}
        self.ports = pick_platform_ports(group)

    def start(self) -> None:
        """Start all processes and wait until each daemon is healthy."""
        start_platform(self.group, self.ports, self.plan.list_lag_s, self.plan.weight_rate)
        for target in self.plan.targets:
            self.targets[target.service] = [
                self._start_target(target, number) for number in range(1, target.workers + 1)
            ]
        for port in self._list_standin_ports():
            wait_until(
                partial(accepts_connections, port),
                READY_TIMEOUT_S,
                f"nothing listens on port {port}",
            )
        for number in range(1, self.plan.daemons + 1):
            self.daemons.append(self._start_daemon(number))
        self.publish_rows()
        for member in self.daemons:
            self.wait_ready(member)

    def wait_ready(self, member: Member) -> float:
        """Wait until a daemon is healthy; return the seconds it took.

        Raise ProcessNotReadyError if it ends, or is not healthy after ``READY_TIMEOUT_S`` seconds.
        """

        def is_ready() -> bool:
            if member.process.exit_code is not None:
                raise ProcessNotReadyError(
                    f"{member.name} ended with exit code {member.process.exit_code}"
                )
            return is_healthy(member.port)

        return wait_until(is_ready, READY_TIMEOUT_S, f"{member.name} is not ready")

    def publish_rows(self) -> None:
        """Write the rows of all members to the instance list."""
        members = [*self.daemons, *(m for group in self.targets.values() for m in group)]
        send_json(self.ports.instance_list, "PUT", "/standin/rows", [m.row for m in members])

    def set_state(self, member: Member, state: str) -> None:
        """Change a member's state in the instance list."""
        member.row["labels"]["state"] = state
        self.publish_rows()

    def set_key_value_fault(self, **fault: object) -> None:
        """Set faults of the key-value service, such as ``down=True``."""
        send_json(self.ports.key_value, "POST", "/standin/fault", fault)

    def count_key_value_calls(self) -> dict[str, int]:
        """Return the calls of the key-value service so far, by resource."""
        counts: dict[str, int] = send_json(self.ports.key_value, "GET", "/standin/counts")
        return counts

    def list_entry_urls(self) -> list[str]:
        """Return the base URLs of all daemons."""
        return [f"http://{LOOPBACK}:{member.port}" for member in self.daemons]

    def read_journal(self, service: str) -> list[list[str]]:
        """Return the words of each line in the journals of a service's targets."""
        lines: list[list[str]] = []
        for member in self.targets[service]:
            path = self.group.folder / f"{member.name}.journal"
            if path.exists():
                lines += [line.split() for line in path.read_text().splitlines()]
        return lines

    def _list_standin_ports(self) -> list[int]:
        return [*self.ports] + [m.port for group in self.targets.values() for m in group]

    def _start_target(self, target: TargetPlan, number: int) -> Member:
        name = f"{target.service}-{number}"
        port = self.group.pick_port()
        arguments = [f"standins.{target.kind}", "--port", str(port), "--name", name]
        arguments += ["--journal", str(self.group.folder / f"{name}.journal")]
        if target.kind == "engine":
            arguments += ["--service", target.service]
        process = self.group.start(name, [*arguments, *target.options])
        return Member(self._make_row(name, target.service, port, 0, number), process)

    def _start_daemon(self, number: int) -> Member:
        name = f"entry-{number}"
        port, peer_port = self.group.pick_port(), self.group.pick_port()
        row = self._make_row(name, OWN_SERVICE, port, peer_port, number)
        data = self.group.folder / f"{name}.data"
        text = format_settings(
            row,
            self.ports,
            operator_key=self.plan.operator_key,
            advice_s=self.plan.advice_s,
            drain_s=self.plan.drain_s,
            folder=data if number <= self.plan.folders else None,
            allowance_policy=self.plan.allowance_policy,
        )
        path = self.group.folder / f"{name}.toml"
        path.write_text(text)
        process = self.group.start(name, ["clementinepin.daemon", "--config", str(path)])
        return Member(row, process)

    def _make_row(
        self, name: str, service: str, port: int, peer_port: int, number: int
    ) -> dict[str, Any]:
        centres = self.plan.data_centres
        centre = centres[number % len(centres)]
        return make_row(name, service, port, peer_port, centre, self.plan.region)


def make_row(
    name: str, service: str, port: int, peer_port: int, data_centre: str, region: str
) -> dict[str, Any]:
    """Return a row of the instance list, in state ``live`` and on loopback."""
    labels = {
        "name": name,
        "service": service,
        "data_centre": data_centre,
        "region": region,
        "state": "live",
        "peer_port": str(peer_port),
    }
    return {"targets": [f"{LOOPBACK}:{port}"], "labels": labels}


def format_settings(
    row: dict[str, Any],
    ports: PlatformPorts,
    *,
    operator_key: str,
    advice_s: float,
    drain_s: float,
    folder: Path | None = None,
    statsd_port: int | None = None,
    log_level: str = "DEBUG",
    allowance_policy: str = "adaptive",
) -> str:
    """Return the text of a daemon's settings file; create its data folder if it has one."""
    labels = row["labels"]
    port = row["targets"][0].rpartition(":")[2]
    digest = hashlib.sha256(operator_key.encode()).hexdigest()
    optional_tables = _format_optional(folder, statsd_port)
    return f"""version = 1
allowance_policy = "{allowance_policy}"

[instance]
name = "{labels['name']}"
address = "{LOOPBACK}"
port = {port}
peer_port = {labels['peer_port']}
data_centre = "{labels['data_centre']}"
region = "{labels['region']}"

[platform]
key_value = ["{LOOPBACK}:{ports.key_value}"]
instance_list = "{LOOPBACK}:{ports.instance_list}"
weight_store = "{LOOPBACK}:{ports.weight_store}"
key_value_calls_per_s = 200.0

[limits]
advice_s = {advice_s}
drain_s = {drain_s}

[security]
peer_secret = "{PEER_SECRET}"
operator_key_digest = "{digest}"

{optional_tables}[logs]
level = "{log_level}"
"""


def _format_optional(folder: Path | None, statsd_port: int | None) -> str:
    text = ""
    if folder is not None:
        folder.mkdir(exist_ok=True)
        text += f"[storage]\nfolder = {json.dumps(str(folder))}\n\n"
    if statsd_port is not None:
        text += f'[metrics]\nhost = "{LOOPBACK}"\nport = {statsd_port}\n\n'
    return text


def is_healthy(port: int) -> bool:
    """Return whether a daemon's health resource answers with status 200."""
    client = HTTPClient(LOOPBACK, port, network_timeout=1.0, connection_timeout=1.0)
    try:
        return bool(client.get("/healthz").status_code == 200)
    except OSError:
        return False
    finally:
        client.close()
