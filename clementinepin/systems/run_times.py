"""Run times of recent requests by route, and whether another request ends before its instance."""

from __future__ import annotations

from typing import Final, NamedTuple

MEAN_WEIGHT: Final = 0.1  # of the newest run in a route's mean, which adapts in ten runs
LONGEST_WEIGHT: Final = 0.02  # of a shorter newest run in a route's longest one
LONGEST_FACTOR: Final = 1.5  # for targets that turn slow
SILENCE_S: Final = 1.4  # a sound target may fall silent for a second or so and go on


class _RouteTimes(NamedTuple):
    """Run times of one route in seconds; ``tokens`` is the highest output limit of its runs."""

    mean_s: float
    longest_s: float
    tokens: int


class RunTimes:
    """Mean and longest run time of recent requests, by route."""

    def __init__(self) -> None:
        self._routes: dict[str, _RouteTimes] = {}

    def record(self, route: str, took_s: float, tokens: int) -> None:
        """Record a run that took ``took_s`` and might generate ``tokens``, 0 if unknown."""
        former = self._routes.get(route, _RouteTimes(took_s, took_s, tokens))
        mean_s = former.mean_s + MEAN_WEIGHT * (took_s - former.mean_s)
        longest_s = former.longest_s + LONGEST_WEIGHT * (took_s - former.longest_s)
        self._routes[route] = _RouteTimes(
            mean_s, max(took_s, longest_s), max(tokens, former.tokens)
        )

    def get_mean(self, route: str) -> float | None:
        """Return the mean seconds of a route's recent runs, None if there were none."""
        times = self._routes.get(route)
        return times.mean_s if times is not None else None

    def estimate_longest(self, route: str, tokens: int) -> float | None:
        """Return the seconds that a request takes at most by the route's recent runs.

        None if there were none. A request that may generate more than any of them takes longer.
        """
        times = self._routes.get(route)
        if times is None:
            return None
        return times.longest_s * max(1.0, tokens / times.tokens if times.tokens else 1.0)


def find_latest_start(finish_by: float, ends_by: float, longest_s: float | None) -> float:
    """Return the latest start, in monotonic seconds, of a request that ends before ``finish_by``.

    ``ends_by`` is when its caller gives up; if that is before, any start will do. ``longest_s`` is
    an estimate of its run, None if unknown.

    Load pattern: callers still use the address of an instance that was told to stop. Whatever it
    accepts late in its grace period is cut at the end of it.
    """
    if ends_by <= finish_by:
        return float("inf")
    if longest_s is None:
        return float("-inf")
    return finish_by - longest_s * LONGEST_FACTOR - SILENCE_S
