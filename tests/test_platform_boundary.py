"""Only the daemons import the platform adapter, and names of its wire are used only in it."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PRODUCT = ROOT / "clementinepin"
ADAPTER = PRODUCT / "platform"
DAEMONS = {PRODUCT / "_serving_daemon.py", PRODUCT / "daemon.py"}
WIRE_NAMES = (
    r"Clementinepin-[A-Z]",
    r"/v1/(kv-|lots|items|resolve|ready|report)",
    r"traffic_split",
    r"dead_lettered",
    r"run_target_ms",
    r"gap_target_ms",
    r"internal_ports",
    r"store_revision",
    r"allow_stale",
    r"CLEMENTINEPIN_BOOT",
)


def list_sources() -> list[Path]:
    return [p for p in PRODUCT.rglob("*.py") if ADAPTER not in p.parents]


def test_only_the_daemons_import_the_platform_adapter():
    importers = {p for p in list_sources() if "clementinepin.platform" in p.read_text()}
    assert importers == DAEMONS


@pytest.mark.parametrize("wire_name", WIRE_NAMES)
def test_no_name_of_the_wire_is_used_outside_the_adapter(wire_name):
    offending_files = [str(p) for p in list_sources() if re.search(wire_name, p.read_text())]
    assert offending_files == []


def test_the_adapter_is_less_than_a_tenth_of_the_product():
    lines = sum(len(p.read_text().splitlines()) for p in ADAPTER.glob("*.py"))
    product = sum(len(p.read_text().splitlines()) for p in PRODUCT.rglob("*.py"))
    assert lines < product / 10


def test_the_daemon_on_the_platform_imports_only_the_packages_that_it_runs():
    """Unused imports make each start after a power loss slower and cost memory."""
    code = "import sys, clementinepin.serve; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    parts = {
        name.split(".")[1] for name in done.stdout.split() if name.startswith("clementinepin.")
    }
    unused = {"batch", "claims", "config", "entry", "fleet", "peers", "scheduling", "storage"}
    assert not parts & unused
    assert "clementinepin.infrastructure.clients" not in done.stdout.split()
