"""Print results as tables or JSON, and progress on a terminal."""

from __future__ import annotations

import sys
import time
from collections.abc import Mapping, Sequence
from typing import Any, TextIO

import msgspec

COLUMN_GAP = "  "
PROGRESS_INTERVAL_MIN_S = 0.5


class Printer:
    """Writes results to one stream, errors and progress to another."""

    def __init__(
        self, *, as_json: bool, out: TextIO | None = None, err: TextIO | None = None
    ) -> None:
        self._as_json = as_json
        self._out = out or sys.stdout
        self._err = err or sys.stderr
        self._progress_at = 0.0
        self._progress_open = False

    def print_value(self, value: Any) -> None:
        """Print rows as a table or a mapping as lines; print either as JSON if that was chosen."""
        self.end_progress()
        if self._as_json:
            self._out.write(msgspec.json.encode(value, order="sorted").decode() + "\n")
        elif isinstance(value, Mapping):
            self._out.write(format_mapping(value))
        else:
            self._out.write(format_rows(value))
        self._out.flush()

    def print_error(self, code: str, message: str, retry_at: float | None) -> None:
        """Print an error; ``retry_at`` is wall-clock time in seconds."""
        self.end_progress()
        if self._as_json:
            error = {"code": code, "message": message, "retry_at": retry_at}
            self._err.write(msgspec.json.encode({"error": error}).decode() + "\n")
            return
        hint = f" Try again at {format_time(retry_at)}." if retry_at else ""
        self._err.write(f"clementinepin: {code}: {message}.{hint}\n")

    def show_progress(self, text: str) -> None:
        """Replace the progress line on a terminal; do nothing elsewhere.

        Calls within ``PROGRESS_INTERVAL_MIN_S`` of the last shown line are ignored.
        """
        now = time.monotonic()
        if not self._err.isatty() or now - self._progress_at < PROGRESS_INTERVAL_MIN_S:
            return
        self._progress_at = now
        self._progress_open = True
        self._err.write(f"\r\x1b[K{text}")
        self._err.flush()

    def end_progress(self) -> None:
        """Clear the progress line if one is shown."""
        if self._progress_open:
            self._progress_open = False
            self._err.write("\r\x1b[K")
            self._err.flush()


def format_rows(rows: Sequence[Mapping[str, Any]]) -> str:
    """Return rows as an aligned table; the keys of the first row are the columns."""
    if not rows:
        return "none\n"
    columns = list(rows[0])
    table = [columns, *([format_cell(c, row.get(c)) for c in columns] for row in rows)]
    widths = [max(len(line[i]) for line in table) for i in range(len(columns))]
    lines = [
        COLUMN_GAP.join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in table
    ]
    return "".join(line.rstrip() + "\n" for line in lines)


def format_mapping(value: Mapping[str, Any]) -> str:
    """Return a mapping as text with one line for each key."""
    width = max((len(key) for key in value), default=0)
    return "".join(f"{k.ljust(width)}{COLUMN_GAP}{format_cell(k, v)}\n" for k, v in value.items())


def format_cell(name: str, value: Any) -> str:
    """Return a value as text; names ending in ``_at`` or ``_until`` are wall-clock times."""
    if value is None:
        return "-"
    if name.endswith(("_at", "_until")) and isinstance(value, (int, float)):
        return format_time(value)
    if isinstance(value, (Mapping, list)):
        return msgspec.json.encode(value).decode()
    return str(value)


def format_time(seconds: float) -> str:
    """Return a wall-clock time in seconds as an ISO 8601 time in UTC."""
    try:
        return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(seconds))
    except (ArithmeticError, OSError, TypeError, ValueError):
        return f"{seconds!r:.40}"  # no time that a calendar has
