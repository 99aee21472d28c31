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
    """Return the plan of a stop that begins now."""
    return DrainPlan(min(now + advice_s, deadline), deadline)


def limit_advice(wall: float, advice_s: float) -> float:
    """Return until when advice given now is valid, in wall-clock seconds.

    A leaving instance serves for ``advice_s``. Others may advise it until its word has reached
    them, so that advice is valid for less.
    """
    return wall + max(advice_s - SPREAD_S, advice_s / 2)
