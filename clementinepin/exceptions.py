"""Base types of failure. Each failure has a class and a stable code."""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar


class Outcome(StrEnum):
    """What is known about a request that did not succeed.

    ``not_run`` needs proof: no byte reached a target, or a target refused before admission.
    """

    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    FAILED = "failed"


class ClementinepinError(Exception):
    """Base of all typed failures.

    ``retry_at`` is a wall-clock time in seconds; ``param`` names the input at fault.
    """

    code: ClassVar[str] = "internal_error"
    outcome: ClassVar[Outcome] = Outcome.FAILED
    status: ClassVar[int] = 500

    def __init__(
        self, message: str = "", *, param: str | None = None, retry_at: float | None = None
    ) -> None:
        super().__init__(message or self.code)
        self.param = param
        self.retry_at = retry_at

    @property
    def message(self) -> str:
        """Return the text meant for a person."""
        return str(self)


class NotRunError(ClementinepinError):
    """The request was proven not to have run."""

    code = "not_run"
    outcome = Outcome.NOT_RUN
    status = 503


class OutcomeUnknownError(ClementinepinError):
    """The request may have run; no proof either way is left."""

    code = "outcome_unknown"
    outcome = Outcome.OUTCOME_UNKNOWN
    status = 502


class InvalidInputError(ClementinepinError):
    """The caller's input is malformed; nothing ran."""

    code = "invalid_request"
    outcome = Outcome.NOT_RUN
    status = 400


class ConflictError(ClementinepinError):
    """Another writer won; the message names the winner."""

    code = "conflict"
    outcome = Outcome.NOT_RUN
    status = 409
