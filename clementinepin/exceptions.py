"""Base classes of typed errors. Each has a stable code, an outcome and an HTTP status."""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar


class Outcome(StrEnum):
    """What is known about a request that did not succeed.

    ``not_run`` requires proof: no byte reached a target, or a target refused the request
    before it admitted it.
    """

    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    FAILED = "failed"


class ClementinepinError(Exception):
    """Base of all typed errors.

    ``retry_at`` is a wall-clock time in seconds; ``param`` names the invalid input.
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
        """Return the human-readable text."""
        return str(self)


class NotRunError(ClementinepinError):
    """It is proven that the request did not run."""

    code = "not_run"
    outcome = Outcome.NOT_RUN
    status = 503


class OutcomeUnknownError(ClementinepinError):
    """The request may have run; there is no proof either way."""

    code = "outcome_unknown"
    outcome = Outcome.OUTCOME_UNKNOWN
    status = 502


class InvalidInputError(ClementinepinError):
    """The caller's input is invalid; nothing was run."""

    code = "invalid_request"
    outcome = Outcome.NOT_RUN
    status = 400


class ConflictError(ClementinepinError):
    """The request conflicts with what another writer or request already stored."""

    code = "conflict"
    outcome = Outcome.NOT_RUN
    status = 409
