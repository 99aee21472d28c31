"""Sources of time. Decision logic takes ``now`` as an argument; its callers read a clock."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic and wall-clock time, both in seconds."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary point; the value never decreases."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class _SystemClock:
    def monotonic(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()


class ManualClock:
    """A clock for tests that advances only when a test advances it."""

    def __init__(self, now: float = 1_000_000.0) -> None:
        self.now = now

    def monotonic(self) -> float:
        """Return the current time of this clock."""
        return self.now

    def wall(self) -> float:
        """Return the current time of this clock."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds


def create_system_clock() -> Clock:
    """Return the clock of the operating system."""
    return _SystemClock()
