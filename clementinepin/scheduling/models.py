"""Protocol between callers of targets (entry, batch) and the scheduling decisions."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from gevent.event import Event

from clementinepin.tables import CallInfo, CallResult
from clementinepin.targets import TargetAddress

__all__ = ["CallInfo", "CallResult", "Placement", "Scheduler"]


class Placement(NamedTuple):
    """A granted slot at a target. ``preempted`` is set when a batch call must yield it."""

    ticket: int
    target: TargetAddress
    preempted: Event


class Scheduler(Protocol):
    """Admission, routing, retries and preemption for one instance."""

    def acquire(self, call: CallInfo) -> Placement:
        """Wait for a slot; raises a NotRunError subclass that holds proof.

        Online calls wait by deadline and fair share. Batch calls get only slots of
        targets whose batch allowance this instance owns.
        """

    def report_first_token(self, ticket: int) -> None:
        """Note that the first token of an attempt arrived."""

    def report_tokens(self, ticket: int, tokens: int) -> None:
        """Note progress, for limits and for the choice of what to preempt."""

    def finish(self, ticket: int, result: CallResult) -> None:
        """Give the slot back."""

    def allow_retry(self, call: CallInfo, result: CallResult) -> float | None:
        """Return the monotonic time of the next attempt, or None when none is allowed."""

    def count_batch_slots(self, application: str) -> int:
        """Return free batch slots for an application on targets that this instance owns."""
