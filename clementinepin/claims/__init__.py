"""Durable claims on idempotency keys."""

from __future__ import annotations

from clementinepin.claims.models import Claim, ClaimStore, StoredOutcome

__all__ = ["Claim", "ClaimStore", "StoredOutcome"]
