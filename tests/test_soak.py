"""A short seeded soak of the real daemons, and each seed that ever failed."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SEEDS = {1: "the first seed that was played"}


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken(seed):
    command = [sys.executable, "-m", "soak", "--seeds", str(seed), "--seconds", "6"]
    command += ["--net", str(10 + seed % 100)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=150)
    assert done.returncode == 0, done.stdout + done.stderr
