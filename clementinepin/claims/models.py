"""Rows and the Protocol of durable claims on idempotency keys."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class StoredOutcome(NamedTuple):
    """The final answer of a claimed call. ``outcome`` is ``success`` or an Outcome value."""

    outcome: str
    status: int
    content_type: str
    body: bytes


class Claim(NamedTuple):
    """A caller's right to run a call once.

    ``fresh`` is True for the one that may run it. ``stored`` is set when it already ended.
    """

    account: str
    key: str
    request_digest: str
    fresh: bool
    stored: StoredOutcome | None


class ClaimStore(Protocol):
    """Durable claims, committed in groups by the owner of a partition of the key space."""

    def claim(self, account: str, key: str, request_digest: str, *, deadline: float) -> Claim:
        """Claim a key before the send, or join: waits for a running call's outcome.

        Raises ClaimUnavailableError (not run), ClaimMismatchError (same key, other request),
        OutcomeUnknownError (a former run's end can't be known).
        """

    def settle(self, claim: Claim, outcome: StoredOutcome) -> None:
        """Store the outcome of a fresh claim; ``not_run`` frees the key."""
