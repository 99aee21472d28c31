"""Loads of the simulated deployments: callers' requests and batch items."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from bench.load_model import Work


def make_online(
    rng: random.Random,
    rate: Callable[[float], float],
    until: float,
    first: int = 0,
    tokens_mean: float = 185.0,
) -> Iterator[Work]:
    """Yield online requests at a rate that changes with time; only the median hint is right."""
    now, number = 0.0, first
    while now < until:
        now += rng.expovariate(max(0.01, rate(now)))
        tokens = int(rng.gauss(1.0, 0.243) * tokens_mean)
        tokens = int(min(1.62 * tokens_mean, max(0.27 * tokens_mean, tokens)))
        hint = max(int(0.11 * tokens_mean), int(tokens * rng.lognormvariate(0.0, 0.5)))
        yield Work(number, number % 6, False, tokens, hint, now)
        number += 1


def make_items(
    rng: random.Random,
    at: float,
    count: int,
    first: int = 100_000,
    tokens_mean: float = 1270.0,
) -> Iterator[Work]:
    """Yield batch items of 182 events of seven tokens that all arrive at the same time."""
    for number in range(first, first + count):
        tokens = int(tokens_mean * max(0.315, rng.gauss(1.0, 0.236)))
        yield Work(number, 0, True, tokens, tokens, at)


def make_square(idle_rate: float, peak_rate: float) -> Callable[[float], float]:
    """Return a rate that is high for 2.4 s of each 5.8 s, as in recorded traffic."""
    return lambda now: peak_rate if now % 5.8 >= 3.4 else idle_rate
