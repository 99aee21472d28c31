"""Rows of the instance list, which become visible after a lag."""

from __future__ import annotations

from collections.abc import Iterable

from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure import ListedInstance
from clementinepin.infrastructure.exceptions import PlatformUnavailableError


class LaggingTable:
    """Holds the rows; changes become visible after ``lag_s`` seconds."""

    def __init__(self, clock: Clock, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self._clock = clock
        self._history: list[tuple[float, tuple[ListedInstance, ...]]] = []

    def set_rows(self, rows: Iterable[ListedInstance]) -> None:
        """Replace all rows."""
        self._history.append((self._clock.monotonic(), tuple(rows)))

    def list_rows(self) -> list[ListedInstance]:
        """Return the rows that are visible now; the first rows set are visible at once."""
        visible_before = self._clock.monotonic() - self.lag_s
        while len(self._history) > 1 and self._history[1][0] <= visible_before:
            self._history.pop(0)
        return list(self._history[0][1]) if self._history else []


class MemoryInstanceList:
    """Implements the HTTP client's Protocol over a table in the same process."""

    def __init__(self, table: LaggingTable) -> None:
        self.table = table
        self.available = True

    def fetch(self) -> list[ListedInstance]:
        """Return the visible rows; raise PlatformUnavailableError while not ``available``."""
        if not self.available:
            raise PlatformUnavailableError("instance list is unavailable")
        return self.table.list_rows()
