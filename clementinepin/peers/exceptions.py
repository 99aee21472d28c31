"""Errors of messages between instances."""

from __future__ import annotations

from clementinepin.exceptions import ClementinepinError, Outcome


class PeerUnavailableError(ClementinepinError):
    """The peer did not reply; the message may have arrived."""

    code = "peer_unavailable"
    outcome = Outcome.OUTCOME_UNKNOWN
    status = 503


class PeerRefusedError(PeerUnavailableError):
    """The peer replied with an error; ``peer_code`` is the code of that error."""

    code = "peer_refused"

    def __init__(self, message: str, peer_code: str) -> None:
        super().__init__(message)
        self.peer_code = peer_code


class PeerReplyInvalidError(PeerUnavailableError):
    """The reply of a peer can't be decoded; the peer is alive and its handler may have run."""

    code = "peer_reply_invalid"


class PeerMethodUnknownError(ClementinepinError):
    """No handler of this instance serves the method; the peer may run another release."""

    code = "peer_method_unknown"
    status = 404


class PeerMessageInvalidError(ClementinepinError):
    """A message between instances could not be decoded."""

    code = "peer_message_invalid"
    outcome = Outcome.NOT_RUN
    status = 400


class PeerAuthenticationError(ClementinepinError):
    """The sender of a message could not be authenticated."""

    code = "peer_authentication"
    outcome = Outcome.NOT_RUN
    status = 401
