"""Tests that unexpected errors are logged, within bounds, and end nothing else."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from loguru import logger

from clementinepin.helpers import containment
from clementinepin.helpers.containment import contain_failure, keep_running, report_failure


@pytest.fixture
def lines() -> Iterator[list[Any]]:
    lines: list[Any] = []
    containment._reported_at.clear()
    sink = logger.add(lambda message: lines.append(message.record["extra"]), level="INFO")
    yield lines
    logger.remove(sink)
    containment._reported_at.clear()


def test_a_block_that_fails_is_logged_and_left(lines: list[Any]) -> None:
    for key in ("a", "b", "a"):
        with contain_failure("rows", key=key):
            raise RecursionError("too deep")
    with contain_failure("rows", key="c"):
        raise KeyError("c")
    rows = [(row["place"], row["key"], row["error"]) for row in lines]
    assert rows == [
        ("rows", "a", "RecursionError: too deep"),
        ("rows", "b", "RecursionError: too deep"),
        ("rows", "c", "KeyError: 'c'"),
    ]


def test_a_loop_that_fails_starts_again(lines: list[Any], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(containment, "RESTART_PAUSE_S", 0.0)
    runs = iter((ValueError("1"), OverflowError("2"), None))

    def run() -> None:
        error = next(runs)
        if error is not None:
            raise error

    keep_running("loop", run)
    assert [row["error"] for row in lines] == ["ValueError: 1", "OverflowError: 2"]


def test_the_end_of_a_greenlet_is_no_failure(lines: list[Any]) -> None:
    greenlet = gevent.spawn(keep_running, "loop", lambda: gevent.sleep(60))
    gevent.sleep(0)
    greenlet.kill()
    assert greenlet.ready()
    assert not lines


def test_a_timeout_is_no_failure() -> None:
    with pytest.raises(gevent.Timeout), gevent.Timeout(0.001), contain_failure("wait"):
        gevent.sleep(60)


def test_reports_are_bounded(lines: list[Any]) -> None:
    for n in range(containment.FAILURES_MAX + 10):
        report_failure(f"place {n}", ValueError("x" * 100_000), key="k" * 100_000)
    assert len(containment._reported_at) == containment.FAILURES_MAX
    assert all(len(str(row)) < 2_000 for row in lines)
