"""Measures how the slots of a service are used, for decisions, log lines and dumps."""

from __future__ import annotations

from typing import NamedTuple

from clementinepin.systems import target_limits
from clementinepin.tables.dispatch import DispatchTable


class ServiceLoad(NamedTuple):
    """Slots of a service and their use.

    ``online``, ``batch`` and ``preempting`` count granted slots, ``untracked`` those that runs
    without a known grant take. ``waiting`` counts online requests and ``items`` batch items in the
    queues.
    """

    slots: int = 0
    online: int = 0
    batch: int = 0
    preempting: int = 0
    untracked: int = 0
    waiting: int = 0
    items: int = 0

    @property
    def taken(self) -> int:
        """Return the granted slots."""
        return self.online + self.batch + self.preempting


def list_services(table: DispatchTable) -> list[str]:
    """Return the names of the services that have targets, in order."""
    return sorted({target.service for target in table.targets.values()})


def count_usable_slots(table: DispatchTable, service: str) -> float:
    """Return the slots of a service that callers can use within the limits of its targets."""
    run_s = table.arrivals[service].run_s
    targets = [target for target in table.targets.values() if target.service == service]
    return sum(target_limits.count_usable_slots(target, run_s) for target in targets)


def measure_load(table: DispatchTable, service: str, now: float) -> ServiceLoad:
    """Return the use of a service's slots at ``now`` (monotonic seconds)."""
    targets = [t for t in table.targets.values() if t.service == service]
    grants = [grant for target in targets for grant in target.grants.values()]
    preempting = sum(grant.preempting for grant in grants)
    batch = sum(grant.is_batch for grant in grants) - preempting
    return ServiceLoad(
        slots=sum(target.slots for target in targets),
        online=len(grants) - batch - preempting,
        batch=batch,
        preempting=preempting,
        untracked=sum(target.count_untracked(now) for target in targets),
        waiting=sum(1 for request in table.waiting.values() if request.service == service),
        items=len(table.items.get(service, ())),
    )
