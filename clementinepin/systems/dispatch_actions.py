"""What the dispatcher is told of a slot's use, and what it decides."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from clementinepin.tables.dispatch import GrantKey


class RunOutcome(StrEnum):
    """How the use of a slot ended."""

    SERVED = "served"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNREACHED = "unreached"
    BROKEN = "broken"


class Granted(NamedTuple):
    """The request may be sent to the target now."""

    key: GrantKey
    target_id: str


class TurnedAway(NamedTuple):
    """The request should return after ``retry_after_s``; it was not sent anywhere.

    The other fields are what decided it: slots of the service taken and in all, requests that
    wait, the seconds until the first slot that it could have had, and the work of new callers as
    a share of all slots.
    """

    key: GrantKey
    retry_after_s: float
    reason: str
    taken: int = 0
    slots: int = 0
    waiting: int = 0
    start_in_s: float = 0.0
    pressure: float = 0.0


class YieldAsked(NamedTuple):
    """The batch item in this slot should stop and be resumed later."""

    key: GrantKey


Action = Granted | TurnedAway | YieldAsked
