"""Measure control and data-path costs of one real daemon while one quantity at a time varies.

Usage:
  control [--short] [--only NAMES] [--output FILE]

Options:
  --short          Vary nodes, workers and accounts only, with short windows, in under 50 s.
  --only NAMES     Quantities to vary, separated by commas.
  --output FILE    Merge the points and fits into this JSON file and write a plot next to it.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from docopt import docopt

from bench._control import dimensions as dim
from bench._control.dimensions import Window, fit_points
from standins.processes import stop_on_signal

VaryFunction = Callable[[list[Any], Window], list[dict[str, float]]]

WINDOW_SHORT: Final = Window(seconds=1.5, settle_s=0.3)
WINDOW_FULL: Final = Window(seconds=6.0, settle_s=2.0)
FULL: Final[dict[str, tuple[VaryFunction, list[Any]]]] = {
    "nodes": (dim.vary_nodes, [2, 6, 12, 24, 36]),
    "workers": (dim.vary_workers, [6, 18, 36, 72, 144]),
    "accounts": (dim.vary_accounts, [10, 1000, 4000, 8000]),
    "models": (dim.vary_models, [1, 3, 5, 7]),
    "configuration_bytes": (dim.vary_configuration_bytes, [1, 400, 1600, 4000]),
    "changes_per_s": (dim.vary_changes, [0.0, 0.25, 0.5, 1.0]),
    "change_accounts": (dim.vary_change_accounts, [10, 1000, 4000, 13_000]),
    "jobs": (dim.vary_jobs, [0, 10, 20, 40]),
    "requests_per_s": (dim.vary_requests, [0, 15, 30, 60]),
    "streams": (dim.vary_streams, [0, 8, 16, 32, 64]),
    "queued": (dim.vary_queued, [0, 100, 200, 400]),
    "items": (dim.vary_items, [100, 400, 1600, 3200]),
}
SHORT: Final[dict[str, list[Any]]] = {
    "nodes": [2, 4, 6, 8],
    "workers": [4, 8, 16, 32],
    "accounts": [10, 500, 1000, 2000],
}


def main() -> None:
    """Vary each quantity and print the fits as one JSON object."""
    args = docopt(__doc__ or "")
    stop_on_signal()
    window = WINDOW_SHORT if args["--short"] else WINDOW_FULL
    experiments = {n: (FULL[n][0], v) for n, v in SHORT.items()} if args["--short"] else FULL
    names = args["--only"].split(",") if args["--only"] else list(experiments)
    result: dict[str, Any] = {}
    for name in names:
        vary, values = experiments[name]
        started = time.monotonic()
        points = vary(values, window)
        result[name] = {"points": points, "fits": fit_points(points)}
        print(f"{name}: {time.monotonic() - started:.0f} s", file=sys.stderr, flush=True)
        if args["--output"]:
            _save_quantity(Path(args["--output"]), name, result[name])
    print(json.dumps({name: value["fits"] for name, value in result.items()}))


def _save_quantity(path: Path, name: str, value: dict[str, Any]) -> None:
    """Merge one quantity into the file, so that an interrupted run keeps its results."""
    stored = json.loads(path.read_text()) if path.exists() else {}
    stored[name] = value
    path.write_text(json.dumps(stored, indent=1, sort_keys=True) + "\n")
    from bench._control.plot import draw

    draw(stored, path.with_suffix(".svg"))


if __name__ == "__main__":
    main()
