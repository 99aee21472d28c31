"""Follows a key range of the store by list and watch, or by the feed of another instance."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Final, Protocol

import gevent
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.containment import contain_failure
from clementinepin.infrastructure import Change, KeyValue, Page, StateStore
from clementinepin.infrastructure.exceptions import WatchCompactedError

RETRY_MIN_S: Final = 0.1  # first pause after a failed call of a follower
RETRY_MAX_S: Final = 1.0  # longest delay until a restored store is noticed
FED_CHECK_S: Final = 0.2  # longest delay until the end of a feed is noticed


class HedgingStore(StateStore, Protocol):
    """A store that can send a request over a second path when the first is slow.

    Of changes, only those that create keys are hedged.
    """

    def write_hedged(self, change: Change) -> int:
        """Apply the change once, however many paths are tried, and return its version."""

    def list_hedged(self, prefix: str) -> Page:
        """Return all values under a prefix."""


class StoreListener(Protocol):
    """Receives the state of a key range and its changes."""

    def replace_rows(self, rows: list[KeyValue]) -> None:
        """Replace the state by the rows of the whole range."""

    def apply_change(self, key: str, value: bytes | None, version: int) -> None:
        """Apply one change; a value of None removes the key."""


class StoreFollower:
    """Keeps a listener up to date with a key range; older versions never replace newer ones.

    ``is_same`` returns whether two values of a key differ in nothing but keep-alive data, so that
    subscribers need no notice. ``version`` is -1 while the range must be listed again, and
    ``confirmed_at`` the monotonic time of the last successful store call, in seconds.
    """

    def __init__(
        self,
        store: StateStore,
        prefix: str,
        listener: StoreListener,
        clock: Clock,
        is_same: Callable[[bytes, bytes], bool] = bytes.__eq__,
    ) -> None:
        self._is_same = is_same
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._clock = clock
        self._failures = 0
        self._fed_until = float("-inf")
        self._removed: dict[str, int] = {}
        self._subscribers: list[Callable[[KeyValue, bool], None]] = []
        self.rows: dict[str, KeyValue] = {}
        self.version = -1
        self.confirmed_at = float("-inf")

    def run(self) -> None:
        """Follow the range until killed; while the follower is fed, the store is not called."""
        while True:
            if self.is_fed():
                gevent.sleep(FED_CHECK_S)
                continue
            try:
                self.follow_once()
            except WatchCompactedError:
                logger.bind(prefix=self._prefix, version=self.version).info(
                    "watch_history_compacted"
                )
                self.version = -1
            except ClementinepinError as err:
                self._record_failure(err)
                pause_s = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** min(self._failures, 6))
                gevent.sleep(pause_s * random.uniform(0.5, 1.0))

    def follow_once(self) -> None:
        """List the range if its state is unknown, then apply the events of one watch call."""
        if self.version < 0:
            page = self._store.list_range(self._prefix)
            self._merge_rows(page.values, page.version)
            self.version = page.version
            self._record_success()
        events, version = self._store.watch(self._prefix, self.version)
        self._record_success()
        for event in events:
            self.receive_change(event.key, event.value, event.version)
        self.version = max(self.version, version)

    def subscribe(self, subscriber: Callable[[KeyValue, bool], None]) -> None:
        """Call ``subscriber`` with each row that changed, and whether it was removed."""
        self._subscribers.append(subscriber)

    def receive_rows(self, rows: list[KeyValue], version: int) -> None:
        """Merge the rows of the whole range as another instance knows them."""
        self._merge_rows(rows, version)
        self.version = max(self.version, version)

    def receive_change(self, key: str, value: bytes | None, version: int) -> None:
        """Apply one change unless a newer version of the key is known."""
        current = self.rows.get(key)
        if version <= (current.version if current else self._removed.get(key, -1)):
            return
        if value is None:
            self.rows.pop(key, None)
            self._removed[key] = version
        else:
            self.rows[key] = KeyValue(key, value, version)
        with contain_failure("store_listener", key=key):
            self._listener.apply_change(key, value, version)
        self.version = max(self.version, version) if self.is_fed() else self.version
        if value is not None and current is not None and self._is_same(current.value, value):
            return
        self._notify_subscribers(KeyValue(key, value or b"", version), gone=value is None)

    def trust_feed_for(self, seconds: float) -> None:
        """Rely on the feed of another instance for a number of seconds from now."""
        self._fed_until = self._clock.monotonic() + seconds

    def limit_feed_trust(self, seconds: float) -> None:
        """Rely on the feed of another instance for at most a number of seconds from now."""
        self._fed_until = min(self._fed_until, self._clock.monotonic() + seconds)

    def is_fed(self) -> bool:
        """Return whether the follower relies on the feed of another instance."""
        return self._clock.monotonic() < self._fed_until

    def is_direct(self) -> bool:
        """Return whether the state comes from the store itself and its last call succeeded."""
        return not self.is_fed() and self._failures == 0 and self.version >= 0

    def describe_state(self) -> dict[str, Any]:
        """Return the version, the seconds since the last confirmation and whether it is fed."""
        age_s = self._clock.monotonic() - self.confirmed_at
        return {"version": self.version, "confirmed_s_ago": round(age_s, 3), "fed": self.is_fed()}

    def _merge_rows(self, rows: list[KeyValue], version: int) -> None:
        """Replace the state by the rows of the whole range, but keep rows that are newer."""
        merged = {row.key: row for row in rows if row.version > self._removed.get(row.key, -1)}
        for key, current in self.rows.items():
            listed = merged.get(key)
            if current.version > (listed.version if listed else version):
                merged[key] = current
        gone = [current for key, current in self.rows.items() if key not in merged]
        changed = [row for row in merged.values() if self._has_changed(row)]
        self.rows = merged
        self._removed = {k: v for k, v in self._removed.items() if v > version}
        with contain_failure("store_listener", prefix=self._prefix):
            self._listener.replace_rows(list(merged.values()))
        for row in changed:
            self._notify_subscribers(row, gone=False)
        for row in gone:
            self._notify_subscribers(row._replace(version=version), gone=True)

    def _notify_subscribers(self, row: KeyValue, *, gone: bool) -> None:
        for subscriber in self._subscribers:
            with contain_failure("store_subscriber", key=row.key):
                subscriber(row, gone)

    def _has_changed(self, row: KeyValue) -> bool:
        current = self.rows.get(row.key)
        return current is None or not self._is_same(current.value, row.value)

    def _record_success(self) -> None:
        if self._failures:
            logger.bind(prefix=self._prefix, failures=self._failures).info("store_regained")
        self._failures = 0
        self.confirmed_at = self._clock.monotonic()

    def _record_failure(self, err: ClementinepinError) -> None:
        self._failures += 1
        if self._failures == 1:
            logger.bind(prefix=self._prefix, error=str(err)).warning("store_lost")
        # List again after a second failure in a row: the changes missed meanwhile may include
        # entries that only expired during an outage.
        if self._failures > 1:
            self.version = -1


class PrefixListener:
    """Passes each row under a key prefix to a handler, by the key without the prefix."""

    def __init__(self, prefix: str, handle_value: Callable[[str, bytes | None], None]) -> None:
        self._prefix = prefix
        self._handle_value = handle_value
        self._known: set[str] = set()

    def replace_rows(self, rows: list[KeyValue]) -> None:
        """Handle all rows, and as removed those that were known and are missing now."""
        for key in self._known - {row.key for row in rows}:
            self.apply_change(key, None, 0)
        for row in rows:
            self.apply_change(row.key, row.value, row.version)

    def apply_change(self, key: str, value: bytes | None, version: int) -> None:
        """Handle one changed or removed row."""
        if value is None:
            self._known.discard(key)
        else:
            self._known.add(key)
        with contain_failure("store_row", key=key):
            self._handle_value(key.removeprefix(self._prefix), value)
