"""Failures of claims."""

from __future__ import annotations

from clementinepin.exceptions import ConflictError, NotRunError


class ClaimUnavailableError(NotRunError):
    """No claim could be made durable, so the call was not sent."""

    code = "claim_unavailable"


class ClaimMismatchError(ConflictError):
    """The idempotency key was used for a different request."""

    code = "idempotency_key_reused"
    status = 422
