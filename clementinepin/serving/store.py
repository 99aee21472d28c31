"""What the serving path needs of a store, as a Protocol, and a follower of a key range."""

from __future__ import annotations

import random
from typing import Any, NamedTuple, Protocol

import gevent
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure import KeyValue, LeaseGrant, WatchEvent
from clementinepin.infrastructure.exceptions import WatchCompactedError

LOG_PREFIX = "serving:"
RETRY_MIN_S = 0.1  # first pause after a failed call of a follower
RETRY_MAX_S = 1.0  # a returned store is noticed within this time
SHAKY_S = 3.0  # removals this soon after a failure may be lapses of the outage


class Change(NamedTuple):
    """A write that is applied as a whole when each key has its expected version (0: absent)."""

    expected: dict[str, int]
    put: dict[str, bytes]
    remove: tuple[str, ...] = ()
    lease_id: int = 0


class Page(NamedTuple):
    """Values under a prefix; changes behind ``version`` may be watched."""

    values: list[KeyValue]
    version: int


class StateStore(Protocol):
    """A linearizable store with versions, leases and watches.

    Every method may raise PlatformUnavailableError (nothing was done) or ReplyLostError.
    """

    def get(self, key: str) -> KeyValue | None:
        """Return the current value of a key, or None."""

    def list_range(self, prefix: str) -> Page:
        """Return all values under a prefix."""

    def list_page(self, prefix: str, after: str) -> list[KeyValue]:
        """Return the first values under a prefix behind a key, as many as fit in one answer."""

    def watch(self, prefix: str, after: int) -> tuple[list[WatchEvent], int]:
        """Wait for changes behind a version and return them with the version to go on from."""

    def write(self, change: Change) -> int:
        """Apply a change as a whole and return its version."""

    def grant_lease(self, ttl_s: float) -> LeaseGrant:
        """Create a lease."""

    def keep_lease(self, lease_id: int) -> LeaseGrant:
        """Extend a lease; raises LeaseLostError once it ended."""

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""


class StoreListener(Protocol):
    """Receives the state of a key range and its changes."""

    def replace_rows(self, rows: list[KeyValue], *, after_outage: bool) -> None:
        """Take in the whole range. ``after_outage`` says that the store was out of reach."""

    def apply_change(self, key: str, value: bytes | None, version: int) -> None:
        """Take in one change; None removes the key."""


class StoreFollower:
    """Keeps a listener up to date with a key range by list and watch."""

    def __init__(
        self, store: StateStore, prefix: str, listener: StoreListener, clock: Clock
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._clock = clock
        self._failures = 0
        self._failed_at = float("-inf")
        self.version = -1
        self.confirmed_at = float("-inf")

    def run(self) -> None:
        """Follow until killed."""
        while True:
            try:
                self.follow_once()
            except WatchCompactedError:
                logger.bind(prefix=self._prefix, version=self.version).info("watch_history_gone")
                self.version = -1
            except ClementinepinError as err:
                self._note_failure(err)
                pause_s = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** min(self._failures, 6))
                gevent.sleep(pause_s * random.uniform(0.5, 1.0))

    def follow_once(self) -> None:
        """List the range if its state is unknown, then wait for one answer of the watch."""
        if self.version < 0:
            page = self._store.list_range(self._prefix)
            self._listener.replace_rows(page.values, after_outage=self._failures > 0)
            self.version = page.version
            self._note_success()
        events, version = self._store.watch(self._prefix, self.version)
        self._note_success()
        for event in events:
            self._listener.apply_change(event.key, event.value, event.version)
        self.version = version

    def is_shaky(self) -> bool:
        """Tell whether the store was out of reach until a moment ago."""
        return self._clock.monotonic() - self._failed_at < SHAKY_S

    def describe_state(self) -> dict[str, Any]:
        """Return what is known of the range's freshness."""
        age_s = self._clock.monotonic() - self.confirmed_at
        return {"version": self.version, "confirmed_s_ago": round(age_s, 3)}

    def _note_success(self) -> None:
        if self._failures:
            logger.bind(prefix=self._prefix, failures=self._failures).info("store_regained")
        self._failures = 0
        self.confirmed_at = self._clock.monotonic()

    def _note_failure(self, err: ClementinepinError) -> None:
        self._failures += 1
        self._failed_at = self._clock.monotonic()
        if self._failures == 1:
            logger.bind(prefix=self._prefix, error=str(err)).warning("store_lost")
        # What changed meanwhile may include entries that only expired during an outage.
        if self._failures > 1:
            self.version = -1
