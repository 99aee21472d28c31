"""Errors of the fleet component."""

from __future__ import annotations

from clementinepin.exceptions import ConflictError, NotRunError, OutcomeUnknownError


class ConfigurationConflictError(ConflictError):
    """Another file set was accepted first; the attributes describe that one.

    ``accepted_at`` is in wall-clock seconds.
    """

    code = "configuration_conflict"

    def __init__(self, revision: int, digest: str, accepted_by: str, accepted_at: float) -> None:
        super().__init__(
            f"revision {revision} with digest {digest} was already "
            f"accepted by {accepted_by} at {accepted_at:.3f}",
            param="base",
        )
        self.revision = revision
        self.digest = digest
        self.accepted_by = accepted_by
        self.accepted_at = accepted_at


class ConfigurationUnavailableError(NotRunError):
    """The key-value service can't be reached; no file set was accepted."""

    code = "configuration_unavailable"


class ConfigurationUnknownError(OutcomeUnknownError):
    """A reply was lost and the outcome could not be resolved; the file set may be accepted."""

    code = "configuration_unknown"
