"""Measure the resource use of the six idle instances of each example, as whole processes.

Usage:
  today [--output FILE]

Options:
  --output FILE   Write the figures into this JSON file.
"""

from __future__ import annotations

import json
import tempfile
import time
from pathlib import Path
from typing import Any, Final

import gevent
from docopt import docopt

from bench._control.sample import read_cpu_s, read_resident_bytes
from standins.caller import Caller
from standins.fleet import Fleet, load_plan
from standins.processes import ProcessGroup, stop_on_signal

EXAMPLES: Final = ("lakaz", "kirkvoice")
SETTLE_S: Final = 8.0
WINDOW_S: Final = 10.0


def main() -> None:
    """Measure both examples and print the figures as one JSON object."""
    args = docopt(__doc__ or "")
    stop_on_signal()
    result = {name: measure(Path("examples") / name) for name in EXAMPLES}
    if args["--output"]:
        Path(args["--output"]).write_text(json.dumps(result, indent=1, sort_keys=True) + "\n")
    print(json.dumps(result))


def measure(example: Path) -> dict[str, Any]:
    """Return the figures of one example.

    ``cpu`` (cores) and ``resident_mb`` are means over the daemons, ``key_value_calls_per_s`` is the
    total of all.
    """
    plan = load_plan(example / "demo" / "fleet.toml")
    with (
        tempfile.TemporaryDirectory(prefix="clementinepin-today-") as folder,
        ProcessGroup(Path(folder)) as group,
    ):
        fleet = Fleet(plan, group)
        fleet.start()
        files = {path.name: path.read_text() for path in example.glob("*.toml")}
        message = json.dumps({"base": None, "files": files}).encode()
        Caller(plan.operator_key).call(fleet.daemons[0].port, "POST", "/ops/config", message)
        gevent.sleep(SETTLE_S)
        pids = [member.process.pid for member in fleet.daemons]
        cpu_before_s, calls_before, started = (
            [read_cpu_s(p) for p in pids],
            _count_key_value_calls(fleet),
            time.monotonic(),
        )
        gevent.sleep(WINDOW_S)
        elapsed_s = time.monotonic() - started
        cpu_used_s = [read_cpu_s(p) - before for p, before in zip(pids, cpu_before_s, strict=True)]
        return {
            "cpu": sum(cpu_used_s) / len(cpu_used_s) / elapsed_s,
            "cpu_max": max(cpu_used_s) / elapsed_s,
            "resident_mb": sum(map(read_resident_bytes, pids)) / len(pids) / 1e6,
            "key_value_calls_per_s": (_count_key_value_calls(fleet) - calls_before) / elapsed_s,
        }


def _count_key_value_calls(fleet: Fleet) -> int:
    return sum(fleet.count_key_value_calls().values())


if __name__ == "__main__":
    main()
