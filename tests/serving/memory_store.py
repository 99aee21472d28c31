"""An in-memory StateStore that can fail, lose replies and apply lost writes later."""

from __future__ import annotations

from collections import deque

import gevent
from gevent.event import Event

from clementinepin.infrastructure import Change, KeyValue, LeaseGrant, Page, WatchEvent
from clementinepin.infrastructure.exceptions import (
    LeaseLostError,
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
    WatchCompactedError,
)


class MemoryStore:
    """An in-memory StateStore.

    ``faults`` holds the faults of the next writes: ``unavailable`` fails, ``lost`` is applied but
    its reply is lost, ``late`` loses the reply and is applied by ``do_late_writes``.
    """

    def __init__(self) -> None:
        self.rows: dict[str, KeyValue] = {}
        self.events: list[WatchEvent] = []
        self.version = 0
        self.compacted = 0
        self.down = False
        self.faults: deque[str] = deque()
        self.late: list[Change] = []
        self.leases: dict[int, set[str]] = {}
        self.writes = 0
        self.reads = 0
        self._changed = Event()

    def get(self, key: str) -> KeyValue | None:
        self._check()
        self.reads += 1
        return self.rows.get(key)

    def list_page(self, prefix: str, after: str) -> Page:
        rows = [row for row in self.list_range(prefix).values if row.key > after]
        return Page(rows, self.version)

    def list_range(self, prefix: str) -> Page:
        self._check()
        self.reads += 1
        rows = [self.rows[key] for key in sorted(self.rows) if key.startswith(prefix)]
        return Page(rows, self.version)

    def watch(self, prefix: str, after: int) -> tuple[list[WatchEvent], int]:
        while True:
            self._check()
            if after < self.compacted:
                raise WatchCompactedError(prefix)
            events = [e for e in self.events if e.version > after and e.key.startswith(prefix)]
            if events:
                return events, self.version
            self._changed.clear()
            self._changed.wait()

    def write(self, change: Change) -> int:
        self._check()
        fault = self.faults.popleft() if self.faults else ""
        if fault == "unavailable":
            raise PlatformUnavailableError("busy")
        if fault == "late":
            self.late.append(change)
            raise ReplyLostError("no reply")
        version = self.apply(change)
        if fault == "lost":
            raise ReplyLostError("no reply")
        return version

    def list_hedged(self, prefix: str) -> Page:
        return self.list_range(prefix)

    def write_hedged(self, change: Change) -> int:
        return self.write(change)

    def apply(self, change: Change) -> int:
        self.writes += 1
        for key, expected in change.expected.items():
            current = self.rows.get(key)
            if (current.version if current else 0) != expected:
                raise VersionConflictError(key, current.version if current else 0, None)
        if change.lease_id and change.lease_id not in self.leases:
            raise LeaseLostError(str(change.lease_id))
        self.version += 1
        for key, value in change.put.items():
            self.rows[key] = KeyValue(key, value, self.version)
            self.events.append(WatchEvent(key, value, self.version))
            if change.lease_id:
                self.leases[change.lease_id].add(key)
        for key in change.remove:
            self.remove(key)
        self._changed.set()
        return self.version

    def remove(self, key: str) -> None:
        if self.rows.pop(key, None) is not None:
            self.version += 1
            self.events.append(WatchEvent(key, None, self.version))
            self._changed.set()

    def do_late_writes(self) -> None:
        for change in self.late:
            try:
                self.apply(change)
            except VersionConflictError:
                continue
        self.late.clear()

    def compact(self) -> None:
        self.compacted = self.version
        self._changed.set()

    def wake(self) -> None:
        self._changed.set()
        gevent.sleep(0)

    def grant_lease(self, ttl_s: float) -> LeaseGrant:
        self._check()
        lease_id = len(self.leases) + 1
        self.leases[lease_id] = set()
        return LeaseGrant(lease_id, ttl_s)

    def keep_lease(self, lease_id: int) -> LeaseGrant:
        self._check()
        if lease_id not in self.leases:
            raise LeaseLostError(str(lease_id))
        return LeaseGrant(lease_id, 0.0)

    def revoke_lease(self, lease_id: int) -> None:
        for key in self.leases.pop(lease_id, set()):
            self.remove(key)

    def _check(self) -> None:
        if self.down:
            raise PlatformUnavailableError("down")
