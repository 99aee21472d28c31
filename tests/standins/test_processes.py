from __future__ import annotations

import os
from pathlib import Path

import pytest

from clementinepin.config import load_settings
from standins.fleet import PlatformPorts, format_settings, load_plan, make_row, send_json
from standins.processes import (
    ProcessGroup,
    ProcessNotReadyError,
    accepts_connections,
    wait_until,
)

EXAMPLES = Path(__file__).parents[2] / "examples"


def start_plain(group: ProcessGroup) -> int:
    port = group.pick_port()
    journal = str(group.folder / "journal")
    group.start("p", ["standins.plain", "--port", str(port), "--name", "p", "--journal", journal])
    wait_until(lambda: accepts_connections(port), 10.0, "plain service has not started")
    return port


def test_restarted_process_keeps_its_journal(tmp_path: Path) -> None:
    with ProcessGroup(tmp_path) as group:
        port = start_plain(group)
        send_json(port, "POST", "/bookings")
        process = group.processes["p"]
        process.kill()
        assert process.exit_code == -9
        process.restart()
        wait_until(lambda: accepts_connections(port), 10.0, "plain service has not started again")
        assert send_json(port, "GET", "/standin/runs") == {"runs": {"none": 1}}


def test_group_exit_also_ends_paused_processes(tmp_path: Path) -> None:
    """Fails if ProcessGroup.stop doesn't resume: the paused process then ends by KILL, not TERM."""
    with ProcessGroup(tmp_path) as group:
        start_plain(group)
        process = group.processes["p"]
        process.pause()
        pid = process.pid
    assert process.exit_code == -15
    with pytest.raises(ProcessLookupError):
        os.kill(pid, 0)


def test_wait_until_fails_at_the_deadline() -> None:
    with pytest.raises(ProcessNotReadyError, match="never"):
        wait_until(lambda: False, 0.05, "never")


@pytest.mark.parametrize("name", ["kirkvoice", "lakaz"])
def test_demo_plans_use_accounts_of_their_file_set(name: str) -> None:
    plan = load_plan(EXAMPLES / name / "demo" / "fleet.toml")
    accounts = (EXAMPLES / name / "accounts.toml").read_text()
    assert plan.daemons == 6
    assert len(plan.data_centres) == 4
    assert all(f"[accounts.{account}]" in accounts for account in plan.keys)
    assert plan.demo["online_account"] in plan.keys


@pytest.mark.parametrize("with_folder", [True, False])
def test_settings_from_the_launcher_are_valid(tmp_path: Path, with_folder: bool) -> None:
    row = make_row("entry-1", "clementinepin", 8080, 8081, "a", "r")
    path = tmp_path / "entry-1.toml"
    text = format_settings(
        row,
        PlatformPorts(1, 2, 3),
        operator_key="key",
        advice_s=2.0,
        drain_s=10.0,
        folder=tmp_path / "data" if with_folder else None,
        statsd_port=8125,
    )
    path.write_text(text)
    settings = load_settings(path)
    assert (settings.instance.port, settings.instance.peer_port) == (8080, 8081)
    assert (settings.storage.folder is not None) is with_folder
    assert settings.metrics.host == "127.0.0.1"
