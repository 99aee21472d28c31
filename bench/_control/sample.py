"""Read the resource use of a process: processor time, memory, bytes, messages and calls."""

from __future__ import annotations

import json
import os
import time
from collections import Counter
from pathlib import Path
from typing import Final, NamedTuple

import gevent
from gevent.server import DatagramServer

TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
UTIME_FIELD: Final = 11
STIME_FIELD: Final = 12
KIB_BYTES: Final = 1024
KEY_VALUE_PREFIX: Final = "clementinepin.infrastructure.key_value.calls."


class Reading(NamedTuple):
    """Totals of a process since its start; ``at`` is monotonic time in seconds."""

    at: float
    cpu_s: float
    resident_bytes: int
    counts: Counter[str]


class StatsCollector:
    """Receives statsd packets of a daemon and sums its counters."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self._server = DatagramServer("127.0.0.1:0", self._handle_packet)
        self._server.start()

    @property
    def port(self) -> int:
        """Return the UDP port that receives the packets."""
        return int(self._server.server_port)

    def stop(self) -> None:
        """Stop the server."""
        self._server.stop()

    def _handle_packet(self, data: bytes, _: object) -> None:
        for line in data.decode().splitlines():
            name, _, rest = line.partition(":")
            value, _, kind = rest.partition("|")
            if kind.startswith("c"):
                self.counters[name] += int(float(value))


class Meter:
    """Reads the totals and rates of one process."""

    def __init__(self, pid: int, counts_path: Path, stats: StatsCollector) -> None:
        self._pid = pid
        self._counts_path = counts_path
        self._stats = stats

    def read(self) -> Reading:
        """Return the current totals."""
        counts = Counter(json.loads(self._counts_path.read_text()))
        for name, value in self._stats.counters.items():
            if name.startswith(KEY_VALUE_PREFIX):
                counts["key_value_calls"] += value
        counts["requests"] = self._stats.counters["clementinepin.entry.requests"]
        return Reading(
            time.monotonic(), read_cpu_s(self._pid), read_resident_bytes(self._pid), counts
        )

    def measure(self, window_s: float) -> dict[str, float]:
        """Wait for the window; return rates per second over it and the memory at its end."""
        first = self.read()
        gevent.sleep(window_s)
        last = self.read()
        elapsed_s = last.at - first.at
        rates = {k: (last.counts[k] - first.counts[k]) / elapsed_s for k in last.counts}
        return {
            "cpu": (last.cpu_s - first.cpu_s) / elapsed_s,
            "resident_bytes": float(last.resident_bytes),
            "bytes_in_per_s": rates.get("bytes_in", 0.0),
            "bytes_out_per_s": rates.get("bytes_out", 0.0),
            "messages_per_s": rates.get("calls_in", 0.0) + rates.get("calls_out", 0.0),
            "key_value_calls_per_s": rates.get("key_value_calls", 0.0),
        }


def read_cpu_s(pid: int) -> float:
    """Return the processor seconds of a process, including those of ended threads."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])) / TICKS_PER_S


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes, or 0 if it is not reported."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIB_BYTES
    return 0
