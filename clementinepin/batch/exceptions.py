"""Exceptions of batch files and jobs."""

from __future__ import annotations

from clementinepin.exceptions import (
    ClementinepinError,
    ConflictError,
    InvalidInputError,
    NotRunError,
    Outcome,
)


class FileNotFoundInAccountError(ClementinepinError):
    """The account has no such file."""

    code = "file_not_found"
    outcome = Outcome.NOT_RUN
    status = 404


class JobNotFoundError(ClementinepinError):
    """The account has no such job."""

    code = "batch_not_found"
    outcome = Outcome.NOT_RUN
    status = 404


class InvalidLineError(InvalidInputError):
    """A line of a batch input is malformed; ``line`` counts from 1."""

    code = "invalid_line"

    def __init__(self, line: int, reason: str) -> None:
        super().__init__(f"line {line}: {reason}", param=f"line {line}")
        self.line = line


class DuplicateCustomIdError(InvalidLineError):
    """Two lines share a custom_id."""

    code = "duplicate_custom_id"


class UnknownModelError(InvalidLineError):
    """A line names a model that the account may not use for batch."""

    code = "model_not_found"


class InvalidBatchError(InvalidInputError):
    """The file does not fit the job request."""

    code = "invalid_batch"


class JobConflictError(ConflictError):
    """The account already used this job key for another body."""

    code = "job_key_reused"


class BatchUnavailableError(NotRunError):
    """A file or job could not be made durable; nothing was accepted."""

    code = "batch_unavailable"
