"""Failures of the systems. A refusal holds proof that the request did not run."""

from __future__ import annotations

from clementinepin.exceptions import ClementinepinError, NotRunError


class AccountLimitedError(NotRunError):
    """The account is at one of its limits; ``retry_at`` says when to come back."""

    code = "account_limited"
    status = 429


class QueueFullError(NotRunError):
    """The instance holds as many waiting calls as it may."""

    code = "queue_full"
    status = 503


class DeadlineUnreachableError(NotRunError):
    """The call could not start in time to meet its deadline."""

    code = "deadline_unreachable"
    status = 503


class NoTargetError(NotRunError):
    """No target serves the application now."""

    code = "no_target"
    status = 503


class ServiceUnknownError(NotRunError):
    """The configuration in force has no such service or application."""

    code = "service_unknown"
    status = 404


class RequestCondemnedError(NotRunError):
    """Two targets were lost while they ran this request; it is not sent again."""

    code = "request_condemned"
    status = 422


class SchedulerStoppedError(NotRunError):
    """The instance stops; other entries take the call."""

    code = "instance_stopping"
    status = 503


class DoubledResultError(ClementinepinError):
    """A commit would give an item a second result; it is not written."""

    code = "doubled_result"
