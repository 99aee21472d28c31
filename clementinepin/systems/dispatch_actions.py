"""Outcomes of runs that are reported to the dispatcher, and the actions that it decides."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from clementinepin.tables.dispatch import GrantKey


class RunOutcome(StrEnum):
    """How a run in a slot ended."""

    SERVED = "served"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNREACHED = "unreached"
    BROKEN = "broken"


class Granted(NamedTuple):
    """The request may be sent to the target now."""

    key: GrantKey
    target_id: str


class Rejected(NamedTuple):
    """The request was not sent anywhere; its caller may retry after ``retry_after_s``.

    The other fields are the figures behind the decision: ``taken`` of ``slots`` of the service
    are in use, ``waiting`` requests are queued, and a slot would be free in ``start_in_s``.
    ``pressure`` is the work of new callers as a share of all slots, and ``spare`` the slots that
    they leave free at present, by which the retry time was chosen.
    """

    key: GrantKey
    retry_after_s: float
    reason: str
    taken: int = 0
    slots: int = 0
    waiting: int = 0
    start_in_s: float = 0.0
    pressure: float = 0.0
    spare: float = 0.0


class PreemptionRequested(NamedTuple):
    """The batch item in this slot should stop, to be resumed later."""

    key: GrantKey


Action = Granted | Rejected | PreemptionRequested
