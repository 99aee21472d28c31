"""Parser of an engine's load report in the Prometheus text format."""

from __future__ import annotations

import math
import re
from typing import Final

from clementinepin.targets.models import LoadReport

SAMPLE_PATTERN: Final = re.compile(
    r"^(?P<name>[a-zA-Z_:][\w:]*)(?:\{(?P<labels>.*)\})?\s+(?P<value>\S+)"
)
LABEL_PATTERN: Final = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')


def parse_load_report(text: str, now: float) -> LoadReport:
    """Return the load report in the text; unknown and malformed samples are ignored.

    ``now`` is the time of the report, in monotonic seconds.
    """
    values: dict[str, float] = {}
    loaded: dict[str, list[str]] = {"model": [], "adapter": []}
    role = ""
    for line in text.splitlines():
        match = SAMPLE_PATTERN.match(line)
        if match is None:
            continue
        value = _parse_value(match["value"])
        if value is None:
            continue
        labels = dict(LABEL_PATTERN.findall(match["labels"] or ""))
        name = match["name"]
        if name == "engine_loaded" and value and labels.get("kind") in loaded:
            loaded[labels["kind"]].append(_format_loaded(labels))
        elif name == "engine_role" and value:
            role = labels.get("role", "")
        else:
            values[name] = value
    return LoadReport(
        running=int(values.get("engine_running", 0)),
        waiting=int(values.get("engine_waiting", 0)),
        cache_share=values.get("engine_cache_share", 0.0),
        models=tuple(loaded["model"]),
        adapters=tuple(loaded["adapter"]),
        role=role,
        fencing_number=int(values.get("engine_fencing_number", 0)),
        reported_at=now,
    )


def _parse_value(text: str) -> float | None:
    """Return a finite number, or None; infinity and NaN can't be counts."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) else None


def _format_loaded(labels: dict[str, str]) -> str:
    name, version = labels.get("name", ""), labels.get("version", "")
    return f"{name}:{version}" if version else name
