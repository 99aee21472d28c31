"""Retries of one call, and the error that is reported if they fail."""

from __future__ import annotations

from typing import Final

import gevent
from loguru import logger

from clementinepin.entry._context import EntryContext
from clementinepin.entry.exceptions import AnswerUnknownError
from clementinepin.exceptions import ClementinepinError, NotRunError, Outcome
from clementinepin.scheduling import CallInfo, CallResult, Placement, classify_refusal
from clementinepin.targets.exceptions import (
    TargetLinkLostError,
    TargetLostError,
    TargetNotReachedError,
    TargetRefusedError,
    TargetRejectedError,
    TargetStalledError,
    TargetTimeoutError,
)

LOG_PREFIX: Final = "entry:"


class CallAttempts:
    """Acquires a slot for each attempt and decides whether another attempt is safe.

    ``may_have_run`` is True after an attempt was sent whose outcome is unknown. From then on no
    failure is reported as ``not_run``, and a non-idempotent call is not sent again.
    """

    def __init__(self, context: EntryContext, info: CallInfo) -> None:
        self._context = context
        self.info = info
        self.may_have_run = False

    def acquire(self) -> Placement:
        """Wait for a slot and return its placement.

        Raise NotRunError only if no earlier attempt may have run, else AnswerUnknownError.
        """
        try:
            return self._context.scheduler.acquire(self.info)
        except NotRunError as err:
            raise self.resolve_error(err) from err

    def wait_for_retry(
        self, err: ClementinepinError, placement: Placement, *, started: bool
    ) -> None:
        """Wait until the next attempt may start; raise if none is safe or allowed.

        ``err`` is the failure of the last attempt; ``started`` is True if a part of the response
        has been delivered.
        """
        if isinstance(err, TargetLostError):
            self.may_have_run = True
        if self.may_have_run and not self.info.idempotent:
            raise self.resolve_error(err)
        result = classify_failure(err, started=started)
        if isinstance(err, TargetLostError):
            result = CallResult.LOST
        retry_at = self._context.scheduler.allow_retry(self.info, result)
        if retry_at is None or retry_at >= self.info.deadline:
            raise self.resolve_error(err)
        name = placement.target.name
        logger.info(
            "{} Request {}: the attempt on {} failed with {} ({}). Retrying.",
            LOG_PREFIX,
            self.info.request_id,
            name,
            err.code,
            err.message,
        )
        self._context.core.metrics.incr("entry.retries")
        if result is not CallResult.REFUSED_NOT_LOADED:
            # A target that lacks the model may run the call once it has loaded it.
            self.info = self.info._replace(tried=(*self.info.tried, name))
        gevent.sleep(max(0.0, retry_at - self._context.core.clock.monotonic()))

    def resolve_error(self, err: ClementinepinError) -> ClementinepinError:
        """Return the failure to report to the caller.

        A ``not_run`` failure is replaced by AnswerUnknownError if an earlier attempt may have run.
        """
        if err.outcome is Outcome.NOT_RUN and self.may_have_run:
            return AnswerUnknownError(
                f"an earlier attempt may have run; no other attempt succeeded: {err.message}",
                retry_at=err.retry_at,
            )
        return err


def classify_failure(err: ClementinepinError, *, started: bool) -> CallResult:
    """Return the result of a failed attempt to report for its target.

    A deadline that passes during a response and a late first token don't count against the
    target, because the request may be a long one. Nor does a loss on the way to it.
    """
    if isinstance(err, TargetLinkLostError):
        return CallResult.CANCELLED
    if isinstance(err, TargetStalledError):
        return CallResult.LOST if started else CallResult.CANCELLED
    if isinstance(err, TargetNotReachedError):
        return CallResult.NOT_REACHED
    if isinstance(err, TargetRefusedError):
        return classify_refusal(err)
    if isinstance(err, TargetTimeoutError) and started:
        return CallResult.CANCELLED
    if isinstance(err, TargetLostError):
        return CallResult.LOST
    if isinstance(err, TargetRejectedError):
        return CallResult.REJECTED
    return CallResult.CANCELLED
