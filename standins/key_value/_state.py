"""State of the key-value service: versions, leases and the history that watches read.

It does no input or output and reads no clock; ``now`` is an argument in seconds.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from typing import NamedTuple

from clementinepin.infrastructure import KeyValue, WatchEvent

HISTORY_MAX_EVENTS = 200_000


class PutResult(NamedTuple):
    """Outcome of a conditional write.

    ``version`` is the store's revision after the call; ``current`` is the row of a failed write's
    key, or None if the key is absent.
    """

    succeeded: bool
    version: int
    current: KeyValue | None


class _Lease:
    def __init__(self, ttl_s: float, deadline: float) -> None:
        self.ttl_s = ttl_s
        self.deadline = deadline
        self.keys: set[str] = set()


class KeyValueState:
    """Keys with versions, conditional writes, leases and a history of changes.

    ``revision`` is the version of the last change; the history up to ``compacted`` is gone. When
    it holds more than ``history_max`` changes, the older half is dropped.
    """

    def __init__(self, history_max: int = HISTORY_MAX_EVENTS) -> None:
        self.revision = 0
        self.compacted = 0
        self._history_max = history_max
        self._rows: dict[str, KeyValue] = {}
        self._keys: list[str] = []
        self._lease_by_key: dict[str, int] = {}
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1000
        self._history: list[WatchEvent] = []

    def get(self, key: str) -> KeyValue | None:
        """Return the row of a key, or None."""
        return self._rows.get(key)

    def list_range(self, start: str, end: str | None, limit: int) -> list[KeyValue]:
        """Return rows with start <= key < end in key order; end None or limit 0 means no bound."""
        first = bisect_left(self._keys, start)
        last = len(self._keys) if end is None else bisect_left(self._keys, end)
        if limit:
            last = min(last, first + limit)
        return [self._rows[key] for key in self._keys[first:last]]

    def put(self, key: str, value: bytes, expected: int | None, lease_id: int = 0) -> PutResult:
        """Write if the key has the expected version: 0 for an absent key, None for any.

        A lease has to be alive; the caller checks that with ``has_lease``.
        """
        current = self._rows.get(key)
        if expected is not None and expected != (current.version if current else 0):
            return PutResult(False, self.revision, current)
        self.revision += 1
        self._set(key, value, lease_id)
        return PutResult(True, self.revision, None)

    def transact(self, puts: list[tuple[str, bytes, int]], removals: list[str]) -> int:
        """Write and delete keys as one change; return its version. Leases have to be alive."""
        self.revision += 1
        for key, value, lease_id in puts:
            self._set(key, value, lease_id)
        for key in removals:
            if key in self._rows:
                self._remove(key)
                self._record(WatchEvent(key, None, self.revision))
        return self.revision

    def delete(self, key: str, expected: int | None) -> PutResult:
        """Delete if the key has the expected version; deleting an absent key changes nothing."""
        current = self._rows.get(key)
        if expected is not None and expected != (current.version if current else 0):
            return PutResult(False, self.revision, current)
        if current is None:
            return PutResult(True, self.revision, None)
        self.revision += 1
        self._remove(key)
        self._record(WatchEvent(key, None, self.revision))
        return PutResult(True, self.revision, None)

    def grant_lease(self, ttl_s: float, now: float) -> int:
        """Create a lease of ``ttl_s`` seconds and return its id."""
        self._next_lease += 1
        self._leases[self._next_lease] = _Lease(ttl_s, now + ttl_s)
        return self._next_lease

    def has_lease(self, lease_id: int) -> bool:
        """Return whether a lease is alive."""
        return lease_id in self._leases

    def keep_lease(self, lease_id: int, now: float) -> float | None:
        """Extend a lease and return its duration in seconds, or None if it has expired."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return None
        lease.deadline = now + lease.ttl_s
        return lease.ttl_s

    def revoke_lease(self, lease_id: int) -> bool:
        """End a lease and delete its keys; return whether it was alive."""
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return False
        for key in sorted(lease.keys):
            self.delete(key, None)
        return True

    def expire_leases(self, now: float) -> None:
        """End each lease whose deadline has passed and delete its keys."""
        for lease_id in [i for i, lease in self._leases.items() if lease.deadline <= now]:
            self.revoke_lease(lease_id)

    def expire_all_leases(self) -> None:
        """End all leases at once, whatever their deadlines, and delete their keys."""
        for lease_id in list(self._leases):
            self.revoke_lease(lease_id)

    def list_events(self, start: str, end: str | None, after_version: int) -> list[WatchEvent]:
        """Return the changes in a key range after a version, oldest first."""
        first = bisect_right(self._history, after_version, key=lambda event: event.version)
        return [e for e in self._history[first:] if start <= e.key and (end is None or e.key < end)]

    def _set(self, key: str, value: bytes, lease_id: int) -> None:
        if key not in self._rows:
            insort(self._keys, key)
        self._rows[key] = KeyValue(key, value, self.revision)
        self._attach_lease(key, lease_id)
        self._record(WatchEvent(key, value, self.revision))

    def _attach_lease(self, key: str, lease_id: int) -> None:
        self._detach_lease(key)
        if lease_id:
            self._leases[lease_id].keys.add(key)
            self._lease_by_key[key] = lease_id

    def _detach_lease(self, key: str) -> None:
        lease = self._leases.get(self._lease_by_key.pop(key, 0))
        if lease is not None:
            lease.keys.discard(key)

    def _remove(self, key: str) -> None:
        self._detach_lease(key)
        del self._rows[key]
        del self._keys[bisect_left(self._keys, key)]

    def _record(self, event: WatchEvent) -> None:
        self._history.append(event)
        if len(self._history) > self._history_max:
            half = self._history_max // 2
            self.compacted = self._history[half - 1].version
            del self._history[:half]


def end_of_prefix(prefix: str) -> str | None:
    """Return the first key after all keys with the prefix; None for the empty prefix."""
    if not prefix:
        return None
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
