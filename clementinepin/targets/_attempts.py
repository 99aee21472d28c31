"""Attempts to reach a target that run beside each other and report into one queue."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import gevent
from gevent.queue import Queue
from loguru import logger

from clementinepin.targets.exceptions import TargetNotReachedError


class Outcome(NamedTuple):
    """What an attempt came to: ``result``, or ``failure`` if there is none."""

    name: str
    result: Any = None
    failure: TargetNotReachedError | None = None


def start_attempt(outcomes: Queue, name: str, attempt: Callable[[], Any]) -> None:
    """Run an attempt in a new greenlet and put its Outcome into the queue."""
    gevent.spawn(_run_attempt, outcomes, name, attempt)


def _run_attempt(outcomes: Queue, name: str, attempt: Callable[[], Any]) -> None:
    try:
        outcomes.put(Outcome(name, attempt()))
    except TargetNotReachedError as err:
        outcomes.put(Outcome(name, failure=err))
    except Exception as err:
        # Without an outcome the others would be waited for without end.
        logger.opt(exception=err).error("attempt_failed")
        outcomes.put(Outcome(name, failure=TargetNotReachedError(f"attempt failed: {err!r}")))
