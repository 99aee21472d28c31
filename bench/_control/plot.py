"""Plot the measured points and fitted lines; needs the optional extra ``plot``."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Final

import matplotlib as mpl

mpl.use("svg")
import matplotlib.pyplot as plt

QUANTITIES: Final = ("cpu", "resident_bytes", "bytes_out_per_s", "key_value_calls_per_s")
PANEL_INCHES: Final = (3.2, 2.4)


def draw(stored: dict[str, Any], path: Path) -> None:
    """Write an SVG file with one row per varied quantity and one column per cost."""
    mpl.rcParams["svg.hashsalt"] = "clementinepin"
    names = sorted(stored)
    width, height = PANEL_INCHES
    figure, axes = plt.subplots(
        len(names),
        len(QUANTITIES),
        squeeze=False,
        figsize=(width * len(QUANTITIES), height * len(names)),
    )
    for row, name in enumerate(names):
        for column, quantity in enumerate(QUANTITIES):
            _draw_panel(axes[row][column], name, quantity, stored[name])
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)


def _draw_panel(panel: Any, name: str, quantity: str, value: dict[str, Any]) -> None:
    points = [(p["x"], p[quantity]) for p in value["points"] if quantity in p]
    if not points:
        panel.axis("off")
        return
    xs, ys = zip(*points, strict=True)
    fit = value["fits"][quantity]
    panel.plot(xs, ys, "o", markersize=4)
    panel.plot(xs, [fit["intercept"] + fit["slope"] * x for x in xs], "-", linewidth=1)
    panel.set_xlabel(name, fontsize=7)
    panel.set_ylabel(quantity, fontsize=7)
    panel.tick_params(labelsize=6)
