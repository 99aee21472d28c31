"""Failures of fleet-wide roles."""

from __future__ import annotations

from clementinepin.exceptions import ConflictError, NotRunError, OutcomeUnknownError


class ConfigurationConflictError(ConflictError):
    """Another file set was accepted first; the attributes describe the winner.

    ``accepted_at`` is wall-clock seconds.
    """

    code = "configuration_conflict"

    def __init__(self, revision: int, digest: str, accepted_by: str, accepted_at: float) -> None:
        super().__init__(
            f"revision {revision} with digest {digest} stands, "
            f"accepted by {accepted_by} at {accepted_at:.3f}",
            param="base",
        )
        self.revision = revision
        self.digest = digest
        self.accepted_by = accepted_by
        self.accepted_at = accepted_at


class ConfigurationUnavailableError(NotRunError):
    """The key-value service can't be reached; nothing was accepted."""

    code = "configuration_unavailable"


class ConfigurationUnknownError(OutcomeUnknownError):
    """The reply was lost and could not be settled; the file set may be accepted."""

    code = "configuration_unknown"
