"""Client of the key-value service: budget, breaker, backoff and settlement of lost replies.

Each stored value ends in the operation id of its write. A write whose reply was lost is sent
again under the same id and version: it takes effect at most once, and a lost race against
one's own id is a success. Comparing values alone would take another writer's equal value for
one's own, and two writers would both believe that they had won.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any, TypeVar

import gevent
import msgspec
from loguru import logger

from clementinepin.const import VALUE_MAX_BYTES
from clementinepin.exceptions import InvalidInputError
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.metrics import Metrics
from clementinepin.infrastructure import _messages as messages
from clementinepin.infrastructure._backoff import choose_backoff
from clementinepin.infrastructure._breaker import CircuitBreaker
from clementinepin.infrastructure._budget import TokenBucket
from clementinepin.infrastructure._transport import Transport
from clementinepin.infrastructure.exceptions import (
    LeaseLostError,
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
    WatchCompactedError,
)
from clementinepin.infrastructure.models import KeyValue, KeyValueStore, LeaseGrant, WatchEvent

if TYPE_CHECKING:
    from clementinepin.config import Settings

LOG_PREFIX = "platform:"
CALL_DEADLINE_S = 4.0
BUDGET_WAIT_MAX_S = 1.0
BUDGET_BURST_S = 4.0
BUDGET_BURST_MIN_CALLS = 20.0
PATH_RANGE = "/v3/kv/range"
PATH_TXN = "/v3/kv/txn"
PATH_GRANT = "/v3/lease/grant"
PATH_KEEP = "/v3/lease/keepalive"
PATH_REVOKE = "/v3/lease/revoke"
PATH_WATCH = "/v3/watch"
T = TypeVar("T")


class _KeyValueClient:
    """The KeyValueStore over HTTP."""

    def __init__(
        self,
        transport: Transport,
        calls_per_s: float,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        burst = max(BUDGET_BURST_MIN_CALLS, calls_per_s * BUDGET_BURST_S)
        self._transport = transport
        self._clock = clock
        self._metrics = metrics
        self._random = rng
        self._bucket = TokenBucket(calls_per_s, burst, clock.monotonic())
        self._breaker = CircuitBreaker(rng)

    def get(self, key: str) -> KeyValue | None:
        """Return the value of a key, or None."""
        body = msgspec.json.encode({"key": messages.encode_text(key)})
        answer = self._read(PATH_RANGE, body, messages.RangeAnswer)
        return messages.read_row(answer.kvs[0]) if answer.kvs else None

    def list_range(self, prefix: str, *, after: str = "", limit: int = 1000) -> list[KeyValue]:
        """Return values under a prefix in key order, starting behind key ``after``."""
        body = messages.build_range(prefix, after, limit)
        answer = self._read(PATH_RANGE, body, messages.RangeAnswer)
        return [messages.read_row(row) for row in answer.kvs]

    def put(self, key: str, value: bytes, *, expected: int | None, lease_id: int = 0) -> int:
        """Write if the version matches and return the new one."""
        if len(value) > VALUE_MAX_BYTES:
            raise InvalidInputError(f"value of {key} exceeds {VALUE_MAX_BYTES} bytes", param=key)
        operation_id = messages.create_operation_id()
        change: dict[str, Any] = {"key": messages.encode_text(key), "value": value + operation_id}
        if lease_id:
            change["lease"] = str(lease_id)
        body = messages.build_txn(key, expected, {"request_put": change})
        answer, lost = self._write(body, repeat=expected is not None)
        if answer.succeeded:
            return answer.header.revision
        current = messages.find_current(answer)
        if current is not None and current.value.endswith(operation_id):
            return current.mod_revision
        raise _lose_race(key, current, lost)

    def delete(self, key: str, *, expected: int | None) -> None:
        """Delete if the version matches."""
        change = {"request_delete_range": {"key": messages.encode_text(key)}}
        answer, lost = self._write(messages.build_txn(key, expected, change), repeat=True)
        if answer.succeeded:
            return
        current = messages.find_current(answer)
        if current is None and lost:
            return
        raise _lose_race(key, current, lost)

    def grant_lease(self, ttl_s: float) -> LeaseGrant:
        """Create a lease; one whose reply is lost lapses by itself."""
        sent_at = self._clock.monotonic()
        body = msgspec.json.encode({"TTL": str(max(1, round(ttl_s))), "ID": "0"})
        answer = self._read(PATH_GRANT, body, messages.LeaseAnswer)
        return LeaseGrant(answer.ID, sent_at + answer.TTL)

    def keep_lease(self, lease_id: int) -> LeaseGrant:
        """Extend a lease; raises LeaseLostError once it lapsed."""
        sent_at = self._clock.monotonic()
        body = msgspec.json.encode({"ID": str(lease_id)})
        answer = self._read(PATH_KEEP, body, messages.KeepAnswer).result
        if answer.TTL <= 0:
            raise LeaseLostError(str(lease_id))
        return LeaseGrant(lease_id, sent_at + answer.TTL)

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys; one that lapsed already is no failure."""
        try:
            self._read(PATH_REVOKE, msgspec.json.encode({"ID": str(lease_id)}), dict[str, Any])
        except LeaseLostError:
            return

    def watch(self, prefix: str, *, after_version: int) -> Iterator[WatchEvent]:
        """Yield changes behind a version until the connection drops.

        A caller resumes without a gap behind the last version that it saw.
        """
        self._enter("watch")
        for line in self._transport.stream(PATH_WATCH, messages.build_watch(prefix, after_version)):
            result = msgspec.json.decode(line, type=messages.WatchLine, strict=False).result
            if result.canceled:
                raise WatchCompactedError(prefix, compacted=result.compact_revision)
            for event in result.events:
                yield _read_event(event)

    def _read(self, path: str, body: bytes, answer_type: type[T]) -> T:
        """Call until answered; an unanswered read is one that did not happen."""
        try:
            raw, _ = self._call(path, body, repeat=True, settle=False)
        except ReplyLostError as err:
            raise PlatformUnavailableError(path, retry_at=err.retry_at) from err
        return msgspec.json.decode(raw, type=answer_type, strict=False)

    def _write(self, body: bytes, *, repeat: bool) -> tuple[messages.TxnAnswer, bool]:
        raw, lost = self._call(PATH_TXN, body, repeat=repeat, settle=True)
        return msgspec.json.decode(raw, type=messages.TxnAnswer, strict=False), lost

    def _call(self, path: str, body: bytes, *, repeat: bool, settle: bool) -> tuple[bytes, bool]:
        """Return the answer, and whether a reply was lost before it.

        With ``settle`` a lost reply is followed up to the deadline, past an open breaker.
        """
        deadline = self._clock.monotonic() + CALL_DEADLINE_S
        name = path.rpartition("/")[2]
        self._enter(name)
        attempt = 0
        failure: PlatformUnavailableError | ReplyLostError | None = None
        while True:
            try:
                answer = self._transport.call(path, body)
            except (PlatformUnavailableError, ReplyLostError) as err:
                failure = _join_failures(failure, err)
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
    settings: Settings, clock: Clock, metrics: Metrics, rng: random.Random
) -> KeyValueStore:
    """Return the client that this process shares."""
    platform = settings.platform
    transport = Transport(platform.key_value)
    return _KeyValueClient(transport, platform.key_value_calls_per_s, clock, metrics, rng)


def _join_failures(
    earlier: PlatformUnavailableError | ReplyLostError | None,
    latest: PlatformUnavailableError | ReplyLostError,
) -> PlatformUnavailableError | ReplyLostError:
    """Return what is known of a call after several attempts: one lost reply decides."""
    return earlier if isinstance(earlier, ReplyLostError) else latest


def _lose_race(
    key: str, current: messages.Row | None, lost: bool
) -> VersionConflictError | ReplyLostError:
    """Return the failure of a lost race.

    After a lost reply the change may have stood for a while and been overwritten.
    """
    if lost:
        return ReplyLostError(key)
    if current is None:
        return VersionConflictError(key, 0, None)
    value, _ = messages.split_value(current.value)
    return VersionConflictError(key, current.mod_revision, value)


def _read_event(event: messages.Event) -> WatchEvent:
    row = messages.read_row(event.kv)
    value = None if event.type == "DELETE" else row.value
    return WatchEvent(row.key, value, row.version)
