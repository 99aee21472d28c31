"""Counters and latency histograms of one instance, in the Prometheus text format."""

from __future__ import annotations

from typing import Any, Final

import gevent
from loguru import logger
from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

SUMMARY_PERIOD_S: Final = 10.0  # counters are also logged, in case nothing scrapes them
BUCKETS_S: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 20.0)


class ServingMetrics:
    """All metrics of one instance, in a registry of their own."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = self._make_counter("requests_total", "Requests by outcome", "outcome")
        self._relayed = self._make_counter("relayed_total", "Runs through others by kind", "kind")
        name = "leaving_targets_total"
        self._leaving = self._make_counter(name, "Targets that said that they leave")
        self._store_calls = self._make_counter("store_calls_total", "Calls by kind", "kind")
        self._items = self._make_counter("item_runs_total", "Runs of items by outcome", "outcome")
        self._request_s = self._make_histogram("request_seconds", "Whole time of a request")
        self._slot_wait_s = self._make_histogram("slot_wait_seconds", "Wait for a slot")
        self._store_s = self._make_histogram("store_call_seconds", "Time of a store call")
        self.counts: dict[str, int] = {}

    def count_request(self, outcome: str, took_s: float, waited_s: float) -> None:
        """Count a request that ended, with its total time and its wait for slots in seconds."""
        self._requests.labels(outcome).inc()
        self._request_s.observe(took_s)
        self._slot_wait_s.observe(waited_s)
        self._count(f"request_{outcome}")

    def count_item_run(self, outcome: str) -> None:
        """Count a run of a batch item that ended."""
        self._items.labels(outcome).inc()
        self._count(f"item_{outcome}")

    def count_relayed(self, kind: str) -> None:
        """Count a request or the run of an item whose target only another instance reached."""
        self._relayed.labels(kind).inc()
        self._count(f"relayed_{kind}")

    def count_leaving_target(self) -> None:
        """Count a target that said in a response that it leaves."""
        self._leaving.inc()
        self._count("leaving_targets")

    def count_store_call(self, kind: str, took_s: float) -> None:
        """Count a store call and its time in seconds."""
        self._store_calls.labels(kind).inc()
        self._store_s.observe(took_s)
        self._count(f"store_{kind}")

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def run_summaries(self) -> None:
        """Log the counters every SUMMARY_PERIOD_S until killed."""
        while True:
            gevent.sleep(SUMMARY_PERIOD_S)
            logger.bind(**self.counts).info("counters")

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def _make_counter(self, name: str, text: str, *labels: str) -> Any:
        return Counter(f"clementinepin_{name}", text, labels, registry=self._registry)

    def _make_histogram(self, name: str, text: str) -> Any:
        full = f"clementinepin_{name}"
        return Histogram(full, text, buckets=BUCKETS_S, registry=self._registry)
