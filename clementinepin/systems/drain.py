"""Plan of a graceful stop."""

from __future__ import annotations

from typing import NamedTuple

SPREAD_S = 2.0  # until the other instances know that this one is leaving


class DrainPlan(NamedTuple):
    """Phases of a graceful stop, in monotonic seconds.

    New requests are served until ``serve_until``, as callers may still use old advice. Requests
    in flight may finish until ``finish_until``.
    """

    serve_until: float
    finish_until: float


def plan_drain(now: float, deadline: float, advice_s: float) -> DrainPlan:
    """Return the plan of a stop that begins now and ends by ``deadline``."""
    return DrainPlan(min(now + advice_s, deadline), deadline)


def limit_advice(wall: float, advice_s: float) -> float:
    """Return until when advice given now is valid, in wall-clock seconds.

    A leaving instance still serves for ``advice_s``. Other instances may advise it until the news
    has reached them, so advice is valid for a shorter time.
    """
    return wall + max(advice_s - SPREAD_S, advice_s / 2)
