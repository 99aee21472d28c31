"""Nothing but the daemons and the adapter's own tests knows the adapter or the wire's words."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PRODUCT = ROOT / "clementinepin"
ADAPTER = PRODUCT / "platform"
DAEMONS = {PRODUCT / "serve.py", PRODUCT / "daemon.py"}
WIRE_WORDS = (
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


def test_only_the_daemons_import_the_adapter():
    importers = {p for p in list_sources() if "clementinepin.platform" in p.read_text()}
    assert importers == DAEMONS


@pytest.mark.parametrize("word", WIRE_WORDS)
def test_no_word_of_the_wire_stands_outside_the_adapter(word):
    found = [str(p) for p in list_sources() if re.search(word, p.read_text())]
    assert found == []


def test_the_adapter_is_small():
    lines = sum(len(p.read_text().splitlines()) for p in ADAPTER.glob("*.py"))
    product = sum(len(p.read_text().splitlines()) for p in PRODUCT.rglob("*.py"))
    assert lines < product / 10


def test_the_daemon_on_the_platform_loads_only_what_it_runs():
    """Each start after a loss of power is time without service, and memory is paid for."""
    code = "import sys, clementinepin.serve; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    parts = {
        name.split(".")[1] for name in done.stdout.split() if name.startswith("clementinepin.")
    }
    unused = {"batch", "claims", "config", "entry", "fleet", "peers", "scheduling", "storage"}
    assert not parts & unused
    assert "clementinepin.infrastructure.clients" not in done.stdout.split()
