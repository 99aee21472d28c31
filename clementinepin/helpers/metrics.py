"""Interface for metrics and its statsd client."""

from __future__ import annotations

from typing import Protocol

import statsd


class Metrics(Protocol):
    """Counters, gauges and timings. Names are dotted and include the unit."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a time in milliseconds."""


class _NullMetrics:
    def incr(self, stat: str, count: int = 1) -> None:
        return

    def gauge(self, stat: str, value: float) -> None:
        return

    def timing(self, stat: str, delta: float) -> None:
        return


def create_metrics(host: str | None, port: int, prefix: str) -> Metrics:
    """Return a statsd client; without a host, return one that discards everything."""
    if not host:
        return _NullMetrics()
    return statsd.StatsClient(host, port, prefix=prefix)
