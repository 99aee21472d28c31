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
    """Fault points around each call; either method may raise what the store may raise."""

    def before(self, call: str, key: str) -> None:
        """Run before the call takes effect."""

    def after(self, call: str, key: str) -> None:
        """Run after the effect and before the reply."""


class MemoryKeyValueStore:
    """A client of a shared ``KeyValueState``.

    ``down`` refuses all calls, ``delay_s`` slows them, ``replies_to_lose`` counts writes whose
    reply is lost after the effect; ``hook`` sees each call. Several clients may share a state.
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
        """Return the value of a key, or None."""
        self._enter("get", key)
        row = self.state.get(key)
        self._leave("get", key)
        return row

    def put(self, key: str, value: bytes, *, expected: int | None, lease_id: int = 0) -> int:
        """Write if the version matches and return the new one."""
        self._enter("put", key)
        if lease_id and not self.state.has_lease(lease_id):
            raise LeaseLostError(key)
        result = self.state.put(key, value, expected, lease_id)
        self._finish_write("put", key, result)
        return result.version

    def delete(self, key: str, *, expected: int | None) -> None:
        """Delete if the version matches."""
        self._enter("delete", key)
        self._finish_write("delete", key, self.state.delete(key, expected))

    def list_range(self, prefix: str, *, after: str = "", limit: int = 1000) -> list[KeyValue]:
        """Return values under a prefix in key order, starting behind key ``after``."""
        self._enter("list_range", prefix)
        start = max(prefix, after + "\x00") if after else prefix
        rows = self.state.list_range(start, end_of_prefix(prefix), limit)
        self._leave("list_range", prefix)
        return rows

    def grant_lease(self, ttl_s: float) -> LeaseGrant:
        """Create a lease."""
        now = self.clock.monotonic()
        self._enter("grant_lease", "")
        grant = LeaseGrant(self.state.grant_lease(ttl_s, now), now + ttl_s)
        self._leave("grant_lease", "")
        return grant

    def keep_lease(self, lease_id: int) -> LeaseGrant:
        """Extend a lease; raises LeaseLostError once it lapsed."""
        now = self.clock.monotonic()
        self._enter("keep_lease", "")
        ttl_s = self.state.keep_lease(lease_id, now)
        if ttl_s is None:
            raise LeaseLostError(str(lease_id))
        self._leave("keep_lease", "")
        return LeaseGrant(lease_id, now + ttl_s)

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        self._enter("revoke_lease", "")
        self.state.revoke_lease(lease_id)
        self._leave("revoke_lease", "")

    def watch(self, prefix: str, *, after_version: int) -> Iterator[WatchEvent]:
        """Yield changes behind a version until ``drop_watches`` or an outage."""
        self._enter("watch", prefix)
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
        """Break each watch in progress."""
        self._watch_generation += 1

    def _enter(self, call: str, key: str) -> None:
        self.calls[call] += 1
        if self.hook is not None:
            self.hook.before(call, key)
        if self.delay_s:
            gevent.sleep(self.delay_s)
        if self.down:
            raise PlatformUnavailableError(key)
        self.state.expire_leases(self.clock.monotonic())

    def _leave(self, call: str, key: str) -> None:
        if self.hook is not None:
            self.hook.after(call, key)

    def _finish_write(self, call: str, key: str, result: PutResult) -> None:
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            raise ReplyLostError(key)
        self._leave(call, key)
        if not result.succeeded:
            current = result.current
            raise VersionConflictError(
                key, current.version if current else 0, current.value if current else None
            )
