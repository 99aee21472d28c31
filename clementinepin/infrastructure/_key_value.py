"""Client of the key-value service: call budget, circuit breaker, retries with backoff.

Each stored value ends in the operation id of its write. A write whose reply was lost is sent
again with the same operation id and expected version, so it takes effect at most once. If the
repetition meets a version conflict and the stored value ends in its own operation id, the
first attempt succeeded. Comparing values alone would mistake another writer's equal value for
this one's, and both writers would believe that they had won.
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
    """KeyValueStore over one or more connections to the store."""

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
        self._listed_version = 0
        self._clock = clock
        self._metrics = metrics
        self._random = rng
        self._bucket = TokenBucket(calls_per_s, burst, clock.monotonic())
        self._breaker = CircuitBreaker(rng)

    def get(self, key: str) -> KeyValue | None:
        """Return the value of a key, or None."""
        row = self._call_repeatable("get", lambda store: store.get(key))
        return None if row is None else _decode_row(row)

    def list_range(self, prefix: str, *, after: str = "", limit: int = 1000) -> list[KeyValue]:
        """Return at most ``limit`` values under a prefix, in key order, from after ``after``."""
        rows: list[KeyValue] = []
        while True:
            page = self._call_repeatable("list", methodcaller("list_page", prefix, after))
            if not rows:
                self._listed_version = max(self._listed_version, page.version)
            rows.extend(_decode_row(row) for row in page.values)
            if page.is_last or len(rows) >= limit:
                return rows[:limit]
            after = page.values[-1].key

    def put(self, key: str, value: bytes, *, expected: int | None, lease_id: int = 0) -> int:
        """Write the value if the key has the expected version, and return its new version.

        Raise InvalidInputError if the value is too large. An unconditional write (``expected``
        None) is not repeated after a lost reply: the repetition could overwrite the value of a
        later writer.
        """
        if len(value) > VALUE_MAX_BYTES:
            raise InvalidInputError(
                f"value of {key} is larger than {VALUE_MAX_BYTES} bytes", param=key
            )
        operation_id = secrets.token_bytes(OPERATION_ID_BYTES)
        change = Change(
            _build_expected(key, expected), {key: value + operation_id}, lease_id=lease_id
        )
        try:
            version, _ = self._write("put", change, repeat=expected is not None)
        except _RaceLostError as err:
            conflict = err.conflict
            if conflict.value is not None and conflict.value.endswith(operation_id):
                return conflict.current
            raise _create_race_error(key, conflict, err.reply_was_lost) from err
        return version

    def delete(self, key: str, *, expected: int | None) -> None:
        """Delete the key if it has the expected version; None deletes unconditionally."""
        change = Change(_build_expected(key, expected), {}, (key,))
        try:
            self._write("delete", change, repeat=True)
        except _RaceLostError as err:
            if err.conflict.value is None and err.reply_was_lost:
                return
            raise _create_race_error(key, err.conflict, err.reply_was_lost) from err

    def grant_lease(self, ttl_s: float) -> LeaseGrant:
        """Create a lease that expires after ``ttl_s`` seconds unless it is extended.

        The call is repeated after a lost reply; a lease that was granted without this instance
        learning of it expires by itself.
        """
        return self._call_repeatable("grant", lambda store: store.grant_lease(ttl_s))

    def keep_lease(self, lease_id: int) -> LeaseGrant:
        """Extend a lease. Raise LeaseLostError if it has ended."""
        return self._call_repeatable("keep", lambda store: store.keep_lease(lease_id))

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys; a lease that has already expired is no error."""
        self._call_repeatable("revoke", lambda store: store.revoke_lease(lease_id))

    def watch(self, prefix: str, *, after_version: int) -> Iterator[WatchEvent]:
        """Yield changes after a version until the connection drops (PlatformUnavailableError).

        A caller resumes without a gap after the last version that it received. Raise
        WatchCompactedError if the store no longer has all changes after the version.
        """
        self._admit_call("watch")
        after = after_version
        while True:
            store = self._stores[self._current]
            try:
                events, after = store.watch(prefix, after)
            except WatchCompactedError as err:
                # A list that is read from now on includes all changes up to a version that an
                # earlier list reported, so a watch may start there.
                raise WatchCompactedError(prefix, compacted=self._listed_version) from err
            except ReplyLostError as err:
                self._select_next_store()
                raise PlatformUnavailableError(prefix) from err
            except PlatformUnavailableError:
                self._select_next_store()
                raise
            for event in events:
                yield _decode_event(event)

    def _call_repeatable(self, name: str, call: Callable[[StateStore], T]) -> T:
        """Call until the store replies; for reads and for lease calls, which may be repeated.

        A lost reply is raised as PlatformUnavailableError: there is no write to resolve.
        """
        try:
            reply, _ = self._call(name, call, repeat=True, resolve_outcome=False)
        except ReplyLostError as err:
            raise PlatformUnavailableError(name, retry_at=err.retry_at) from err
        return reply

    def _write(self, name: str, change: Change, *, repeat: bool) -> tuple[int, bool]:
        return self._call(
            name, lambda store: store.write(change), repeat=repeat, resolve_outcome=True
        )

    def _call(
        self, name: str, call: Callable[[StateStore], T], *, repeat: bool, resolve_outcome: bool
    ) -> tuple[T, bool]:
        """Return the reply, and whether the reply to an earlier attempt was lost.

        With ``resolve_outcome``, a call whose reply was lost is repeated until the deadline even
        if the circuit breaker opens meanwhile; without ``repeat`` it raises ReplyLostError at
        once. Raise _RaceLostError on a version conflict.
        """
        deadline = self._clock.monotonic() + CALL_DEADLINE_S
        self._admit_call(name)
        attempt = 0
        failure: PlatformUnavailableError | ReplyLostError | None = None
        while True:
            try:
                reply = call(self._stores[self._current])
            except (PlatformUnavailableError, ReplyLostError) as err:
                self._select_next_store()
                failure = _combine_failures(failure, err)
            except VersionConflictError as err:
                self._breaker.record_success()
                raise _RaceLostError(err, isinstance(failure, ReplyLostError)) from err
            else:
                self._breaker.record_success()
                return reply, isinstance(failure, ReplyLostError)
            attempt += 1
            self._record_failure(name)
            is_unresolved = resolve_outcome and isinstance(failure, ReplyLostError)
            if is_unresolved and not repeat:
                raise failure
            if not is_unresolved and not self._breaker.is_closed:
                raise failure
            self._wait_for_attempt(failure, attempt, deadline)

    def _select_next_store(self) -> None:
        self._current = (self._current + 1) % len(self._stores)

    def _admit_call(self, name: str) -> None:
        """Wait for the call budget and count the call.

        Raise PlatformUnavailableError with ``retry_at`` if the circuit breaker is open or the
        wait would be longer than BUDGET_WAIT_MAX_S.
        """
        now = self._clock.monotonic()
        if not self._breaker.allow(now):
            raise self._create_refusal("circuit breaker open", self._breaker.open_until - now)
        wait_s = self._bucket.reserve(now, BUDGET_WAIT_MAX_S)
        if wait_s is None:
            raise self._create_refusal("call budget exhausted", self._bucket.estimate_wait(now))
        if wait_s:
            self._metrics.incr("platform.key_value.budget_waits")
            gevent.sleep(wait_s)
        self._metrics.incr(f"platform.key_value.calls.{name}")

    def _wait_for_attempt(
        self, failure: PlatformUnavailableError | ReplyLostError, attempt: int, deadline: float
    ) -> None:
        """Wait for backoff and call budget, or raise ``failure`` if no attempt is left.

        None is left if the backoff would end after the deadline or the wait for the budget would
        be longer than BUDGET_WAIT_MAX_S.
        """
        now = self._clock.monotonic()
        wait_s = choose_backoff(attempt, self._random)
        budget_wait_s = self._bucket.reserve(now, BUDGET_WAIT_MAX_S)
        if budget_wait_s is None or now + wait_s > deadline:
            raise failure
        gevent.sleep(max(wait_s, budget_wait_s))
        self._metrics.incr("platform.key_value.calls.repeated")

    def _record_failure(self, name: str) -> None:
        was_closed = self._breaker.is_closed
        self._breaker.record_failure(self._clock.monotonic())
        self._metrics.incr(f"platform.key_value.failures.{name}")
        if was_closed and not self._breaker.is_closed:
            logger.warning("{} Key-value service unreachable, circuit breaker opened.", LOG_PREFIX)

    def _create_refusal(self, reason: str, wait_s: float) -> PlatformUnavailableError:
        """Count a refused call and return its error, to be retried after ``wait_s``."""
        self._metrics.incr("platform.key_value.refusals")
        return PlatformUnavailableError(reason, retry_at=self._clock.wall() + max(0.0, wait_s))


def create_key_value_store(
    stores: tuple[StateStore, ...],
    calls_per_s: float,
    clock: Clock,
    metrics: Metrics,
    rng: random.Random,
) -> KeyValueStore:
    """Return the client that the whole process shares.

    A failed call switches to the next of ``stores``, which lead to the same data.
    """
    return _KeyValueClient(stores, calls_per_s, clock, metrics, rng)


class _RaceLostError(Exception):
    """A conditional write met a version conflict.

    ``reply_was_lost`` tells whether the reply to an earlier attempt of the same write was lost.
    """

    def __init__(self, conflict: VersionConflictError, reply_was_lost: bool) -> None:
        super().__init__(str(conflict))
        self.conflict = conflict
        self.reply_was_lost = reply_was_lost


def _build_expected(key: str, expected: int | None) -> dict[str, int]:
    return {} if expected is None else {key: expected}


def _combine_failures(
    earlier: PlatformUnavailableError | ReplyLostError | None,
    latest: PlatformUnavailableError | ReplyLostError,
) -> PlatformUnavailableError | ReplyLostError:
    """Return the failure of a call after several attempts.

    A single lost reply makes the outcome unknown, whatever later attempts return.
    """
    return earlier if isinstance(earlier, ReplyLostError) else latest


def _create_race_error(
    key: str, conflict: VersionConflictError, reply_was_lost: bool
) -> VersionConflictError | ReplyLostError:
    """Return the error of a write that met a version conflict.

    After a lost reply the outcome is unknown: the change may have taken effect and then been
    overwritten.
    """
    if reply_was_lost:
        return ReplyLostError(key)
    value = None if conflict.value is None else _strip_operation_id(conflict.value)
    return VersionConflictError(key, conflict.current, value)


def _strip_operation_id(stored: bytes) -> bytes:
    """Return a stored value without the operation id at its end."""
    return stored[:-OPERATION_ID_BYTES]


def _decode_row(row: KeyValue) -> KeyValue:
    return row._replace(value=_strip_operation_id(row.value))


def _decode_event(event: WatchEvent) -> WatchEvent:
    return event if event.value is None else event._replace(value=_strip_operation_id(event.value))
