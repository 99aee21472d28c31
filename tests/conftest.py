from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

from clementinepin.helpers.clock import ManualClock

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("ci")


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red(text: str) -> list[str]:
    """Return the node ids of the tests listed as known to fail: lines that begin with one."""
    return [line.split()[0] for line in text.splitlines() if line.startswith("tests/")]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known = set(read_known_red(KNOWN_RED.read_text()))
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for node_id in read_known_red(KNOWN_RED.read_text()):
        terminalreporter.write_line(f"known red: {node_id}")
