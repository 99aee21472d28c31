"""Errors of the command-line tool, and the exit codes of all errors."""

from __future__ import annotations

from enum import IntEnum
from typing import Any, Final

from clementinepin.exceptions import (
    ClementinepinError,
    ConflictError,
    InvalidInputError,
    NotRunError,
    Outcome,
    OutcomeUnknownError,
)

UNAUTHORISED_STATUSES: Final = (401, 403)
CONFLICT_STATUSES: Final = (409, 412)
CLIENT_ERROR_STATUSES: Final = range(400, 500)
TOO_MANY_REQUESTS_STATUS: Final = 429


class ExitCode(IntEnum):
    """Exit codes of the command-line tool, one for each type of error."""

    OK = 0
    INTERNAL = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    NOT_RUN = 5
    OUTCOME_UNKNOWN = 6
    FAILED = 7
    UNAUTHORISED = 8
    INTERRUPTED = 130


class UsageError(ClementinepinError):
    """The command line is invalid, or a key, an entry or a file is missing."""

    code = "usage"
    outcome = Outcome.NOT_RUN


class EntryUnreachableError(NotRunError):
    """No entry accepted a connection; nothing was sent."""

    code = "entry_unreachable"


class ResponseMissingError(OutcomeUnknownError):
    """The request was sent but its response was lost; it may have taken effect."""

    code = "reply_missing"


class ResponseUnreadableError(OutcomeUnknownError):
    """A success status came with a body that is not JSON, as of a server that is no entry."""

    code = "reply_unreadable"


class JobFailedError(ClementinepinError):
    """The job ended with failed items or was cancelled."""

    code = "job_incomplete"


class RemoteError(ClementinepinError):
    """An entry responded with an error. ``remote_*`` hold its status, code and outcome."""

    code = "remote_error"

    def __init__(self, status: int, error: dict[str, Any]) -> None:
        super().__init__(
            str(error.get("message") or f"status {status}"),
            param=error.get("param"),
            retry_at=error.get("retry_at"),
        )
        self.remote_status = status
        self.remote_code = str(error.get("code") or "unknown")
        self.remote_outcome = str(error.get("outcome") or Outcome.OUTCOME_UNKNOWN)


def choose_exit_code(error: ClementinepinError) -> ExitCode:
    """Return the exit code of an error."""
    if isinstance(error, RemoteError):
        return _choose_remote_exit_code(error)
    if isinstance(error, UsageError):
        return ExitCode.USAGE
    if isinstance(error, InvalidInputError):
        return ExitCode.INVALID
    if isinstance(error, ConflictError):
        return ExitCode.CONFLICT
    by_outcome = {
        Outcome.NOT_RUN: ExitCode.NOT_RUN,
        Outcome.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
        Outcome.FAILED: ExitCode.FAILED,
    }
    return by_outcome[error.outcome]


def _choose_remote_exit_code(error: RemoteError) -> ExitCode:
    status = error.remote_status
    if status in UNAUTHORISED_STATUSES:
        return ExitCode.UNAUTHORISED
    if status in CONFLICT_STATUSES:
        return ExitCode.CONFLICT
    if status in CLIENT_ERROR_STATUSES and status != TOO_MANY_REQUESTS_STATUS:
        return ExitCode.INVALID
    if error.remote_outcome == Outcome.NOT_RUN:
        return ExitCode.NOT_RUN
    if error.remote_outcome == Outcome.FAILED:
        return ExitCode.FAILED
    return ExitCode.OUTCOME_UNKNOWN
