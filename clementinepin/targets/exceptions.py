"""Errors of targets, distinguished by what they prove about the request."""

from __future__ import annotations

from enum import StrEnum

from clementinepin.exceptions import ClementinepinError, NotRunError, Outcome, OutcomeUnknownError


class TargetNotReachedError(NotRunError):
    """No byte of the request was written to the target.

    ``refused`` says that the target's address refused a connection.
    """

    code = "target_not_reached"

    def __init__(self, message: str = "", *, refused: bool = False) -> None:
        super().__init__(message)
        self.refused = refused


class RelayLostError(ConnectionError):
    """A tunnel failed between this instance and the one that reaches the target."""


class RefusalReason(StrEnum):
    """Why a target refused a request before admission; unknown reasons count as FULL."""

    FULL = "full"
    LEAVING = "leaving"
    NOT_LOADED = "not_loaded"


class TargetRefusedError(NotRunError):
    """The target refused before admission."""

    code = "target_refused"

    def __init__(self, message: str = "", reason: RefusalReason = RefusalReason.FULL) -> None:
        super().__init__(message)
        self.reason = reason


class TargetLostError(OutcomeUnknownError):
    """The connection failed or timed out after a part of the request was written.

    ``relay`` names the instance through which the connection went, empty for a direct one.
    """

    code = "target_lost"
    relay = ""


class TargetLinkLostError(TargetLostError):
    """The way to the target failed, which says nothing about the target."""

    code = "target_link_lost"


class TargetTimeoutError(TargetLostError):
    """The deadline passed after a part of the request was written."""

    code = "target_timeout"
    status = 504


class TargetStalledError(TargetTimeoutError):
    """The target sent nothing for too long, although the deadline has not passed."""

    code = "target_stalled"


class TargetProtocolError(TargetLostError):
    """The target's response violates the protocol, so its end can't be trusted."""

    code = "target_protocol"


class ResponseTooLargeError(TargetProtocolError):
    """The body of the response exceeds what its reader takes."""


class ResponseMismatchError(TargetLostError):
    """The target sent a response that has the id of another request."""

    code = "answer_mixed_up"


class TargetRejectedError(ClementinepinError):
    """The target responded with an error status; ``body`` is passed on to the caller."""

    code = "target_rejected"
    outcome = Outcome.FAILED
    status = 502

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(f"target responded with status {status}")
        self.target_status = status
        self.body = body


class OrderRefusedError(ClementinepinError):
    """The engine refused an order that carried an old fencing number."""

    code = "order_refused"
    status = 409
