"""Plan of a graceful stop."""

from __future__ import annotations

from typing import NamedTuple

SPREAD_S = 2.0


class DrainPlan(NamedTuple):
    """``serve_until`` and ``finish_until`` are monotonic seconds.

    Until the first, callers that hold old advice are served as ever; until the second, what
    is in flight is finished.
    """

    serve_until: float
    finish_until: float


def plan_drain(now: float, deadline: float, advice_s: float) -> DrainPlan:
    """Return the plan: others may advise this instance until the word has reached them."""
    serve_until = min(now + SPREAD_S + advice_s, deadline)
    return DrainPlan(serve_until, deadline)
