"""Durable claims on idempotency keys."""

from __future__ import annotations

from clementinepin.claims._store import create_claim_store
from clementinepin.claims.models import Claim, ClaimStore, StoredOutcome

__all__ = ["Claim", "ClaimStore", "StoredOutcome", "create_claim_store"]
