"""Records in the store of what crashes targets, which all instances follow.

Load pattern: all instances stop at once, or many decide without a dispatcher, while requests that
crash targets keep coming. What one of them has learned must not be learned again by each.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import gevent
import msgspec
import xxhash
from gevent.event import Event
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.containment import contain_failure, keep_running
from clementinepin.helpers.decoding import make_msgpack_decoder
from clementinepin.infrastructure import Change, KeyValue, StateStore
from clementinepin.serving.store import StoreFollower
from clementinepin.systems import crash_causes
from clementinepin.tables.crashes import BrokenRun, CauseChange, CrashTable

WRITE_RETRY_S: Final = 0.5
ROWS_PER_WRITE_MAX: Final = 30  # the store accepts 32 entries per write
PENDING_MAX: Final = 512  # rows to write while the store is away; the oldest are dropped
RUN_LEASE_S: Final = 600.0  # as long as crashes are remembered


class CauseRecord(msgspec.Struct, array_like=True, tag="cause", frozen=True):
    """Traits that crash targets when one request to the service has all of them.

    They were found, or crashed a target in a trial, at ``found_ms`` (Unix time). Builds that don't
    write ``failed_trials`` may have tried. ``was_sound`` says that the traits had succeeded shortly
    before.
    """

    service: str
    traits: list[str]
    found_ms: int
    failed_trials: int = 1
    was_sound: bool = False


class RunRecord(msgspec.Struct, array_like=True, tag="run", frozen=True):
    """A run that its target broke off at ``ended_ms`` (Unix time), while no dispatcher knew it."""

    member: str
    number: int
    target_id: str
    service: str
    traits: list[str]
    events: int
    ended_ms: int


_encode = msgspec.msgpack.Encoder().encode
_decode: Callable[[bytes], CauseRecord | RunRecord] = make_msgpack_decoder(CauseRecord | RunRecord)


class CrashRecords:
    """Writes causes and broken runs, and merges those of all instances into the crash tables.

    ``_pending`` has the rows to write by key, None for those to remove, and ``_known`` the causes
    that were read.
    """

    def __init__(self, store: StateStore, own_prefix: str, clock: Clock) -> None:
        self._store = store
        self._prefix = own_prefix + "crashes/"
        self._run_prefix = self._prefix + "run-"
        self._clock = clock
        self._pending: dict[str, bytes | None] = {}
        self._changed = Event()
        self._known: dict[str, CauseRecord] = {}
        self._lease_id = 0
        self._lease_until = 0.0
        self._tables: list[CrashTable] = []
        self._follower = StoreFollower(store, self._prefix, self, clock)

    def start(self) -> None:
        """Follow the records and write new ones in the background."""
        gevent.spawn(keep_running, "crash_records_follower", self._follower.run)
        gevent.spawn(keep_running, "crash_records", self._write_pending)

    def add_table(self, table: CrashTable) -> None:
        """Merge the records into a table from now on."""
        self._tables.append(table)

    def record_changes(self, changes: list[CauseChange]) -> None:
        """Write the causes that became known, and remove those no longer believed."""
        for change in changes:
            traits, found_ms = sorted(change.traits), int(self._clock.wall() * 1000)
            record = CauseRecord(
                change.service, traits, found_ms, change.failed_trials, change.was_sound
            )
            value = _encode(record)
            key = self._make_cause_key(change.service, traits)
            self._put(key, value if change.is_known else None)

    def record_run(self, run: BrokenRun) -> None:
        """Write a run that was broken off, so that it counts at all instances."""
        ended_ms = int(self._clock.wall() * 1000)
        member, number = run.key
        record = RunRecord(
            member, number, run.target_id, run.service, sorted(run.traits), run.events, ended_ms
        )
        self._put(f"{self._run_prefix}{member}-{number}-{ended_ms}", _encode(record))

    def replace_rows(self, rows: list[KeyValue]) -> None:
        """Merge the records of the whole range, and drop the causes that are gone."""
        present = {row.key for row in rows}
        for key in set(self._known) - present:
            self.apply_change(key, None, 0)
        for row in rows:
            with contain_failure("crash_record", key=row.key):
                self._apply(row.key, self._read(row.key, row.value))

    def apply_change(self, key: str, value: bytes | None, version: int) -> None:
        """Merge one record, or drop the cause that was removed."""
        if value is not None:
            self._apply(key, self._read(key, value))
        elif (known := self._known.pop(key, None)) is not None:
            for table in self._tables:
                crash_causes.drop_cause(table, known.service, frozenset(known.traits))

    def _apply(self, key: str, record: CauseRecord | RunRecord | None) -> None:
        now = self._clock.monotonic()
        if isinstance(record, RunRecord):
            # A record may come late, and its run may be known from another message by then.
            age_s = max(0.0, self._clock.wall() - record.ended_ms / 1000)
            run = BrokenRun(
                (record.member, record.number),
                record.target_id,
                record.service,
                frozenset(record.traits),
                record.events,
            )
            for table in self._tables:
                crash_causes.record_crash(table, run, now - age_s, is_foreign=True)
        elif record is not None and key not in self._pending:
            if key not in self._known:
                log = logger.bind(service=record.service, traits=record.traits)
                log.info("crash_cause_received")
            self._known[key] = record
            found_at = now - max(0.0, self._clock.wall() - record.found_ms / 1000)
            for table in self._tables:
                traits = frozenset(record.traits)
                crash_causes.merge_cause(
                    table,
                    record.service,
                    traits,
                    found_at,
                    now,
                    record.failed_trials,
                    was_sound=record.was_sound,
                )

    def _read(self, key: str, value: bytes) -> CauseRecord | RunRecord | None:
        try:
            return _decode(value)
        except msgspec.DecodeError as err:
            logger.bind(key=key, error=str(err)).error("crash_record_unreadable")
            return None

    def _make_cause_key(self, service: str, traits: list[str]) -> str:
        digest = xxhash.xxh3_64_hexdigest("/".join((service, *traits)).encode())
        return f"{self._prefix}cause-{digest}"

    def _put(self, key: str, value: bytes | None) -> None:
        self._pending.pop(key, None)
        self._pending[key] = value
        while len(self._pending) > PENDING_MAX:
            dropped = next(iter(self._pending))
            del self._pending[dropped]
            logger.bind(key=dropped).warning("crash_record_dropped")
        self._changed.set()

    def _write_pending(self) -> None:
        while True:
            if not self._pending:
                self._changed.wait()
            self._changed.clear()
            while self._pending:
                try:
                    self._write_group()
                except ClementinepinError as err:
                    logger.bind(rows=len(self._pending), error=str(err)).info(
                        "crash_records_not_written"
                    )
                    self._lease_until = 0.0
                    gevent.sleep(WRITE_RETRY_S)

    def _write_group(self) -> None:
        """Write the first pending rows that belong into one call: causes, or leased runs."""
        first = next(iter(self._pending))
        is_run = first.startswith(self._run_prefix)
        keys = [key for key in self._pending if key.startswith(self._run_prefix) == is_run]
        keys = keys[:ROWS_PER_WRITE_MAX]
        rows = {key: self._pending[key] for key in keys}
        lease_id = self._grant_lease() if is_run else 0
        put = {key: value for key, value in rows.items() if value is not None}
        self._store.write(Change({}, put, tuple(rows.keys() - put.keys()), lease_id))
        for key, value in rows.items():
            if self._pending.get(key) is value:
                self._pending.pop(key, None)

    def _grant_lease(self) -> int:
        """Return a lease that lasts at least half as long as crashes are remembered."""
        now = self._clock.monotonic()
        if now >= self._lease_until:
            self._lease_id = self._store.grant_lease(RUN_LEASE_S).lease_id
            self._lease_until = now + RUN_LEASE_S / 2
        return self._lease_id
