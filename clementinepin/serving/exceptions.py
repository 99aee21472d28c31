"""Errors of the serving path. Each has a code and says whether the request may have run."""

from __future__ import annotations

from clementinepin.exceptions import ClementinepinError, NotRunError, Outcome, OutcomeUnknownError


class NotConfiguredError(NotRunError):
    """No configuration has been read yet, so no route is known."""

    code = "no_configuration"


class RouteNotFoundError(ClementinepinError):
    """No route matches the host and path."""

    code = "route_not_found"
    outcome = Outcome.NOT_RUN
    status = 404


class BadRequestError(ClementinepinError):
    """The request is malformed; ``status`` is the HTTP status that describes how."""

    code = "bad_request"
    outcome = Outcome.NOT_RUN
    status = 400

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status  # type: ignore[misc]


class OverloadedError(NotRunError):
    """The request was rejected: no target will have a free slot in time, or the store is down.

    ``retry_after_s`` is the time after which a retry makes sense, in seconds. ``inputs`` holds
    the values that led to the decision.
    """

    code = "overloaded"

    def __init__(
        self, message: str, retry_after_s: float, inputs: dict[str, float] | None = None
    ) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s
        self.inputs = inputs or {}


class TokensExhaustedError(OverloadedError):
    """The job exceeds the limit of unfinished tokens on its route."""

    code = "tokens_exhausted"
    status = 429


class DeadlineError(OutcomeUnknownError):
    """The deadline of the request passed before its response; it may have run."""

    code = "deadline_exceeded"
    status = 504


class AnswerLostError(OutcomeUnknownError):
    """A target received the request and its response was lost."""

    code = "answer_lost"


class CallerGoneError(ClementinepinError):
    """The caller closed its connection before the response."""

    code = "caller_gone"


class JobNotFoundError(ClementinepinError):
    """The store holds no such job or item."""

    code = "job_not_found"
    outcome = Outcome.NOT_RUN
    status = 404


class RecordUnreadableError(NotRunError):
    """A record of a job in the store can't be read, so that nothing was done with the job."""

    code = "record_unreadable"


class SettingsError(ClementinepinError):
    """The settings file is invalid; the message names the field."""

    code = "settings_invalid"
