"""Errors of the systems. A NotRunError proves that the request did not run."""

from __future__ import annotations

from clementinepin.exceptions import ClementinepinError, NotRunError


class AccountLimitedError(NotRunError):
    """The account has reached one of its limits; ``retry_at`` is the earliest time to retry."""

    code = "account_limited"
    status = 429


class QueueFullError(NotRunError):
    """The queue of the instance is full."""

    code = "queue_full"
    status = 503


class DeadlineUnreachableError(NotRunError):
    """The call cannot start in time to meet its deadline."""

    code = "deadline_unreachable"
    status = 503


class NoTargetError(NotRunError):
    """No target serves the application at present."""

    code = "no_target"
    status = 503


class ServiceUnknownError(NotRunError):
    """The configuration in force has no such service or application."""

    code = "service_unknown"
    status = 404


class RequestCondemnedError(NotRunError):
    """Two targets were lost while they ran this request, so it is not sent again."""

    code = "request_condemned"
    status = 422


class SchedulerStoppedError(NotRunError):
    """The instance is stopping; other entries accept the call."""

    code = "instance_stopping"
    status = 503


class DuplicateResultError(ClementinepinError):
    """A commit would give an item a second result; the commit is not written."""

    code = "doubled_result"
