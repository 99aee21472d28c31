"""Follows a key range of the store by list and watch."""

from __future__ import annotations

import random
from typing import Any, Protocol

import gevent
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure import KeyValue, StateStore
from clementinepin.infrastructure.exceptions import WatchCompactedError

LOG_PREFIX = "serving:"
RETRY_MIN_S = 0.1  # first pause after a failed call of a follower
RETRY_MAX_S = 1.0  # a returned store is noticed within this time
SHAKY_S = 3.0  # removals this soon after a failure may be lapses of the outage


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
