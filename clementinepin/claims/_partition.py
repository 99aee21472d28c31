"""One partition of the key space, with group commit by compare-and-swap on its head.

Several instances may consider themselves the owner of a partition at the same time. Each commit
swaps the head with its version as a precondition, so only one of them succeeds and the others
reload. A claim is granted only by a successful swap.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.event import AsyncResult
from loguru import logger

from clementinepin.claims._record import (
    ClaimRow,
    Decision,
    Head,
    LogReference,
    accepts_settlement,
    decide_claim,
    decode_head,
    decode_rows,
    drop_expired,
    encode_head,
    encode_rows,
    merge_rows,
)
from clementinepin.claims.const import (
    GROUP_COMMIT_INTERVAL_S,
    GROUP_COMMIT_RETRY_S,
    HEAD_MAX_BYTES,
    LOG_PREFIX,
    PREFIX_CLAIM_LOGS,
    RETENTION_S,
)
from clementinepin.claims.exceptions import ClaimUnavailableError
from clementinepin.const import PREFIX_CLAIMS
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.decoding import REASON_MAX_CHARS
from clementinepin.infrastructure import KeyValueStore
from clementinepin.infrastructure.exceptions import (
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)


class OperationResult(NamedTuple):
    """The decision on one operation and the key's row after it."""

    decision: Decision
    row: ClaimRow


class _Pending(NamedTuple):
    row: ClaimRow
    settles: bool
    deadline: float
    result: AsyncResult


class Partition:
    """The rows of a partition as last read, and the operations that wait for a commit."""

    def __init__(
        self,
        index: int,
        key_value: KeyValueStore,
        clock: Clock,
        list_live: Callable[[], list[str]],
        make_token: Callable[[], str],
        get_lease: Callable[[], int],
    ) -> None:
        self._head_key = f"{PREFIX_CLAIMS}{index:02d}"
        self._log_prefix = f"{PREFIX_CLAIM_LOGS}{index:02d}/"
        self._key_value = key_value
        self._clock = clock
        self._list_live = list_live
        self._make_token = make_token
        self._get_lease = get_lease
        self._head = Head()
        self._version = 0
        self._needs_reload = True
        self._rows: dict[str, ClaimRow] = {}
        self._logs: dict[str, tuple[ClaimRow, ...]] = {}
        self._pending: list[_Pending] = []
        self._failure = ""
        self._commit_greenlet: gevent.Greenlet | None = None

    def __len__(self) -> int:
        """Return the number of rows in memory."""
        return len(self._rows)

    def submit(self, row: ClaimRow, *, settles: bool, deadline: float) -> OperationResult:
        """Commit a claim or settlement and return the decision.

        ``deadline`` is in monotonic seconds. Raise ClaimUnavailableError if it passes before a
        commit.
        """
        pending = _Pending(row, settles, deadline, AsyncResult())
        self._pending.append(pending)
        if not self._commit_greenlet:
            self._commit_greenlet = gevent.spawn(self._commit_pending)
        return pending.result.get()

    def invalidate(self) -> None:
        """Reload the head before the next commit, so that changes by other owners are seen."""
        self._needs_reload = True

    def _commit_pending(self) -> None:
        """Commit the pending operations in groups until none is left."""
        while self._pending:
            gevent.sleep(GROUP_COMMIT_INTERVAL_S)
            self._fail_expired()
            group = tuple(self._pending)
            try:
                results = self._commit_group(group)
            except (PlatformUnavailableError, ReplyLostError, VersionConflictError) as err:
                self._needs_reload = True
                if not isinstance(err, VersionConflictError):
                    gevent.sleep(GROUP_COMMIT_RETRY_S)
                continue
            except Exception as err:
                # The operations that wait must be committed or expire, and nothing that can't be
                # read is overwritten.
                self._needs_reload = True
                self._log_failure(err)
                gevent.sleep(GROUP_COMMIT_RETRY_S)
                continue
            self._failure = ""
            del self._pending[: len(group)]
            for pending, result in zip(group, results, strict=True):
                pending.result.set(result)

    def _log_failure(self, err: Exception) -> None:
        """Log why the partition's rows can't be used, once for each reason."""
        reason = f"{type(err).__name__}: {err}"[:REASON_MAX_CHARS]
        if reason != self._failure:
            self._failure = reason
            logger.error("{} No commit of {}: {}.", LOG_PREFIX, self._head_key, reason)

    def _fail_expired(self) -> None:
        now = self._clock.monotonic()
        expired = [p for p in self._pending if p.deadline <= now]
        self._pending = [p for p in self._pending if p.deadline > now]
        for pending in expired:
            pending.result.set_exception(
                ClaimUnavailableError("the claim could not be committed before its deadline")
            )

    def _commit_group(self, group: tuple[_Pending, ...]) -> list[OperationResult]:
        """Decide the operations in order, commit the changed rows and return the results."""
        # If an earlier commit succeeded but its reply was lost, the reload finds the row by its
        # token and the operation is not applied twice.
        if self._needs_reload:
            self._load()
        updated = dict(self._rows)
        changed: dict[str, ClaimRow] = {}
        live = self._list_live()
        results = []
        for pending in group:
            result, changes_row = self._evaluate(updated.get(pending.row.digest), pending, live)
            results.append(result)
            if changes_row:
                updated[result.row.digest] = result.row
                changed[result.row.digest] = result.row
        if changed:
            self._swap_head(updated, changed)
        return results

    def _evaluate(
        self, current: ClaimRow | None, pending: _Pending, live: list[str]
    ) -> tuple[OperationResult, bool]:
        """Return the result of an operation on the row, and whether it changes the row."""
        row = pending.row
        if pending.settles:
            if accepts_settlement(current, row):
                return OperationResult(Decision.STORED, row), True
            return OperationResult(Decision.STORED, current or row), False
        decision = decide_claim(current, row, live, self._clock.wall())
        if decision is Decision.GRANT:
            return OperationResult(Decision.GRANTED, row), True
        return OperationResult(decision, current or row), False

    def _load(self) -> None:
        self._needs_reload = False
        stored = self._key_value.get(self._head_key)
        head = decode_head(stored.value) if stored else Head()
        head = self._drop_expired_logs(head)
        logs = {ref.key: self._logs.get(ref.key) or self._read_log(ref.key) for ref in head.logs}
        older = [row for ref in head.logs for row in logs[ref.key]]
        self._head = head
        self._logs = logs
        self._rows = merge_rows(older, head.rows)
        self._version = stored.version if stored else 0

    def _read_log(self, key: str) -> tuple[ClaimRow, ...]:
        stored = self._key_value.get(key)
        if stored is None:
            # Without these rows, claimed keys would look free and their calls could run again.
            raise PlatformUnavailableError(f"claim log {key} does not exist in the store")
        return decode_rows(stored.value)

    def _drop_expired_logs(self, head: Head) -> Head:
        """Return the head without references to expired logs."""
        now = self._clock.wall()
        return head._replace(logs=tuple(ref for ref in head.logs if ref.expires_at > now))

    def _swap_head(self, updated: dict[str, ClaimRow], changed: dict[str, ClaimRow]) -> None:
        version = self._version
        now = self._clock.wall()
        recent = merge_rows(drop_expired(self._head.rows, now), changed.values())
        head = self._drop_expired_logs(self._head)._replace(rows=tuple(recent.values()))
        if len(encode_head(head)) > HEAD_MAX_BYTES:
            head = self._spill(head)
        self._version = self._key_value.put(self._head_key, encode_head(head), expected=version)
        self._head = head
        self._rows = updated
        self._evict_expired(now)

    def _spill(self, head: Head) -> Head:
        """Write the rows of the head to a log; return a head without rows that refers to it."""
        # The log is written before a head refers to it. Its lease removes it after it has expired,
        # even if the swap of this head fails and no head ever refers to it.
        key = f"{self._log_prefix}{self._make_token()}"
        self._key_value.put(key, encode_rows(head.rows), expected=0, lease_id=self._get_lease())
        expires_at = max(r.run_until for r in head.rows) + RETENTION_S
        self._logs[key] = head.rows
        return Head((), (*head.logs, LogReference(key, expires_at)))

    def _evict_expired(self, now: float) -> None:
        """Drop expired rows, and logs to which the head no longer refers, from memory."""
        referenced = {ref.key for ref in self._head.logs}
        self._logs = {k: rows for k, rows in self._logs.items() if k in referenced}
        self._rows = {r.digest: r for r in drop_expired(self._rows.values(), now)}
