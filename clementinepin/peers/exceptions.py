"""Failures of messages between instances."""

from __future__ import annotations

from clementinepin.exceptions import ClementinepinError, Outcome


class PeerUnavailableError(ClementinepinError):
    """The peer did not answer; the message may have arrived."""

    code = "peer_unavailable"
    outcome = Outcome.OUTCOME_UNKNOWN
    status = 503
