"""Draining: an instance serves until the advice that lists it has expired, then rejects.

The advice is the list of entries that callers get from ``/v1/entries``.
"""

from __future__ import annotations

from clementinepin.core import Core, DrainStarted
from clementinepin.entry.exceptions import InstanceLeavingError
from clementinepin.fleet import Fleet


class DrainGate:
    """Rejects new requests of callers from ``refuse_at`` on, in monotonic seconds."""

    def __init__(self, core: Core, fleet: Fleet) -> None:
        self._core = core
        self._fleet = fleet
        self.refuse_at: float | None = None
        core.subscribe(DrainStarted, self._schedule_rejection)

    def check(self) -> None:
        """Raise InstanceLeavingError with the addresses of other entries from ``refuse_at`` on."""
        if self.refuse_at is None or self._core.clock.monotonic() < self.refuse_at:
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
