"""The quantities that are varied, each alone, and how."""

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
    """How long each point is measured, in seconds."""

    seconds: float
    settle_s: float


@contextmanager
def open_rig(
    *, nodes: int = NODES_BASE, workers: int = WORKERS_BASE, listed: int | None = None
) -> Iterator[Rig]:
    """Start a rig with a small file set in force, and stop it at the end."""
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
    """Measure against the number of instances; each point is a fresh fleet."""
    points = []
    for nodes in values:
        with open_rig(nodes=nodes) as rig:
            gevent.sleep(window.settle_s * 2)
            points.append({"x": float(nodes), **rig.meter.measure(window.seconds)})
    return points


def vary_workers(values: list[int], window: Window) -> list[Point]:
    """Measure against the number of engines in the instance list; it only grows."""
    with open_rig(workers=max(values), listed=min(values)) as rig:

        def set_workers(workers: int) -> None:
            rig.publish_workers(workers)
            gevent.sleep(window.settle_s)

        return _measure_each(rig, values, set_workers, window)


def vary_accounts(values: list[int], window: Window) -> list[Point]:
    """Measure against the number of client accounts."""
    return _vary_files(values, window, lambda n: {"accounts": n})


def vary_models(values: list[int], window: Window) -> list[Point]:
    """Measure against the number of models."""
    return _vary_files(values, window, lambda n: {"models": n, "applications": n})


def vary_configuration_bytes(values: list[int], window: Window) -> list[Point]:
    """Measure against the size of the file set, by applications; x is bytes."""
    points = []
    with open_rig() as rig:
        for applications in values:
            size = rig.apply(applications=applications)
            gevent.sleep(window.settle_s)
            points.append({"x": float(size), **rig.meter.measure(window.seconds)})
    return points


def vary_changes(values: list[float], window: Window) -> list[Point]:
    """Measure against configuration changes a second; x is the rate reached."""
    points = []
    with open_rig() as rig:
        for rate in values:
            applier = gevent.spawn(_apply_at, rig, rate)
            gevent.sleep(window.settle_s)
            first, started = rig.read_revision(), time.monotonic()
            point = rig.meter.measure(max(window.seconds, 3 / (rate or 3)))
            reached = (rig.read_revision() - first) / (time.monotonic() - started)
            points.append({"x": reached, **point})
            applier.kill()
    return points


def vary_change_accounts(values: list[int], window: Window) -> list[Point]:
    """Measure one change, accepted elsewhere, against the accounts; totals above idle.

    ``accept_s`` is the time until the accepting instance has answered.
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
            span = last.at - first.at
            points.append(
                {
                    "x": float(accounts),
                    "accept_s": accept_s,
                    "cpu_s": last.cpu_s - first.cpu_s - idle["cpu"] * span,
                    "bytes_in": _grow(first, last, "bytes_in") - idle["bytes_in_per_s"] * span,
                    "bytes_out": _grow(first, last, "bytes_out") - idle["bytes_out_per_s"] * span,
                }
            )
    return points


def vary_jobs(values: list[int], window: Window) -> list[Point]:
    """Measure against the number of ended jobs that the fleet keeps."""
    with open_rig() as rig:
        rig.wait_serving()
        done = [0]

        def set_jobs(jobs: int) -> None:
            while done[0] < jobs:
                rig.run_job(f"job-{done[0]}", items=1)
                done[0] += 1
            gevent.sleep(window.settle_s)

        return _measure_each(rig, values, set_jobs, window)


def vary_requests(values: list[int], window: Window) -> list[Point]:
    """Measure against online requests a second, of one token each; x is the rate reached."""
    points = []
    with open_rig() as rig:
        rig.wait_serving()
        for rate in values:
            load = gevent.spawn(_request_at, rig, rate)
            gevent.sleep(window.settle_s)
            before = rig.meter.read().counts["requests"]
            point = rig.meter.measure(window.seconds)
            reached = (rig.meter.read().counts["requests"] - before) / window.seconds
            points.append({"x": reached, **point})
            load.kill()
    return points


def vary_streams(values: list[int], window: Window) -> list[Point]:
    """Measure against open streams; x is the number, ``tokens_per_s`` what they relay."""
    points = []
    with open_rig(workers=max(values) // 8 + 1) as rig:
        rig.wait_serving()
        for streams in values:
            counted = [0]
            load = [gevent.spawn(_stream_for_ever, rig, counted) for _ in range(streams)]
            gevent.sleep(window.settle_s)
            before, started = counted[0], time.monotonic()
            point = rig.meter.measure(window.seconds)
            rate = (counted[0] - before) / (time.monotonic() - started)
            points.append({"x": float(streams), "tokens_per_s": rate, **point})
            gevent.killall(load)
    return points


def vary_queued(values: list[int], window: Window) -> list[Point]:
    """Measure against requests that wait at one instance for a slot."""
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
    """Measure one whole job against its items: totals of calls and processor seconds."""
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
                    "bytes_in": _grow(first, last, "bytes_in"),
                    "bytes_out": _grow(first, last, "bytes_out"),
                }
            )
    return points


def fit_points(points: list[Point]) -> dict[str, dict[str, float]]:
    """Return slope, intercept and residual of each quantity against x."""
    xs = [point["x"] for point in points]
    names = [name for name in points[0] if name != "x"]
    return {name: fit_line(xs, [p[name] for p in points])._asdict() for name in names}


def _grow(first: Reading, last: Reading, name: str) -> float:
    return float(last.counts[name] - first.counts[name])


def _vary_files(
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


def _apply_at(rig: Rig, rate: float) -> None:
    number = 0
    while rate:
        number += 1
        rig.apply(change=number)
        gevent.sleep(1 / rate)


def _request_at(rig: Rig, rate: int) -> None:
    while rate:
        gevent.spawn(rig.complete, 1)
        gevent.sleep(1 / rate)


def _stream_for_ever(rig: Rig, counted: list[int]) -> None:
    def count(_: int, __: str) -> None:
        counted[0] += 1

    while True:
        rig.complete(100_000, stream=True, on_token=count)
