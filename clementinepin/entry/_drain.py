"""Leaving: an instance serves until the advice that named it has expired, then refuses."""

from __future__ import annotations

from clementinepin.core import Core, DrainStarted
from clementinepin.entry.exceptions import InstanceLeavingError
from clementinepin.fleet import Fleet


class DrainGate:
    """Refuses callers' new requests from ``refuse_at`` (monotonic seconds) on."""

    def __init__(self, core: Core, fleet: Fleet) -> None:
        self._core = core
        self._fleet = fleet
        self.refuse_at: float | None = None
        core.subscribe(DrainStarted, self._start)

    def check(self) -> None:
        """Raise InstanceLeavingError, which names other entries, once refusing."""
        if self.refuse_at is None or self._core.clock.monotonic() < self.refuse_at:
            return
        own = self._core.settings.instance.name
        others = [
            f"{entry.address}:{entry.port}"
            for entry in self._fleet.advise_entries().entries
            if entry.name != own
        ]
        message = f"this instance is leaving; use {', '.join(others) or 'another one'}"
        raise InstanceLeavingError(message, retry_at=self._core.clock.wall())

    def _start(self, event: DrainStarted) -> None:
        advised_until = self._core.clock.monotonic() + self._core.settings.limits.advice_s
        self.refuse_at = min(advised_until, event.deadline)
