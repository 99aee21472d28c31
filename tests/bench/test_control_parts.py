from __future__ import annotations

import os
import threading
from collections import Counter

import gevent
import pytest
from gevent import socket

from bench._control import metered
from bench._control.dimensions import fit_points
from bench._control.rig import make_files
from bench._control.sample import (
    TICKS_PER_S,
    StatsCollector,
    read_cpu_s,
    read_resident_bytes,
)
from clementinepin.config import load_files


@pytest.mark.parametrize(
    "sizes", [{}, {"accounts": 300}, {"models": 7, "applications": 40}, {"change": 5}]
)
def test_generated_file_sets_are_valid_and_have_the_requested_sizes(sizes: dict[str, int]) -> None:
    files = {name: text.encode() for name, text in make_files(**sizes).items()}
    configuration = load_files(files)
    assert len(configuration.accounts) == sizes.get("accounts", 10)
    assert len(configuration.models) == sizes.get("models", 1)
    assert len(configuration.applications) == sizes.get("applications", 1)


def test_each_change_gives_a_different_digest() -> None:
    digests = {
        load_files({n: t.encode() for n, t in make_files(change=c).items()}).digest
        for c in range(3)
    }
    assert len(digests) == 3


def test_statsd_counters_are_summed_and_gauges_ignored() -> None:
    """Mutation: treat every kind of line as a counter."""
    stats = StatsCollector()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for packet in (b"a.calls:2|c\na.size:9|g", b"a.calls:3|c"):
            sender.sendto(packet, ("127.0.0.1", stats.port))
    with gevent.Timeout(5):
        while stats.counters["a.calls"] < 5:
            gevent.sleep(0.001)
    stats.stop()
    assert stats.counters == {"a.calls": 5}


def test_bytes_and_calls_of_a_patched_socket_are_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Mutation: count calls instead of bytes."""

    class FakeSocket:
        def send(self, data: bytes) -> int:
            return len(data) - 1

        def recv(self, size: int) -> bytes:
            return b"x" * size

    monkeypatch.setattr(metered, "counts", Counter())
    metered.patch_method(FakeSocket, "send", "out", int)
    metered.patch_method(FakeSocket, "recv", "in", len)
    fake = FakeSocket()
    fake.send(b"12345")
    fake.recv(7)
    assert metered.counts == {"bytes_out": 4, "calls_out": 1, "bytes_in": 7, "calls_in": 1}


def test_processor_time_and_memory_of_this_process_are_plausible() -> None:
    assert read_cpu_s(os.getpid()) > 0
    assert read_resident_bytes(os.getpid()) > 1_000_000


def test_processor_time_includes_ended_threads() -> None:
    """Mutation: sum only the threads that still run."""
    before_s = read_cpu_s(os.getpid())
    thread = threading.Thread(target=lambda: sum(range(6_000_000)))
    thread.start()
    thread.join()
    assert read_cpu_s(os.getpid()) - before_s >= 1 / TICKS_PER_S


def test_each_quantity_gets_a_fit() -> None:
    points = [{"x": 1.0, "a": 2.0, "b": 5.0}, {"x": 3.0, "a": 6.0, "b": 5.0}]
    fits = fit_points(points)
    assert fits["a"]["slope"] == pytest.approx(2.0)
    assert fits["b"]["slope"] == pytest.approx(0.0)
    assert set(fits) == {"a", "b"}
