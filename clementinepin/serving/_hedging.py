"""Hedged calls: starts further attempts of a repeatable call while there is no result."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final, TypeVar

import gevent
from gevent.queue import Queue
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.infrastructure.exceptions import (
    IsolatedFromStoreError,
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)

HEDGE_DELAY_S: Final = 0.12  # many times a usual call; three attempts fit into a job's objective
T = TypeVar("T")


def run_hedged(attempts: Sequence[Callable[[], T]], pause_s: float | None = HEDGE_DELAY_S) -> T:
    """Return the first result.

    The next attempt starts when one fails, or after ``pause_s`` seconds without an outcome,
    never without one if it is None.
    Attempts still running are not stopped and their results are ignored, so running several must
    be harmless. Raises VersionConflictError as soon as an attempt does. If all fail, raises
    ReplyLostError if any may have taken effect, and PlatformUnavailableError only if none did.
    """
    outcomes: Queue = Queue()
    remaining = list(attempts)
    failures: list[ClementinepinError] = []
    running = 0
    while remaining or running:
        if remaining:
            gevent.spawn(_run, remaining.pop(0), outcomes)
            running += 1
        with gevent.Timeout(pause_s if remaining else None, False):
            result, failure = outcomes.get()
            running -= 1
            if failure is None:
                return result  # type: ignore[no-any-return]
            if isinstance(failure, VersionConflictError):
                raise failure
            failures.append(failure)
    raise choose_failure(failures)


def choose_failure(failures: Sequence[ClementinepinError]) -> ClementinepinError:
    """Return the failure with the weakest guarantee about what was done."""
    for kind in (ReplyLostError, IsolatedFromStoreError, PlatformUnavailableError):
        for failure in failures:
            if isinstance(failure, kind):
                return failure
    return failures[-1]


def _run(attempt: Callable[[], T], outcomes: Queue) -> None:
    try:
        outcomes.put((attempt(), None))
    except ClementinepinError as err:
        outcomes.put((None, err))
    except Exception as err:
        # Without an outcome the caller would wait forever. What the attempt did is unknown.
        logger.opt(exception=err).error("attempt_failed")
        outcomes.put((None, ReplyLostError(f"attempt failed: {err!r}")))
