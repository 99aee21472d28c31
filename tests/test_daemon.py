from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from clementinepin.daemon import EXIT_SETTINGS
from standins.fleet import Fleet, FleetPlan
from standins.processes import ProcessGroup

SECRETS = ("operator-key-of-a-test", "peer-secret-of-a-loopback-fleet")
STOP_WAIT_S = 20.0
RUN_WAIT_S = 120.0


def run_module(*arguments):
    return subprocess.run(
        [sys.executable, "-m", *arguments],
        capture_output=True,
        text=True,
        timeout=RUN_WAIT_S,
        check=False,
    )


def test_invalid_settings_exit_with_their_own_code(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text('version = 1\n[instance]\nnam = "a"\n')
    result = run_module("clementinepin.daemon", "--config", str(path))
    assert result.returncode == EXIT_SETTINGS
    assert "nam" in result.stderr
    assert "Traceback" not in result.stderr


@pytest.fixture
def fleet(tmp_path):
    plan = FleetPlan("r", ("r-a",), 1, 1, SECRETS[0], {}, (), advice_s=0.2, drain_s=2.0)
    with ProcessGroup(tmp_path) as group:
        started = Fleet(plan, group)
        started.start()
        yield started


def test_daemon_dumps_its_state_and_exits_cleanly(fleet, tmp_path):
    """The dump holds every component and no secret; SIGTERM ends the process with exit code 0.

    Mutation: include the security settings in the dump.
    """
    process = fleet.daemons[0].process
    process.send(signal.SIGUSR1)
    process.send(signal.SIGTERM)
    assert process.wait(STOP_WAIT_S) == 0
    log = next(tmp_path.glob("entry-1.log")).read_text()
    dump = next(json.loads(line) for line in log.splitlines() if line.startswith("{"))
    components = {"peers", "storage", "fleet", "scheduling", "claims", "batch", "entry"}
    assert components <= set(dump["components"])
    assert not any(secret in log for secret in SECRETS)
    assert "Traceback" not in log


def test_demo_completes_every_step():
    result = run_module("standins.demo", "kirkvoice", "--items", "12")
    assert result.returncode == 0, result.stdout + result.stderr
    assert "all steps had the expected results" in result.stdout


def test_unknown_mechanism_ends_the_platform_daemon_with_the_known_names():
    """Mutation: ignore unknown names: an ablation measures nothing without a word."""
    result = run_module("clementinepin.serve", "--without", "no-such")
    assert result.returncode == EXIT_SETTINGS
    assert "no-such" in result.stderr
    assert "firm-items" in result.stderr
    assert "Traceback" not in result.stderr


SERVING_SETTINGS = """
node = "store-1"
serves = ["store"]
ip = "127.0.0.1"
zone = "a"
internal_ports = [0]
[platform]
address = "127.0.0.1:1"
"""


def has_loaded(pid, library):
    """Return whether a process has begun to load a library."""
    return library in Path(f"/proc/{pid}/maps").read_text()


def test_a_reload_while_the_serving_daemon_starts_does_not_end_it(tmp_path):
    """Guards against a SIGHUP that ends the process before its handler is set."""
    path = tmp_path / "settings.toml"
    path.write_text(SERVING_SETTINGS)
    with subprocess.Popen(
        [sys.executable, "-m", "clementinepin.serve"],
        env={**os.environ, "CLEMENTINEPIN_BOOT": str(path)},
        stdout=subprocess.PIPE,
    ) as process:
        while not has_loaded(process.pid, "gevent"):
            time.sleep(0.001)
        events = []
        while "settings_reloaded" not in events:
            process.send_signal(signal.SIGHUP)
            line = process.stdout.readline()
            assert line, f"the process ended with {process.wait()}"
            events.append(json.loads(line)["event"])
        process.terminate()
        process.stdout.read()
        assert process.wait(STOP_WAIT_S) == 0
    assert "started" in events
