"""Run times of recent requests by route, and whether another request ends before its instance."""

from __future__ import annotations

from typing import Final, NamedTuple

MEAN_WEIGHT: Final = 0.1  # of the newest run in a route's mean, which adapts in ten runs
LONGEST_WEIGHT: Final = 0.02  # of a shorter newest time in the longest one
LONGEST_RUNS: Final = 1_000  # the longest of them counts for a request of unknown length
LONGEST_FACTOR: Final = 1.5  # for targets that turn slow
SILENCE_S: Final = 1.4  # a sound target may fall silent for a second or so and go on


class _RouteTimes(NamedTuple):
    """Run times of one route in seconds.

    ``mean_s`` is the mean of whole runs. ``longest_s`` is the longest of the newest ``runs``, and
    ``former_longest_s`` that of the ``LONGEST_RUNS`` before. ``first_s`` and ``gap_s`` are the
    longest time to the first event and between two events, which fade slowly.
    """

    mean_s: float
    longest_s: float
    first_s: float
    gap_s: float
    runs: int = 0
    former_longest_s: float = 0.0


class RunTimes:
    """Mean and longest run time of recent requests, by route."""

    def __init__(self) -> None:
        self._routes: dict[str, _RouteTimes] = {}

    def record(self, route: str, took_s: float, first_s: float = 0.0, events: int = 0) -> None:
        """Record a run that took ``took_s``.

        An event stream also has the time to its first event, ``first_s``, and its events.
        """
        gap_s = (took_s - first_s) / events if events else 0.0
        former = self._routes.get(route, _RouteTimes(took_s, took_s, first_s, gap_s))
        if former.runs >= LONGEST_RUNS:
            former = former._replace(longest_s=took_s, runs=0, former_longest_s=former.longest_s)
        self._routes[route] = _RouteTimes(
            former.mean_s + MEAN_WEIGHT * (took_s - former.mean_s),
            max(former.longest_s, took_s),
            _fade(former.first_s, first_s),
            _fade(former.gap_s, gap_s),
            former.runs + 1,
            former.former_longest_s,
        )

    def get_mean(self, route: str) -> float | None:
        """Return the mean seconds of a route's recent runs, None if there were none."""
        times = self._routes.get(route)
        return times.mean_s if times is not None else None

    def estimate_longest(self, route: str, events_max: int = 0) -> float | None:
        """Return the seconds that a request takes at most by the route's recent runs.

        None if there were none. A stream with more events than any of them takes longer.
        ``events_max`` is 0 if it is unknown.
        """
        times = self._routes.get(route)
        if times is None:
            return None
        if not events_max or not times.gap_s:
            return max(times.longest_s, times.former_longest_s)
        return times.first_s + events_max * times.gap_s


def _fade(longest_s: float, newest_s: float) -> float:
    """Return the longest time after a newer one: at once if it is longer, else a little less."""
    return max(newest_s, longest_s + LONGEST_WEIGHT * (newest_s - longest_s))


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
