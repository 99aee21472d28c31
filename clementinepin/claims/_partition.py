"""One partition of the key space: group commit by compare-and-swap on its head.

Any number of instances may believe that they own a partition. Each commit swaps the head, so
one of them wins and the other reloads; a claim is granted only by a swap that succeeded.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.event import AsyncResult

from clementinepin.claims._record import (
    ClaimRow,
    Decision,
    Head,
    LogName,
    accept_settlement,
    decide_claim,
    decode_head,
    decode_rows,
    drop_expired,
    encode_head,
    encode_rows,
    merge_rows,
)
from clementinepin.claims.const import (
    GROUP_INTERVAL_S,
    GROUP_RETRY_S,
    HEAD_MAX_BYTES,
    PREFIX_CLAIM_LOGS,
    RETENTION_S,
)
from clementinepin.claims.exceptions import ClaimUnavailableError
from clementinepin.const import PREFIX_CLAIMS
from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure import KeyValueStore
from clementinepin.infrastructure.exceptions import (
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)


class Answer(NamedTuple):
    """The decision on one operation and the row that stands after it."""

    decision: Decision
    row: ClaimRow


class _Pending(NamedTuple):
    row: ClaimRow
    settles: bool
    deadline: float
    result: AsyncResult


class Partition:
    """The rows of a partition as last read, and the operations waiting for a commit."""

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
        self._stale = True
        self._rows: dict[str, ClaimRow] = {}
        self._logs: dict[str, tuple[ClaimRow, ...]] = {}
        self._pending: list[_Pending] = []
        self._committer: gevent.Greenlet | None = None

    def __len__(self) -> int:
        """Return the number of rows in memory."""
        return len(self._rows)

    def submit(self, row: ClaimRow, *, settles: bool, deadline: float) -> Answer:
        """Wait for the durable decision; raises ClaimUnavailableError past the deadline."""
        pending = _Pending(row, settles, deadline, AsyncResult())
        self._pending.append(pending)
        if not self._committer:
            self._committer = gevent.spawn(self._commit_pending)
        return pending.result.get()

    def refresh(self) -> None:
        """Read the head again before the next commit, to see other owners' changes."""
        self._stale = True

    def _commit_pending(self) -> None:
        while self._pending:
            gevent.sleep(GROUP_INTERVAL_S)
            self._fail_late()
            group = tuple(self._pending)
            try:
                answers = self._commit_group(group)
            except (PlatformUnavailableError, ReplyLostError, VersionConflictError) as err:
                self._stale = True
                if not isinstance(err, VersionConflictError):
                    gevent.sleep(GROUP_RETRY_S)
                continue
            del self._pending[: len(group)]
            for pending, answer in zip(group, answers, strict=True):
                pending.result.set(answer)

    def _fail_late(self) -> None:
        now = self._clock.monotonic()
        late = [p for p in self._pending if p.deadline <= now]
        self._pending = [p for p in self._pending if p.deadline > now]
        for pending in late:
            pending.result.set_exception(ClaimUnavailableError("No claim could be committed."))

    def _commit_group(self, group: tuple[_Pending, ...]) -> list[Answer]:
        # An operation that landed with its reply lost is found again by its token.
        if self._stale:
            self._load()
        work = dict(self._rows)
        changed: dict[str, ClaimRow] = {}
        live = self._list_live()
        answers = []
        for pending in group:
            answer, writes = self._evaluate(work.get(pending.row.digest), pending, live)
            answers.append(answer)
            if writes:
                work[answer.row.digest] = answer.row
                changed[answer.row.digest] = answer.row
        if changed:
            self._swap_head(work, changed)
        return answers

    def _evaluate(
        self, current: ClaimRow | None, pending: _Pending, live: list[str]
    ) -> tuple[Answer, bool]:
        row = pending.row
        if pending.settles:
            if accept_settlement(current, row):
                return Answer(Decision.STORED, row), True
            return Answer(Decision.STORED, current or row), False
        decision = decide_claim(current, row, live, self._clock.wall())
        if decision is Decision.GRANT:
            return Answer(Decision.GRANTED, row), True
        return Answer(decision, current or row), False

    def _load(self) -> None:
        self._stale = False
        stored = self._key_value.get(self._head_key)
        head = decode_head(stored.value) if stored else Head()
        head = self._drop_logs(head)
        logs = {n.key: self._logs.get(n.key) or self._read_log(n.key) for n in head.logs}
        older = [row for name in head.logs for row in logs[name.key]]
        self._head = head
        self._logs = logs
        self._rows = merge_rows(older, head.rows)
        self._version = stored.version if stored else 0

    def _read_log(self, key: str) -> tuple[ClaimRow, ...]:
        stored = self._key_value.get(key)
        if stored is None:
            # Without its rows a key would look free, and its call could run again.
            raise PlatformUnavailableError(f"{key} is missing.")
        return decode_rows(stored.value)

    def _drop_logs(self, head: Head) -> Head:
        now = self._clock.wall()
        return head._replace(logs=tuple(n for n in head.logs if n.expires_at > now))

    def _swap_head(self, work: dict[str, ClaimRow], changed: dict[str, ClaimRow]) -> None:
        version = self._version
        now = self._clock.wall()
        recent = merge_rows(drop_expired(self._head.rows, now), changed.values())
        head = self._drop_logs(self._head)._replace(rows=tuple(recent.values()))
        if len(encode_head(head)) > HEAD_MAX_BYTES:
            head = self._spill(head)
        self._version = self._key_value.put(self._head_key, encode_head(head), expected=version)
        self._head = head
        self._rows = work
        self._forget_expired(now)

    def _spill(self, head: Head) -> Head:
        # The log is durable before the head names it. The lease removes it once it expired,
        # also when this head loses the race and no head ever names it.
        key = f"{self._log_prefix}{self._make_token()}"
        self._key_value.put(key, encode_rows(head.rows), expected=0, lease_id=self._get_lease())
        expires_at = max(r.run_until for r in head.rows) + RETENTION_S
        self._logs[key] = head.rows
        return Head((), (*head.logs, LogName(key, expires_at)))

    def _forget_expired(self, now: float) -> None:
        named = {n.key for n in self._head.logs}
        self._logs = {k: rows for k, rows in self._logs.items() if k in named}
        self._rows = {r.digest: r for r in drop_expired(self._rows.values(), now)}
