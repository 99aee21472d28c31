"""Draining: an instance serves until the advice that lists it has expired, then rejects.

The advice is the list of entries that callers get from ``/v1/entries``.
"""

from __future__ import annotations

from clementinepin.core import Core, DrainStarted
from clementinepin.entry.exceptions import InstanceLeavingError
from clementinepin.fleet import Fleet
from clementinepin.systems.run_times import RunTimes, find_latest_start


class DrainGate:
    """Rejects new requests of callers from ``refuse_at`` on, in monotonic seconds.

    Before, it rejects those that may not be complete by ``finish_by``, when the instance stops.
    """

    def __init__(self, core: Core, fleet: Fleet) -> None:
        self._core = core
        self._fleet = fleet
        self.refuse_at: float | None = None
        self.finish_by = float("inf")
        self._run_times = RunTimes()
        core.subscribe(DrainStarted, self._schedule_rejection)

    def record_run(self, resource: str, started_at: float) -> None:
        """Record that a request of a resource, which started at ``started_at``, is complete."""
        self._run_times.record(resource, self._core.clock.monotonic() - started_at)

    def check(self, resource: str) -> None:
        """Raise InstanceLeavingError with the addresses of other entries if it is too late."""
        if self.refuse_at is None:
            return
        now = self._core.clock.monotonic()
        longest_s = self._run_times.estimate_longest(resource) or 0.0
        if now < min(self.refuse_at, find_latest_start(self.finish_by, float("inf"), longest_s)):
            return
        own = self._core.settings.instance.name
        other_addresses = [
            f"{entry.address}:{entry.port}"
            for entry in self._fleet.advise_entries().entries
            if entry.name != own
        ]
        message = f"this instance is leaving; use {', '.join(other_addresses) or 'another one'}"
        raise InstanceLeavingError(message, retry_at=self._core.clock.wall())

    def _schedule_rejection(self, event: DrainStarted) -> None:
        advised_until = self._core.clock.monotonic() + self._core.settings.limits.advice_s
        self.refuse_at = min(advised_until, event.deadline)
        self.finish_by = event.deadline
