"""Failures of the platform's services."""

from __future__ import annotations

from clementinepin.exceptions import ClementinepinError, ConflictError, Outcome


class VersionConflictError(ConflictError):
    """A compare-and-swap failed because the key has another version.

    ``current`` is the key's version, 0 if it is absent; ``value`` is its value, None if absent.
    """

    code = "version_conflict"

    def __init__(self, key: str, current: int, value: bytes | None) -> None:
        super().__init__(f"{key} is at version {current}")
        self.key = key
        self.current = current
        self.value = value


class PlatformUnavailableError(ClementinepinError):
    """The call had no effect: circuit breaker open, call budget exhausted or no connection."""

    code = "platform_unavailable"
    outcome = Outcome.NOT_RUN
    status = 503


class IsolatedFromStoreError(PlatformUnavailableError):
    """The instance is isolated from the store: neither the store nor any relay responds.

    Other instances may still reach the store.
    """

    code = "cut_off"


class ReplyLostError(ClementinepinError):
    """The call was sent but its reply was lost; the change may have taken effect."""

    code = "platform_reply_lost"
    outcome = Outcome.OUTCOME_UNKNOWN
    status = 504


class LeaseLostError(ClementinepinError):
    """The lease has expired or was revoked."""

    code = "lease_lost"
    status = 409


class WatchCompactedError(ClementinepinError):
    """The store no longer has all changes after the requested version.

    The caller lists the range again and then watches after version ``compacted`` or a later one.
    """

    code = "watch_compacted"
    status = 409

    def __init__(self, message: str = "", *, compacted: int = 0) -> None:
        super().__init__(message)
        self.compacted = compacted
