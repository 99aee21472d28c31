"""Measure the cost of one daemon while one quantity at a time is varied.

Each ``vary_*`` function returns one point per value; ``x`` is the value.
"""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Final, NamedTuple

import gevent

from bench._control.fit import fit_line
from bench._control.rig import Rig
from bench._control.sample import Reading
from standins.processes import ProcessGroup

NODES_BASE: Final = 6
WORKERS_BASE: Final = 8
SETTLE_S: Final = 2.0

Point = dict[str, float]


class Window(NamedTuple):
    """Seconds to measure each point, and to wait before it."""

    seconds: float
    settle_s: float


@contextmanager
def open_rig(
    *, nodes: int = NODES_BASE, workers: int = WORKERS_BASE, listed: int | None = None
) -> Iterator[Rig]:
    """Start a rig with a small file set in force and stop it on exit."""
    with (
        tempfile.TemporaryDirectory(prefix="clementinepin-control-") as folder,
        ProcessGroup(Path(folder)) as group,
    ):
        rig = Rig(group, nodes=nodes, workers=workers, listed=listed).start()
        try:
            rig.apply()
            yield rig
        finally:
            rig.stop()


def vary_nodes(values: list[int], window: Window) -> list[Point]:
    """Vary the number of instances; each point starts a new fleet."""
    points = []
    for nodes in values:
        with open_rig(nodes=nodes) as rig:
            gevent.sleep(window.settle_s * 2)
            points.append({"x": float(nodes), **rig.meter.measure(window.seconds)})
    return points


def vary_workers(values: list[int], window: Window) -> list[Point]:
    """Vary the number of engines in the instance list; ``values`` must increase."""
    with open_rig(workers=max(values), listed=min(values)) as rig:

        def set_workers(workers: int) -> None:
            rig.publish_workers(workers)
            gevent.sleep(window.settle_s)

        return _measure_each(rig, values, set_workers, window)


def vary_accounts(values: list[int], window: Window) -> list[Point]:
    """Vary the number of client accounts."""
    return _vary_file_set(values, window, lambda n: {"accounts": n})


def vary_models(values: list[int], window: Window) -> list[Point]:
    """Vary the number of models."""
    return _vary_file_set(values, window, lambda n: {"models": n, "applications": n})


def vary_configuration_bytes(values: list[int], window: Window) -> list[Point]:
    """Vary the size of the file set by the number of applications; x is bytes."""
    points = []
    with open_rig() as rig:
        for applications in values:
            size = rig.apply(applications=applications)
            gevent.sleep(window.settle_s)
            points.append({"x": float(size), **rig.meter.measure(window.seconds)})
    return points


def vary_changes(values: list[float], window: Window) -> list[Point]:
    """Vary configuration changes per second; x is the measured rate."""
    points = []
    with open_rig() as rig:
        for rate in values:
            changes = gevent.spawn(_apply_at_rate, rig, rate)
            gevent.sleep(window.settle_s)
            first, started = rig.read_revision(), time.monotonic()
            point = rig.meter.measure(max(window.seconds, 3 / (rate or 3)))
            measured_rate = (rig.read_revision() - first) / (time.monotonic() - started)
            points.append({"x": measured_rate, **point})
            changes.kill()
    return points


def vary_change_accounts(values: list[int], window: Window) -> list[Point]:
    """Vary the number of accounts and measure one change that another instance accepts.

    The figures are totals of the change above idle. ``accept_s`` is the time until the accepting
    instance has answered.
    """
    points = []
    with open_rig() as rig:
        for accounts in values:
            rig.apply(accounts=accounts)
            gevent.sleep(window.settle_s)
            idle = rig.meter.measure(window.seconds)
            first, started = rig.meter.read(), time.monotonic()
            revision, accept_s = rig.apply_elsewhere(accounts=accounts, change=1)
            gevent.sleep(max(0.0, window.seconds - (time.monotonic() - started)))
            last = rig.meter.read()
            rig.wait_revision(revision)
            elapsed_s = last.at - first.at
            points.append(
                {
                    "x": float(accounts),
                    "accept_s": accept_s,
                    "cpu_s": last.cpu_s - first.cpu_s - idle["cpu"] * elapsed_s,
                    "bytes_in": _compute_increase(first, last, "bytes_in")
                    - idle["bytes_in_per_s"] * elapsed_s,
                    "bytes_out": _compute_increase(first, last, "bytes_out")
                    - idle["bytes_out_per_s"] * elapsed_s,
                }
            )
    return points


def vary_jobs(values: list[int], window: Window) -> list[Point]:
    """Vary the number of ended jobs that the fleet keeps."""
    with open_rig() as rig:
        rig.wait_serving()
        submitted = [0]

        def set_jobs(jobs: int) -> None:
            while submitted[0] < jobs:
                rig.run_job(f"job-{submitted[0]}", items=1)
                submitted[0] += 1
            gevent.sleep(window.settle_s)

        return _measure_each(rig, values, set_jobs, window)


def vary_requests(values: list[int], window: Window) -> list[Point]:
    """Vary online requests per second, of one token each; x is the measured rate."""
    points = []
    with open_rig() as rig:
        rig.wait_serving()
        for rate in values:
            load = gevent.spawn(_request_at_rate, rig, rate)
            gevent.sleep(window.settle_s)
            before = rig.meter.read().counts["requests"]
            point = rig.meter.measure(window.seconds)
            measured_rate = (rig.meter.read().counts["requests"] - before) / window.seconds
            points.append({"x": measured_rate, **point})
            load.kill()
    return points


def vary_streams(values: list[int], window: Window) -> list[Point]:
    """Vary the number of open streams; ``tokens_per_s`` is their total rate."""
    points = []
    with open_rig(workers=max(values) // 8 + 1) as rig:
        rig.wait_serving()
        for streams in values:
            token_count = [0]
            load = [gevent.spawn(_stream_forever, rig, token_count) for _ in range(streams)]
            gevent.sleep(window.settle_s)
            before, started = token_count[0], time.monotonic()
            point = rig.meter.measure(window.seconds)
            rate = (token_count[0] - before) / (time.monotonic() - started)
            points.append({"x": float(streams), "tokens_per_s": rate, **point})
            gevent.killall(load)
    return points


def vary_queued(values: list[int], window: Window) -> list[Point]:
    """Vary the number of requests that wait for a slot at one instance."""
    points = []
    with open_rig(workers=1) as rig:
        rig.wait_serving()
        waiting: list[gevent.Greenlet] = []
        for queued in values:
            while len(waiting) < queued:
                waiting.append(gevent.spawn(rig.complete, 100_000, stream=True))
            gevent.sleep(window.settle_s)
            points.append({"x": float(queued), **rig.meter.measure(window.seconds)})
        gevent.killall(waiting)
    return points


def vary_items(values: list[int], window: Window) -> list[Point]:
    """Vary the items of one job and measure totals of calls, bytes and processor seconds."""
    points = []
    with open_rig() as rig:
        rig.wait_serving()
        for items in values:
            gevent.sleep(window.settle_s)
            first, calls = rig.meter.read(), rig.count_key_value_calls()
            started = time.monotonic()
            rig.run_job(f"items-{items}", items=items)
            last = rig.meter.read()
            points.append(
                {
                    "x": float(items),
                    "seconds": time.monotonic() - started,
                    "cpu_s": last.cpu_s - first.cpu_s,
                    "resident_bytes": float(last.resident_bytes),
                    "key_value_calls": float(rig.count_key_value_calls() - calls),
                    "bytes_in": _compute_increase(first, last, "bytes_in"),
                    "bytes_out": _compute_increase(first, last, "bytes_out"),
                }
            )
    return points


def fit_points(points: list[Point]) -> dict[str, dict[str, float]]:
    """Return the slope, intercept and residual of a linear fit of each quantity against x."""
    xs = [point["x"] for point in points]
    names = [name for name in points[0] if name != "x"]
    return {name: fit_line(xs, [p[name] for p in points])._asdict() for name in names}


def _compute_increase(first: Reading, last: Reading, name: str) -> float:
    return float(last.counts[name] - first.counts[name])


def _vary_file_set(
    values: list[int], window: Window, make_sizes: Callable[[int], dict[str, int]]
) -> list[Point]:
    with open_rig() as rig:

        def apply(value: int) -> None:
            rig.apply(**make_sizes(value))
            gevent.sleep(window.settle_s)

        return _measure_each(rig, values, apply, window)


def _measure_each(
    rig: Rig, values: list[int], change: Callable[[int], None], window: Window
) -> list[Point]:
    points = []
    for value in values:
        change(value)
        points.append({"x": float(value), **rig.meter.measure(window.seconds)})
    return points


def _apply_at_rate(rig: Rig, rate: float) -> None:
    number = 0
    while rate:
        number += 1
        rig.apply(change=number)
        gevent.sleep(1 / rate)


def _request_at_rate(rig: Rig, rate: int) -> None:
    while rate:
        gevent.spawn(rig.complete, 1)
        gevent.sleep(1 / rate)


def _stream_forever(rig: Rig, token_count: list[int]) -> None:
    def count(_: int, __: str) -> None:
        token_count[0] += 1

    while True:
        rig.complete(100_000, stream=True, on_token=count)
