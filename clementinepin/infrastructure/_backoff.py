"""Jittered exponential backoff between attempts."""

from __future__ import annotations

import random

BACKOFF_MIN_S = 0.02
BACKOFF_MAX_S = 0.5


def choose_backoff(attempt: int, rng: random.Random) -> float:
    """Return the seconds to wait before retry number ``attempt`` (1 is the first retry)."""
    ceiling_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(attempt, 10))
    return rng.uniform(ceiling_s / 2, ceiling_s)
