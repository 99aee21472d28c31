"""The direct connection of an instance to the store, with a circuit breaker."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final, TypeVar

import gevent
from gevent.event import AsyncResult
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.containment import keep_running
from clementinepin.infrastructure import Change, KeyValue, LeaseGrant, Page, StateStore, WatchEvent
from clementinepin.infrastructure.exceptions import PlatformUnavailableError, ReplyLostError

PROBE_MIN_S: Final = 0.1  # a single lost reply closes the connection for about this time
PROBE_MAX_S: Final = 0.3  # a restored store is noticed within this time
PROBE_KEY: Final = "probe"  # never written: reading a missing key proves that the store replies
T = TypeVar("T")


class DirectStore:
    """A StateStore on the instance's own connection to the store.

    Load pattern: the store is down while many parts of many instances call it. Every call is
    billed, including refused ones, and a call that hangs delays its caller. After a failure the
    connection counts as closed: one probe at a time is sent, and all other calls raise
    PlatformUnavailableError at once until a probe succeeds.
    """

    def __init__(self, store: StateStore, own_prefix: str, rng: random.Random) -> None:
        self._store = store
        self._probe_key = own_prefix + PROBE_KEY
        self._random = rng
        self._watches: set[AsyncResult] = set()
        self.is_open = True

    def get(self, key: str) -> KeyValue | None:
        """Return the current value of a key, or None."""
        return self._call(lambda: self._store.get(key))

    def list_page(self, prefix: str, after: str) -> Page:
        """Return the first page of values under a prefix whose keys come after ``after``."""
        return self._call(lambda: self._store.list_page(prefix, after))

    def list_range(self, prefix: str) -> Page:
        """Return all values under a prefix."""
        return self._call(lambda: self._store.list_range(prefix))

    def watch(self, prefix: str, after: int) -> tuple[list[WatchEvent], int]:
        """Wait for changes; a failed watch does not close the connection.

        Load pattern: a store that stopped responding accepts watches until that is noticed, and
        never replies to them. All pending watches fail when the connection closes.
        """
        self._check()
        result: AsyncResult = AsyncResult()
        call = gevent.spawn(self._run_watch, prefix, after, result)
        self._watches.add(result)
        try:
            return result.get()  # type: ignore[no-any-return]
        finally:
            self._watches.discard(result)
            call.kill(block=False)

    def _run_watch(self, prefix: str, after: int, result: AsyncResult) -> None:
        try:
            result.set(self._store.watch(prefix, after))
        except ClementinepinError as err:
            result.set_exception(err)
        except Exception as err:
            logger.bind(prefix=prefix).opt(exception=err).error("watch_failed")
            result.set_exception(ReplyLostError(f"watch failed: {err!r}"))

    def write(self, change: Change) -> int:
        """Apply a change atomically and return its version."""
        return self._call(lambda: self._store.write(change))

    def grant_lease(self, ttl_s: float) -> LeaseGrant:
        """Create a lease of ``ttl_s`` seconds."""
        return self._call(lambda: self._store.grant_lease(ttl_s))

    def keep_lease(self, lease_id: int) -> LeaseGrant:
        """Extend a lease. Raises LeaseLostError if it has ended."""
        return self._call(lambda: self._store.keep_lease(lease_id))

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which removes its keys."""
        self._call(lambda: self._store.revoke_lease(lease_id))

    def _check(self) -> None:
        if not self.is_open:
            raise PlatformUnavailableError("the direct connection is closed until a probe succeeds")

    def _call(self, call: Callable[[], T]) -> T:
        """Return the call's result; close the connection if the store did not reply."""
        self._check()
        try:
            return call()
        except (PlatformUnavailableError, ReplyLostError) as err:
            if self.is_open:
                self._close(err)
            raise

    def _close(self, reason: ClementinepinError) -> None:
        self.is_open = False
        logger.bind(error=str(reason), watches=len(self._watches)).info("direct_connection_lost")
        for result in self._watches:
            if not result.ready():
                result.set_exception(PlatformUnavailableError("the direct connection closed"))
        gevent.spawn(keep_running, "direct_connection_probes", self._run_probes)

    def _run_probes(self) -> None:
        pause_s = PROBE_MIN_S
        probes = 0
        while not self.is_open:
            gevent.sleep(pause_s * self._random.uniform(0.8, 1.2))
            pause_s = min(PROBE_MAX_S, pause_s * 2)
            probes += 1
            try:
                self._store.get(self._probe_key)
                self.is_open = True
            except ClementinepinError as err:
                logger.bind(error=str(err), probes=probes).debug("direct_connection_probe_failed")
        logger.bind(probes=probes).info("direct_connection_restored")
