"""Failures of the platform's services."""

from __future__ import annotations

from clementinepin.exceptions import ClementinepinError, ConflictError, Outcome


class VersionConflictError(ConflictError):
    """A compare-and-swap lost. ``current`` is the version that stands, 0 if absent."""

    code = "version_conflict"

    def __init__(self, key: str, current: int, value: bytes | None) -> None:
        super().__init__(f"{key} is at version {current}")
        self.key = key
        self.current = current
        self.value = value


class PlatformUnavailableError(ClementinepinError):
    """The call was not made: breaker open, budget spent or no connection. Nothing changed."""

    code = "platform_unavailable"
    outcome = Outcome.NOT_RUN
    status = 503


class CutOffError(PlatformUnavailableError):
    """Neither the service nor any instance that could reach it answers; others may fare better."""

    code = "cut_off"


class ReplyLostError(ClementinepinError):
    """The call was sent and its reply lost; the change may have taken effect."""

    code = "platform_reply_lost"
    outcome = Outcome.OUTCOME_UNKNOWN
    status = 504


class LeaseLostError(ClementinepinError):
    """The lease has lapsed."""

    code = "lease_lost"
    status = 409


class WatchCompactedError(ClementinepinError):
    """Changes behind the version asked for are gone.

    List the range again, then watch behind ``compacted`` or a later version.
    """

    code = "watch_compacted"
    status = 409

    def __init__(self, message: str = "", *, compacted: int = 0) -> None:
        super().__init__(message)
        self.compacted = compacted
