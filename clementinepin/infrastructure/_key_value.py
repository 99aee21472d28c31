"""Client of the key-value service: budget, breaker, backoff and settlement of lost replies.

Each stored value ends in the operation id of its write. A write whose reply was lost is sent
again under the same id and version: it takes effect at most once, and a lost race against
one's own id is a success. Comparing values alone would take another writer's equal value for
one's own, and two writers would both believe that they had won.
"""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable, Iterator
from operator import methodcaller
from typing import TypeVar

import gevent
from loguru import logger

from clementinepin.const import VALUE_MAX_BYTES
from clementinepin.exceptions import InvalidInputError
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.metrics import Metrics
from clementinepin.infrastructure._backoff import choose_backoff
from clementinepin.infrastructure._breaker import CircuitBreaker
from clementinepin.infrastructure._budget import TokenBucket
from clementinepin.infrastructure.exceptions import (
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
    WatchCompactedError,
)
from clementinepin.infrastructure.models import (
    Change,
    KeyValue,
    KeyValueStore,
    LeaseGrant,
    StateStore,
    WatchEvent,
)

LOG_PREFIX = "platform:"
CALL_DEADLINE_S = 4.0
BUDGET_WAIT_MAX_S = 1.0
BUDGET_BURST_S = 4.0
BUDGET_BURST_MIN_CALLS = 20.0
OPERATION_ID_BYTES = 8
T = TypeVar("T")


class _KeyValueClient:
    """The KeyValueStore over one or more addresses of the store."""

    def __init__(
        self,
        stores: tuple[StateStore, ...],
        calls_per_s: float,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        burst = max(BUDGET_BURST_MIN_CALLS, calls_per_s * BUDGET_BURST_S)
        self._stores = stores
        self._current = 0
        self._seen_version = 0
        self._clock = clock
        self._metrics = metrics
        self._random = rng
        self._bucket = TokenBucket(calls_per_s, burst, clock.monotonic())
        self._breaker = CircuitBreaker(rng)

    def get(self, key: str) -> KeyValue | None:
        """Return the value of a key, or None."""
        row = self._read("get", lambda store: store.get(key))
        return None if row is None else _read_row(row)

    def list_range(self, prefix: str, *, after: str = "", limit: int = 1000) -> list[KeyValue]:
        """Return values under a prefix in key order, starting behind key ``after``."""
        rows: list[KeyValue] = []
        while True:
            page = self._read("list", methodcaller("list_page", prefix, after))
            if not rows:
                self._seen_version = max(self._seen_version, page.version)
            rows.extend(_read_row(row) for row in page.values)
            if page.is_last or len(rows) >= limit:
                return rows[:limit]
            after = page.values[-1].key

    def put(self, key: str, value: bytes, *, expected: int | None, lease_id: int = 0) -> int:
        """Write if the version matches and return the new one."""
        if len(value) > VALUE_MAX_BYTES:
            raise InvalidInputError(f"value of {key} exceeds {VALUE_MAX_BYTES} bytes", param=key)
        operation_id = secrets.token_bytes(OPERATION_ID_BYTES)
        change = Change(_expect(key, expected), {key: value + operation_id}, lease_id=lease_id)
        try:
            version, _ = self._write("put", change, repeat=expected is not None)
        except _RaceLostError as err:
            current = err.conflict
            if current.value is not None and current.value.endswith(operation_id):
                return current.current
            raise _explain_race(key, current, err.after_loss) from err
        return version

    def delete(self, key: str, *, expected: int | None) -> None:
        """Delete if the version matches."""
        change = Change(_expect(key, expected), {}, (key,))
        try:
            self._write("delete", change, repeat=True)
        except _RaceLostError as err:
            if err.conflict.value is None and err.after_loss:
                return
            raise _explain_race(key, err.conflict, err.after_loss) from err

    def grant_lease(self, ttl_s: float) -> LeaseGrant:
        """Create a lease; one whose reply is lost lapses by itself."""
        return self._read("grant", lambda store: store.grant_lease(ttl_s))

    def keep_lease(self, lease_id: int) -> LeaseGrant:
        """Extend a lease; raises LeaseLostError once it lapsed."""
        return self._read("keep", lambda store: store.keep_lease(lease_id))

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys; one that lapsed already is no failure."""
        self._read("revoke", lambda store: store.revoke_lease(lease_id))

    def watch(self, prefix: str, *, after_version: int) -> Iterator[WatchEvent]:
        """Yield changes behind a version until the connection drops.

        A caller resumes without a gap behind the last version that it saw.
        """
        self._enter("watch")
        after = after_version
        while True:
            store = self._stores[self._current]
            try:
                events, after = store.watch(prefix, after)
            except WatchCompactedError as err:
                # A list read from now on shows all changes up to a version seen before.
                raise WatchCompactedError(prefix, compacted=self._seen_version) from err
            except ReplyLostError as err:
                self._move_on()
                raise PlatformUnavailableError(prefix) from err
            except PlatformUnavailableError:
                self._move_on()
                raise
            for event in events:
                yield _read_event(event)

    def _read(self, name: str, call: Callable[[StateStore], T]) -> T:
        """Call until answered; an unanswered read is one that did not happen."""
        try:
            answer, _ = self._call(name, call, repeat=True, settle=False)
        except ReplyLostError as err:
            raise PlatformUnavailableError(name, retry_at=err.retry_at) from err
        return answer

    def _write(self, name: str, change: Change, *, repeat: bool) -> tuple[int, bool]:
        return self._call(name, lambda store: store.write(change), repeat=repeat, settle=True)

    def _call(
        self, name: str, call: Callable[[StateStore], T], *, repeat: bool, settle: bool
    ) -> tuple[T, bool]:
        """Return the answer, and whether a reply was lost before it.

        With ``settle`` a lost reply is followed up to the deadline, past an open breaker.
        """
        deadline = self._clock.monotonic() + CALL_DEADLINE_S
        self._enter(name)
        attempt = 0
        failure: PlatformUnavailableError | ReplyLostError | None = None
        while True:
            try:
                answer = call(self._stores[self._current])
            except (PlatformUnavailableError, ReplyLostError) as err:
                self._move_on()
                failure = _join_failures(failure, err)
            except VersionConflictError as err:
                self._breaker.record_success()
                raise _RaceLostError(err, isinstance(failure, ReplyLostError)) from err
            else:
                self._breaker.record_success()
                return answer, isinstance(failure, ReplyLostError)
            attempt += 1
            self._note_failure(name)
            unsettled = settle and isinstance(failure, ReplyLostError)
            if unsettled and not repeat:
                raise failure
            if not unsettled and not self._breaker.is_closed:
                raise failure
            self._wait_for_attempt(failure, attempt, deadline)

    def _move_on(self) -> None:
        self._current = (self._current + 1) % len(self._stores)

    def _enter(self, name: str) -> None:
        """Pass the breaker and the budget, or refuse with a time to come back."""
        now = self._clock.monotonic()
        if not self._breaker.allow(now):
            raise self._refuse("breaker open", self._breaker.open_until - now)
        wait_s = self._bucket.reserve(now, BUDGET_WAIT_MAX_S)
        if wait_s is None:
            raise self._refuse("budget spent", self._bucket.estimate_wait(now))
        if wait_s:
            self._metrics.incr("platform.key_value.budget_waits")
            gevent.sleep(wait_s)
        self._metrics.incr(f"platform.key_value.calls.{name}")

    def _wait_for_attempt(
        self, failure: PlatformUnavailableError | ReplyLostError, attempt: int, deadline: float
    ) -> None:
        """Wait for the next attempt, or raise what is known when there is none."""
        now = self._clock.monotonic()
        wait_s = choose_backoff(attempt, self._random)
        token_s = self._bucket.reserve(now, BUDGET_WAIT_MAX_S)
        if token_s is None or now + wait_s > deadline:
            raise failure
        gevent.sleep(max(wait_s, token_s))
        self._metrics.incr("platform.key_value.calls.repeated")

    def _note_failure(self, name: str) -> None:
        was_closed = self._breaker.is_closed
        self._breaker.record_failure(self._clock.monotonic())
        self._metrics.incr(f"platform.key_value.failures.{name}")
        if was_closed and not self._breaker.is_closed:
            logger.warning("{} Key-value service unreachable, breaker open.", LOG_PREFIX)

    def _refuse(self, reason: str, wait_s: float) -> PlatformUnavailableError:
        self._metrics.incr("platform.key_value.refusals")
        return PlatformUnavailableError(reason, retry_at=self._clock.wall() + max(0.0, wait_s))


def create_key_value_store(
    stores: tuple[StateStore, ...],
    calls_per_s: float,
    clock: Clock,
    metrics: Metrics,
    rng: random.Random,
) -> KeyValueStore:
    """Return the client that this process shares; a failed call moves on to the next store."""
    return _KeyValueClient(stores, calls_per_s, clock, metrics, rng)


class _RaceLostError(Exception):
    """A conditional write lost; ``after_loss`` says that an earlier reply of it was lost."""

    def __init__(self, conflict: VersionConflictError, after_loss: bool) -> None:
        super().__init__(str(conflict))
        self.conflict = conflict
        self.after_loss = after_loss


def _expect(key: str, expected: int | None) -> dict[str, int]:
    return {} if expected is None else {key: expected}


def _join_failures(
    earlier: PlatformUnavailableError | ReplyLostError | None,
    latest: PlatformUnavailableError | ReplyLostError,
) -> PlatformUnavailableError | ReplyLostError:
    """Return what is known of a call after several attempts: one lost reply decides."""
    return earlier if isinstance(earlier, ReplyLostError) else latest


def _explain_race(
    key: str, conflict: VersionConflictError, lost: bool
) -> VersionConflictError | ReplyLostError:
    """Return the failure of a lost race.

    After a lost reply the change may have stood for a while and been overwritten.
    """
    if lost:
        return ReplyLostError(key)
    value = None if conflict.value is None else _split_value(conflict.value)
    return VersionConflictError(key, conflict.current, value)


def _split_value(stored: bytes) -> bytes:
    """Return the caller's value without the operation id behind it."""
    return stored[:-OPERATION_ID_BYTES]


def _read_row(row: KeyValue) -> KeyValue:
    return row._replace(value=_split_value(row.value))


def _read_event(event: WatchEvent) -> WatchEvent:
    return event if event.value is None else event._replace(value=_split_value(event.value))
