"""Sources of time. Decisions take ``now`` as an argument; adapters read a clock."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic and wall-clock time, both in seconds."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary point; never falls."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class _SystemClock:
    def monotonic(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()


class ManualClock:
    """A clock for tests that moves only when told."""

    def __init__(self, now: float = 1_000_000.0) -> None:
        self.now = now

    def monotonic(self) -> float:
        """Return the set time."""
        return self.now

    def wall(self) -> float:
        """Return the set time."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move forward."""
        self.now += seconds


def create_system_clock() -> Clock:
    """Return the clock of the operating system."""
    return _SystemClock()
