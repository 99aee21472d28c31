"""Failures of the serving path. Each has a code and says what is known of the request."""

from __future__ import annotations

from clementinepin.exceptions import ClementinepinError, NotRunError, Outcome, OutcomeUnknownError


class NotConfiguredError(NotRunError):
    """No configuration has been read yet, so nothing is known about any route."""

    code = "no_configuration"


class RouteNotFoundError(ClementinepinError):
    """No route matches the host and path."""

    code = "route_not_found"
    outcome = Outcome.NOT_RUN
    status = 404


class BadRequestError(ClementinepinError):
    """The request is malformed; ``status`` says how."""

    code = "bad_request"
    outcome = Outcome.NOT_RUN
    status = 400

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status  # type: ignore[misc]


class OverloadedError(NotRunError):
    """No target will have room in time.

    ``retry_after_s`` says when it is worth asking again, ``inputs`` what decided it.
    """

    code = "overloaded"

    def __init__(
        self, message: str, retry_after_s: float, inputs: dict[str, float] | None = None
    ) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s
        self.inputs = inputs or {}


class TokensExhaustedError(OverloadedError):
    """The job does not fit into the tokens that may wait on its route."""

    code = "tokens_exhausted"
    status = 429


class DeadlineError(OutcomeUnknownError):
    """The time of the request ended before its answer; it may have run."""

    code = "deadline_exceeded"
    status = 504


class AnswerLostError(OutcomeUnknownError):
    """A target took the request and its answer was lost."""

    code = "answer_lost"


class CallerGoneError(ClementinepinError):
    """The caller closed its connection; nobody waits for the answer."""

    code = "caller_gone"


class JobNotFoundError(ClementinepinError):
    """The store holds no such job or item."""

    code = "job_not_found"
    outcome = Outcome.NOT_RUN
    status = 404


class SettingsError(ClementinepinError):
    """The settings file can't be used; the message names the field."""

    code = "settings_invalid"
