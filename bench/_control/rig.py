"""Test rig: one measured daemon with peers, engines and stand-ins of the platform."""

from __future__ import annotations

import hashlib
import json
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, Final

from bench._control.farm import MODELS
from bench._control.sample import Meter, StatsCollector
from standins.caller import Caller, Response
from standins.fleet import (
    OWN_SERVICE,
    READY_TIMEOUT_S,
    format_settings,
    is_healthy,
    make_row,
    pick_platform_ports,
    send_json,
    start_platform,
)
from standins.jobs import submit_job
from standins.processes import ProcessGroup, accepts_connections, wait_until

OPERATOR_KEY: Final = "bench-operator-key"
ACCOUNT_KEY: Final = "bench-account-key"
SERVICE: Final = "engines"
REGIONS: Final = ("region-a", "region-b", "region-c")
DATA_CENTRES_PER_REGION: Final = 4
SERVING_TIMEOUT_S: Final = 20.0
JOB_TIMEOUT_S: Final = 300.0


class Rig:
    """The processes of one measurement; ``meter`` reads the measured daemon.

    Only the first ``listed`` workers are in the instance list at the start.
    """

    def __init__(
        self, group: ProcessGroup, *, nodes: int, workers: int, listed: int | None = None
    ) -> None:
        self._group = group
        self._ports = pick_platform_ports(group)
        self._engine_rows = [self._make_row(f"engine-{n}", SERVICE, n) for n in range(workers)]
        self._node_rows = [self._make_row(f"node-{n}", OWN_SERVICE, n) for n in range(nodes)]
        self._listed = workers if listed is None else listed
        self.stats = StatsCollector()
        self.port = _read_port(self._node_rows[0])
        self.operator = Caller(OPERATOR_KEY, timeout_s=READY_TIMEOUT_S)
        self.caller = Caller(ACCOUNT_KEY, timeout_s=READY_TIMEOUT_S)

    def start(self) -> Rig:
        """Start all processes and wait until every daemon is healthy."""
        start_platform(self._group, self._ports, 0.0, 1000.0)
        ports = [str(_read_port(row)) for row in self._engine_rows]
        self._group.start("farm", ["bench._control.farm", *ports])
        for port in (*self._ports, *map(int, ports)):
            wait_until(partial(accepts_connections, port), READY_TIMEOUT_S, f"port {port}")
        self.publish_workers(self._listed)
        paths = [self._write_settings(row, number) for number, row in enumerate(self._node_rows)]
        if len(paths) > 1:
            self._group.start("host", ["bench._control.host", *map(str, paths[1:])])
        counts = self._group.folder / "counts.json"
        process = self._group.start(
            "measured",
            [
                "bench._control.metered",
                str(counts),
                "clementinepin.daemon",
                "--config",
                str(paths[0]),
            ],
        )
        self.meter = Meter(process.pid, counts, self.stats)
        for row in self._node_rows:
            port = _read_port(row)
            wait_until(partial(is_healthy, port), READY_TIMEOUT_S, f"daemon on port {port}")
        return self

    def stop(self) -> None:
        """Stop all processes."""
        self._group.stop()
        self.stats.stop()

    def publish_workers(self, workers: int) -> None:
        """Publish an instance list with all nodes and the first ``workers`` engines."""
        rows = [*self._node_rows, *self._engine_rows[:workers]]
        send_json(self._ports.instance_list, "PUT", "/standin/rows", rows)

    def apply(self, **sizes: int) -> int:
        """Apply a generated file set at the measured daemon; return the message size in bytes."""
        message = json.dumps({"base": None, "files": make_files(**sizes)}).encode()
        response = self.operator.call(self.port, "POST", "/ops/config", message)
        self.wait_revision(int(json.loads(response.text)["revision"]))
        return len(message)

    def apply_elsewhere(self, **sizes: int) -> tuple[int, float]:
        """Apply a file set at a peer; return its revision and the seconds until it was accepted."""
        message = json.dumps({"base": None, "files": make_files(**sizes)}).encode()
        started = time.monotonic()
        response = self.operator.call(
            _read_port(self._node_rows[1]), "POST", "/ops/config", message
        )
        return int(json.loads(response.text)["revision"]), time.monotonic() - started

    def wait_revision(self, revision: int) -> None:
        """Wait until the revision or a later one is in force at the measured daemon."""
        wait_until(
            lambda: self.read_revision() >= revision, READY_TIMEOUT_S, f"revision {revision}"
        )

    def read_revision(self) -> int:
        """Return the revision in force at the measured daemon."""
        response = self.operator.call(self.port, "GET", "/ops/config")
        return int(json.loads(response.text)["revision"])

    def wait_serving(self) -> None:
        """Wait until the measured daemon answers a completion request."""
        wait_until(lambda: self.complete(1).whole, SERVING_TIMEOUT_S, "no engine serves")

    def complete(
        self,
        tokens: int,
        *,
        stream: bool = False,
        on_token: Callable[[int, str], None] | None = None,
    ) -> Response:
        """Send one online completion request to the measured daemon."""
        body = {"model": "app-0", "prompt": "p", "max_tokens": tokens, "stream": stream}
        return self.caller.complete(self.port, body, on_token=on_token)

    def run_job(self, key: str, *, items: int) -> None:
        """Submit a job of one-token items and wait until it is completed."""
        job_id = submit_job(self.caller, self.port, key, [make_item(n) for n in range(items)])
        path = f"/v1/batches/{job_id}"

        def has_ended() -> bool:
            return bool(json.loads(self.caller.call(self.port, "GET", path).text)["completed_at"])

        wait_until(has_ended, JOB_TIMEOUT_S, f"job {key}")

    def count_key_value_calls(self) -> int:
        """Return the number of calls that the key-value service has received."""
        return sum(send_json(self._ports.key_value, "GET", "/standin/counts").values())

    def _make_row(self, name: str, service: str, number: int) -> dict[str, Any]:
        region = REGIONS[number % len(REGIONS)]
        data_centre = f"{region}-{number // len(REGIONS) % DATA_CENTRES_PER_REGION}"
        peer_port = self._group.pick_port() if service == OWN_SERVICE else 0
        return make_row(name, service, self._group.pick_port(), peer_port, data_centre, region)

    def _write_settings(self, row: dict[str, Any], number: int) -> Path:
        folder = self._group.folder / f"node-{number}.data" if number < 4 else None
        path = self._group.folder / f"node-{number}.toml"
        path.write_text(
            format_settings(
                row,
                self._ports,
                operator_key=OPERATOR_KEY,
                advice_s=10.0,
                drain_s=1.0,
                folder=folder,
                statsd_port=self.stats.port if number == 0 else None,
                log_level="WARNING",
            )
        )
        return path


def make_files(
    *, accounts: int = 10, models: int = 1, applications: int = 1, change: int = 0
) -> dict[str, str]:
    """Return a file set of the given sizes; each ``change`` gives a different digest."""
    service = f'version = 1\n[services.{SERVICE}]\nkind = "engine"\nchecks_fencing = true\n'
    lines = ["version = 1"]
    for number in range(models):
        lines += [
            f"[models.{MODELS[number]}]",
            f'service = "{SERVICE}"\nversion = "1"\nweights = "/w/{number}"',
            f"context_max_tokens = {8192 + change}",
        ]
    for number in range(applications):
        lines += [f"[applications.app-{number}]", f'model = "{MODELS[number % models]}"']
    digest = hashlib.sha256(ACCOUNT_KEY.encode()).hexdigest()
    rows = ["version = 1"]
    for number in range(accounts):
        key_digest = digest if number == 0 else hashlib.sha256(str(number).encode()).hexdigest()
        rows += [f"[accounts.account-{number}]", f'key_digests = ["{key_digest}"]']
        rows += ['applications = ["app-0"]', "concurrency_max = 10000"]
        rows += ["requests_per_s = 100000.0", "tokens_per_s = 100000000.0"]
    return {
        "services.toml": service,
        "models.toml": "\n".join(lines) + "\n",
        "accounts.toml": "\n".join(rows) + "\n",
    }


def make_item(number: int) -> dict[str, Any]:
    """Return one line of a job's input, a completion of one token."""
    body = {"model": "app-0", "prompt": f"item {number}", "max_tokens": 1}
    name = f"item-{number}"
    return {"custom_id": name, "method": "POST", "url": "/v1/completions", "body": body}


def _read_port(row: dict[str, Any]) -> int:
    """Return the port of the first target in an instance list row."""
    return int(row["targets"][0].rpartition(":")[2])
