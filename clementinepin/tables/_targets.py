"""Targets in the view of this instance."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from clementinepin.targets.models import LoadReport, TargetAddress


class TargetRow(NamedTuple):
    """One target. Times are monotonic seconds; 0.0 means never.

    ``leaving`` comes from the instance list, ``refused_until`` from a refusal by the target
    itself because it is leaving. ``online`` and ``batch`` count this instance's own calls in
    flight. ``others_online`` counts the online calls of the other instances, as the owner of the
    target's allowance reported it at ``others_at``. ``reported_online`` is the count of own calls
    that the owner knew at that time. ``closed_until`` is set while the target is isolated for a
    suspect. Before ``no_isolation_until`` its owner is not asked again to isolate it.
    ``model_refusals`` has the last time at which the target refused a call because its model or
    adapter was not loaded, by application.
    """

    name: str
    service: str
    address: TargetAddress
    data_centre: str
    region: str
    slots_max: int
    leaving: bool = False
    refused_until: float = 0.0
    report: LoadReport | None = None
    online: int = 0
    batch: int = 0
    others_online: int = 0
    others_at: float = 0.0
    reported_online: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    slow_start_until: float = 0.0
    closed_until: float = 0.0
    no_isolation_until: float = 0.0
    cached_prefixes: frozenset[str] = frozenset()
    model_refusals: Mapping[str, float] = MappingProxyType({})

    def is_open(self, now: float) -> bool:
        """Return whether the target accepts new work, as far as is known."""
        return not self.leaving and self.refused_until <= now


class TargetTable:
    """Targets by name, in name order."""

    def __init__(self) -> None:
        self._rows: dict[str, TargetRow] = {}

    def __iter__(self) -> Iterator[TargetRow]:
        return iter(self._rows.values())

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, name: str) -> TargetRow | None:
        """Return a target, or None."""
        return self._rows.get(name)

    def put(self, row: TargetRow) -> None:
        """Add or replace a target."""
        known = row.name in self._rows
        self._rows[row.name] = row
        if not known:
            self._rows = dict(sorted(self._rows.items()))

    def update(self, name: str, **changes: Any) -> None:
        """Change fields of a target if it is known."""
        row = self._rows.get(name)
        if row is not None:
            self._rows[name] = row._replace(**changes)

    def add_running(self, name: str, *, online: int = 0, batch: int = 0) -> None:
        """Add to the counts of this instance's calls in flight at a target if it is known."""
        row = self._rows.get(name)
        if row is not None:
            self._rows[name] = row._replace(online=row.online + online, batch=row.batch + batch)

    def remove(self, name: str) -> None:
        """Remove a target."""
        self._rows.pop(name, None)

    def list_named(self, names: Iterable[str]) -> list[TargetRow]:
        """Return the rows of these names in their order, without unknown ones."""
        return [row for name in names if (row := self._rows.get(name)) is not None]

    def iterate_service(self, service: str) -> Iterator[TargetRow]:
        """Yield the targets of a service."""
        return (row for row in self._rows.values() if row.service == service)

    def list_service(self, service: str) -> list[TargetRow]:
        """Return the targets of a service."""
        return list(self.iterate_service(service))
