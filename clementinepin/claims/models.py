"""Public types of durable claims on idempotency keys."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class StoredOutcome(NamedTuple):
    """The final response to a claimed call. ``outcome`` is ``success`` or an Outcome value."""

    outcome: str
    status: int
    content_type: str
    body: bytes


class Claim(NamedTuple):
    """The result of claiming an idempotency key.

    ``fresh`` is True if the claimant may run the call. Otherwise ``stored`` holds the outcome of
    the earlier run.
    """

    account: str
    key: str
    request_digest: str
    fresh: bool
    stored: StoredOutcome | None


class ClaimStore(Protocol):
    """Durable claims on idempotency keys.

    The key space is partitioned; the owner of a partition commits its claims in groups.
    """

    def claim(self, account: str, key: str, request_digest: str, *, deadline: float) -> Claim:
        """Claim a key before the call is sent; wait for the outcome if the call is running.

        ``deadline`` is in monotonic seconds. Raise ClaimUnavailableError if no claim could be
        committed (not run), ClaimMismatchError if the key was used for a different request, or
        OutcomeUnknownError if the outcome of an earlier run can't be determined.
        """

    def settle(self, claim: Claim, outcome: StoredOutcome) -> None:
        """Store the outcome of a fresh claim. The outcome ``not_run`` frees the key."""
