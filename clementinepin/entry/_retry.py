"""Retries of one call, and what may be said of it when they end."""

from __future__ import annotations

from typing import Final

import gevent
from loguru import logger

from clementinepin.entry._context import EntryContext
from clementinepin.entry.exceptions import AnswerUnknownError
from clementinepin.exceptions import ClementinepinError, NotRunError, Outcome
from clementinepin.scheduling import CallInfo, CallResult, Placement
from clementinepin.targets.exceptions import (
    TargetLostError,
    TargetNotReachedError,
    TargetRefusedError,
    TargetRejectedError,
    TargetStalledError,
    TargetTimeoutError,
)

LOG_PREFIX: Final = "entry:"


class CallAttempts:
    """Acquires a slot for each attempt and decides whether another one is safe.

    ``may_have_run`` is True once an attempt was written whose end is unknown: from then on
    no failure says ``not_run``, and a non-idempotent call is not sent again.
    """

    def __init__(self, context: EntryContext, info: CallInfo) -> None:
        self._context = context
        self.info = info
        self.may_have_run = False

    def acquire(self) -> Placement:
        """Wait for a slot; raises a NotRunError only with proof for every earlier attempt."""
        try:
            return self._context.scheduler.acquire(self.info)
        except NotRunError as err:
            raise self.judge(err) from err

    def wait_for_retry(
        self, err: ClementinepinError, placement: Placement, *, started: bool
    ) -> None:
        """Return when the next attempt may start; raises when none is safe or allowed."""
        if isinstance(err, TargetLostError):
            self.may_have_run = True
        if self.may_have_run and not self.info.idempotent:
            raise self.judge(err)
        result = classify_failure(err, started=started)
        if isinstance(err, TargetLostError):
            result = CallResult.LOST
        retry_at = self._context.scheduler.allow_retry(self.info, result)
        if retry_at is None or retry_at >= self.info.deadline:
            raise self.judge(err)
        name = placement.target.name
        logger.info("{} Attempt at {} ended: {}. Trying again.", LOG_PREFIX, name, err.code)
        self._context.core.metrics.incr("entry.retries")
        self.info = self.info._replace(tried=(*self.info.tried, name))
        gevent.sleep(max(0.0, retry_at - self._context.core.clock.monotonic()))

    def judge(self, err: ClementinepinError) -> ClementinepinError:
        """Return the failure to report; a proof for one attempt is none for an earlier one."""
        if err.outcome is Outcome.NOT_RUN and self.may_have_run:
            return AnswerUnknownError(
                f"an earlier attempt may have run; then: {err.message}", retry_at=err.retry_at
            )
        return err


def classify_failure(err: ClementinepinError, *, started: bool) -> CallResult:
    """Return what an attempt's failure says of its target.

    A deadline that passes while an answer flows says nothing against the target, nor does a
    slow first token: the request may be a long one.
    """
    if isinstance(err, TargetStalledError):
        return CallResult.LOST if started else CallResult.CANCELLED
    if isinstance(err, TargetNotReachedError):
        return CallResult.NOT_REACHED
    if isinstance(err, TargetRefusedError):
        return CallResult.REFUSED_LEAVING if err.leaving else CallResult.REFUSED
    if isinstance(err, TargetTimeoutError) and started:
        return CallResult.CANCELLED
    if isinstance(err, TargetLostError):
        return CallResult.LOST
    if isinstance(err, TargetRejectedError):
        return CallResult.REJECTED
    return CallResult.CANCELLED
