"""In-memory KeyValueStore with faults that a test can inject at each call."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Protocol

import gevent

from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure import KeyValue, LeaseGrant, WatchEvent
from clementinepin.infrastructure.exceptions import (
    LeaseLostError,
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
    WatchCompactedError,
)
from standins.key_value._state import KeyValueState, PutResult, end_of_prefix

WATCH_POLL_S = 0.02


class CallHook(Protocol):
    """Called around each call; both methods may raise the errors of the store."""

    def before(self, call: str, key: str) -> None:
        """Run before the call takes effect."""

    def after(self, call: str, key: str) -> None:
        """Run after the call took effect and before its reply."""


class MemoryKeyValueStore:
    """KeyValueStore over a ``KeyValueState``, which several clients may share.

    While ``down`` is set all calls fail; ``delay_s`` delays each call; ``replies_to_lose`` counts
    writes that take effect but whose replies are lost; ``hook`` is called around each call.
    """

    def __init__(self, clock: Clock, state: KeyValueState | None = None) -> None:
        self.clock = clock
        self.state = state or KeyValueState()
        self.calls: Counter[str] = Counter()
        self.down = False
        self.delay_s = 0.0
        self.replies_to_lose = 0
        self.hook: CallHook | None = None
        self._watch_generation = 0

    def get(self, key: str) -> KeyValue | None:
        """Return the row of a key, or None."""
        self._begin_call("get", key)
        row = self.state.get(key)
        self._end_call("get", key)
        return row

    def put(self, key: str, value: bytes, *, expected: int | None, lease_id: int = 0) -> int:
        """Write if the version matches; return the new version.

        Raise LeaseLostError, VersionConflictError, or ReplyLostError if the outcome is unknown.
        """
        self._begin_call("put", key)
        if lease_id and not self.state.has_lease(lease_id):
            raise LeaseLostError(key)
        result = self.state.put(key, value, expected, lease_id)
        self._finish_write("put", key, result)
        return result.version

    def delete(self, key: str, *, expected: int | None) -> None:
        """Delete if the version matches; raise as ``put``."""
        self._begin_call("delete", key)
        self._finish_write("delete", key, self.state.delete(key, expected))

    def list_range(self, prefix: str, *, after: str = "", limit: int = 1000) -> list[KeyValue]:
        """Return rows under a prefix in key order, starting after the key ``after``."""
        self._begin_call("list_range", prefix)
        start = max(prefix, after + "\x00") if after else prefix
        rows = self.state.list_range(start, end_of_prefix(prefix), limit)
        self._end_call("list_range", prefix)
        return rows

    def grant_lease(self, ttl_s: float) -> LeaseGrant:
        """Create a lease of ``ttl_s`` seconds."""
        now = self.clock.monotonic()
        self._begin_call("grant_lease", "")
        grant = LeaseGrant(self.state.grant_lease(ttl_s, now), now + ttl_s)
        self._end_call("grant_lease", "")
        return grant

    def keep_lease(self, lease_id: int) -> LeaseGrant:
        """Extend a lease; raise LeaseLostError if it has expired."""
        now = self.clock.monotonic()
        self._begin_call("keep_lease", "")
        ttl_s = self.state.keep_lease(lease_id, now)
        if ttl_s is None:
            raise LeaseLostError(str(lease_id))
        self._end_call("keep_lease", "")
        return LeaseGrant(lease_id, now + ttl_s)

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        self._begin_call("revoke_lease", "")
        self.state.revoke_lease(lease_id)
        self._end_call("revoke_lease", "")

    def watch(self, prefix: str, *, after_version: int) -> Iterator[WatchEvent]:
        """Yield changes after a version.

        Raise PlatformUnavailableError after ``drop_watches`` or while down, and
        WatchCompactedError if the history no longer reaches back to the version.
        """
        self._begin_call("watch", prefix)
        generation = self._watch_generation
        end = end_of_prefix(prefix)
        while True:
            if self.down or generation != self._watch_generation:
                raise PlatformUnavailableError(prefix)
            self.state.expire_leases(self.clock.monotonic())
            if after_version < self.state.compacted:
                raise WatchCompactedError(prefix, compacted=self.state.compacted)
            for event in self.state.list_events(prefix, end, after_version):
                after_version = event.version
                yield event
            gevent.sleep(WATCH_POLL_S)

    def drop_watches(self) -> None:
        """End each watch in progress with an error."""
        self._watch_generation += 1

    def _begin_call(self, call: str, key: str) -> None:
        self.calls[call] += 1
        if self.hook is not None:
            self.hook.before(call, key)
        if self.delay_s:
            gevent.sleep(self.delay_s)
        if self.down:
            raise PlatformUnavailableError(key)
        self.state.expire_leases(self.clock.monotonic())

    def _end_call(self, call: str, key: str) -> None:
        if self.hook is not None:
            self.hook.after(call, key)

    def _finish_write(self, call: str, key: str, result: PutResult) -> None:
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            raise ReplyLostError(key)
        self._end_call(call, key)
        if not result.succeeded:
            current = result.current
            raise VersionConflictError(
                key, current.version if current else 0, current.value if current else None
            )
