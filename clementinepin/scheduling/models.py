"""Interface of the scheduler for the packages that call targets (entry, batch)."""

from __future__ import annotations

from typing import Final, NamedTuple, Protocol

from gevent.event import Event

from clementinepin.tables import CallInfo, CallResult
from clementinepin.targets import TargetAddress
from clementinepin.targets.exceptions import RefusalReason, TargetRefusedError

__all__ = ["CallInfo", "CallResult", "Placement", "Scheduler", "classify_refusal"]

_REFUSAL_RESULTS: Final = {
    RefusalReason.FULL: CallResult.REFUSED,
    RefusalReason.LEAVING: CallResult.REFUSED_LEAVING,
    RefusalReason.NOT_LOADED: CallResult.REFUSED_NOT_LOADED,
}


def classify_refusal(err: TargetRefusedError) -> CallResult:
    """Return the result of an attempt that its target refused before admission."""
    return _REFUSAL_RESULTS[err.reason]


class Placement(NamedTuple):
    """A granted slot at a target. ``preempted`` is set when a batch call must release it."""

    ticket: int
    target: TargetAddress
    preempted: Event


class Scheduler(Protocol):
    """Admission, routing, retries and preemption for one instance."""

    def acquire(self, call: CallInfo) -> Placement:
        """Wait for a slot and return it.

        Raises a subclass of NotRunError if the call is rejected, which proves that it did not run.
        Online calls are ordered by deadline and fair share. Batch calls get only slots of
        targets whose batch allowance this instance owns.
        """

    def report_first_token(self, ticket: int) -> None:
        """Record that the first token of an attempt arrived."""

    def report_tokens(self, ticket: int, tokens: int) -> None:
        """Record received tokens, for limits and for the choice of calls to preempt."""

    def finish(self, ticket: int, result: CallResult) -> None:
        """Release the slot of an attempt.

        If the result changes a suspect, as the loss of the target does, the change is broadcast to
        the live peers before this returns.
        """

    def allow_retry(self, call: CallInfo, result: CallResult) -> float | None:
        """Return the monotonic time of the next attempt, or None when none is allowed."""

    def count_batch_slots(self, application: str) -> int:
        """Return the number of free batch slots for an application on owned targets."""
