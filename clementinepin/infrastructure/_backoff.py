"""Jittered backoff between attempts."""

from __future__ import annotations

import random

BACKOFF_MIN_S = 0.02
BACKOFF_MAX_S = 0.5


def choose_backoff(attempt: int, rng: random.Random) -> float:
    """Return seconds to wait before attempt ``attempt`` (1 is the first repetition)."""
    ceiling_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(attempt, 10))
    return rng.uniform(ceiling_s / 2, ceiling_s)
