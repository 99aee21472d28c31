"""Contains unexpected errors, so that what works for the life of a process goes on behind them."""

from __future__ import annotations

import time
import traceback
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final

import gevent
from loguru import logger

RESTART_PAUSE_S: Final = 1.0
REPEAT_PERIOD_S: Final = 10.0  # between two reports of the same failure
FAILURES_MAX: Final = 256  # of which the last report is remembered
TEXT_MAX_CHARS: Final = 200  # errors may quote their input
FRAMES_SHOWN: Final = 3

_reported_at: OrderedDict[tuple[str, ...], float] = OrderedDict()


def report_failure(place: str, err: Exception, **context: Any) -> None:
    """Log an unexpected error at a place, the same one at most once per REPEAT_PERIOD_S.

    ``context`` says for what it came, such as the key of a row.
    """
    shown = {name: str(value)[:TEXT_MAX_CHARS] for name, value in context.items()}
    kind, now = (place, type(err).__name__, *shown.values()), time.monotonic()
    if now < _reported_at.get(kind, float("-inf")) + REPEAT_PERIOD_S:
        return
    _reported_at[kind] = now
    _reported_at.move_to_end(kind)
    if len(_reported_at) > FAILURES_MAX:
        _reported_at.popitem(last=False)
    frames = traceback.extract_tb(err.__traceback__, limit=-FRAMES_SHOWN)
    log = logger.bind(place=place, at=[f"{f.filename}:{f.lineno}" for f in frames], **shown)
    error = f"{type(err).__name__}: {str(err)[:TEXT_MAX_CHARS]}"
    log.bind(error=error).error("unexpected_failure")


@contextmanager
def contain_failure(place: str, **context: Any) -> Iterator[None]:
    """Log an unexpected error of the block and go on behind it.

    For the points at which one of many rows, messages or listeners must not stop the others.
    """
    try:
        yield
    except Exception as err:
        report_failure(place, err, **context)


def keep_running(place: str, run: Callable[[], object]) -> None:
    """Run something until it returns; log an unexpected error and start it again after a pause.

    For greenlets that live as long as the process: gevent ends them at an error, and nothing else
    would notice.
    """
    while True:
        try:
            run()
        except Exception as err:
            report_failure(place, err)
        else:
            return
        gevent.sleep(RESTART_PAUSE_S)
