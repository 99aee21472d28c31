"""Exceptions raised by claims."""

from __future__ import annotations

from clementinepin.exceptions import ConflictError, NotRunError


class ClaimUnavailableError(NotRunError):
    """The claim could not be committed, so the call was not sent."""

    code = "claim_unavailable"


class ClaimMismatchError(ConflictError):
    """The idempotency key was used for a different request."""

    code = "idempotency_key_reused"
    status = 422
