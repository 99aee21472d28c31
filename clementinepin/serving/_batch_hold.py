"""Keeps batch items away from targets that another dispatcher may still grant to callers."""

from __future__ import annotations

from typing import Final

from clementinepin.helpers.clock import Clock
from clementinepin.serving._dispatcher_link import DispatcherLink
from clementinepin.serving._fleet import FleetView
from clementinepin.serving._local_choice import LOCAL_RETRY_S
from clementinepin.serving.exceptions import OverloadedError

# Batch starts without the dispatcher only after this time: a lost dispatcher's lease ends after
# 3 s, and items are due within 18 s.
LOCAL_BATCH_AFTER_S: Final = 9.0


class BatchHold:
    """Tells when batch may start without the first registered dispatcher.

    Load pattern: job runners lose the connection to the dispatcher while entries still reach it.
    Batch items under a second dispatcher would take slots that the first one grants to callers.
    After LOCAL_BATCH_AFTER_S batch uses the linked dispatcher, or none, all the same.
    """

    def __init__(self, fleet: FleetView, link: DispatcherLink, clock: Clock) -> None:
        self._fleet = fleet
        self._link = link
        self._clock = clock
        self._first_linked_at = clock.monotonic()

    def record_link(self) -> bool:
        """Return whether the linked dispatcher is the first registered one, and record the time.

        Called at each message, as items that run for long send no requests meanwhile.
        """
        first = next(iter(self._fleet.list_job_runners()), None)
        if first is not None and self._link.dispatcher_name != first.name:
            return False
        self._first_linked_at = self._clock.monotonic()
        return True

    def check_linked(self) -> None:
        """Raise OverloadedError while the linked dispatcher is not the first registered one."""
        if not self.record_link():
            self.check_alone("batch waits for the first dispatcher")

    def check_alone(self, reason: str = "batch waits for a dispatcher") -> None:
        """Raise OverloadedError within LOCAL_BATCH_AFTER_S without the first dispatcher."""
        if self._clock.monotonic() - self._first_linked_at < LOCAL_BATCH_AFTER_S:
            raise OverloadedError(reason, LOCAL_RETRY_S)
