"""Background loops of the batch component: a step per period, or sooner when woken."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.decoding import REASON_MAX_CHARS
from clementinepin.helpers.metrics import Metrics
from clementinepin.helpers.rows import KEY_MAX_CHARS
from clementinepin.infrastructure.exceptions import PlatformUnavailableError, ReplyLostError

LOG_PREFIX = "batch:"
STEP_PAUSE_MIN_S = 0.005
IDLE_PERIOD_S = 1.0
# Errors that are not due to the job for which they were raised.
UNAVAILABLE_ERRORS = (PlatformUnavailableError, ReplyLostError)


def log_failed_job(step: str, job_id: str, err: Exception) -> None:
    """Log that a step failed for one job; it goes on with the others."""
    reason = f"{type(err).__name__}: {err}"[:REASON_MAX_CHARS]
    name = job_id[:KEY_MAX_CHARS]
    logger.warning("{} Step {} failed for {}: {}.", LOG_PREFIX, step, name, reason)


class StepLoop:
    """Runs a step periodically.

    Errors of this system, such as an unavailable platform or storage, are expected: they are
    counted, not logged. Other exceptions are logged. While ``is_busy`` returns False the period
    is ``IDLE_PERIOD_S``.
    """

    def __init__(
        self,
        step: Callable[[], None],
        period_s: float,
        metrics: Metrics,
        is_busy: Callable[[], bool],
    ) -> None:
        self._step = step
        self._period_s = period_s
        self._metrics = metrics
        self._is_busy = is_busy
        self._wake = Event()

    def wake(self) -> None:
        """Run the next step soon."""
        self._wake.set()

    def start(self) -> gevent.Greenlet:
        """Run in a new greenlet and return it; killing it ends the loop."""
        return gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            self._run_step()
            gevent.sleep(STEP_PAUSE_MIN_S)
            self._wake.wait(self._period_s if self._is_busy() else IDLE_PERIOD_S)
            self._wake.clear()

    def _run_step(self) -> None:
        try:
            self._step()
        except ClementinepinError as err:
            self._metrics.incr(f"batch.steps_failed.{err.code}")
        except Exception as err:
            logger.opt(exception=err).warning("{} Step failed: {}.", LOG_PREFIX, err)
