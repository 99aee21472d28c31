"""Runs a repeatable call again, another way, while its first answer stays out."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final, TypeVar

import gevent
from gevent.queue import Queue
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.infrastructure.exceptions import (
    CutOffError,
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)

HEDGE_S: Final = 0.12  # many times a usual call; three tries fit into the objective of a job
T = TypeVar("T")


def run_hedged(attempts: Sequence[Callable[[], T]], pause_s: float = HEDGE_S) -> T:
    """Return the first answer; the next attempt starts when one failed or is out for long.

    Attempts that are still out go on unheard, so each must be harmless when done twice. Raises
    VersionConflictError as soon as one meets it, and ReplyLostError when any may have been done;
    PlatformUnavailableError only when none was.
    """
    outcomes: Queue = Queue()
    waiting = list(attempts)
    failures: list[ClementinepinError] = []
    out = 0
    while waiting or out:
        if waiting:
            gevent.spawn(_run, waiting.pop(0), outcomes)
            out += 1
        with gevent.Timeout(pause_s if waiting else None, False):
            result, failure = outcomes.get()
            out -= 1
            if failure is None:
                return result  # type: ignore[no-any-return]
            if isinstance(failure, VersionConflictError):
                raise failure
            failures.append(failure)
    raise choose_failure(failures)


def choose_failure(failures: Sequence[ClementinepinError]) -> ClementinepinError:
    """Return the failure that promises least."""
    for kind in (ReplyLostError, CutOffError, PlatformUnavailableError):
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
        # Unheard of here, an attempt would be awaited for ever; and what it did is unknown.
        logger.opt(exception=err).error("attempt_failed")
        outcomes.put((None, ReplyLostError(f"attempt failed: {err!r}")))
