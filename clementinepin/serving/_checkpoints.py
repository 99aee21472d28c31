"""Checkpoints of running items: the events that they have produced so far.

Load pattern: all instances lose power while jobs run. Without checkpoints every running item would
start from its beginning, on engines that returning callers need too.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Final, Protocol

import msgspec
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.decoding import make_msgpack_decoder
from clementinepin.helpers.texts import count_bytes
from clementinepin.infrastructure import Change, StateStore

CHECKPOINT_PERIOD_S: Final = 2.0  # between two writes of an instance; bounds the work lost
NEW_EVENTS_MIN: Final = 20  # new events that justify a write: about 0.5 s of an engine's output
JOBS_PER_WRITE_MAX: Final = 30  # the store accepts 32 entries per write
VALUE_MAX_BYTES: Final = 600_000  # a value may hold a megabyte in base64
WRITE_MAX_BYTES: Final = 2_000_000  # keeps a write short on a slow link


class ItemCheckpoint(msgspec.Struct, array_like=True, frozen=True):
    """An item's events up to ``last_event_id``; ``failures`` counts its failed runs before.

    ``software_version`` and ``service`` are those of the target that generated them, empty if they
    were not recorded.
    """

    item_id: str
    failures: int
    last_event_id: int
    texts: list[str]
    software_version: str = ""
    service: str = ""


class JobCheckpoint(msgspec.Struct, array_like=True, frozen=True):
    """The checkpoints of a job's running items."""

    items: list[ItemCheckpoint]


class RunState(Protocol):
    """The fields of a run that a checkpoint stores."""

    failures: int
    last_event_id: int
    texts: list[str]
    software_version: str
    service: str


_encode = msgspec.msgpack.Encoder().encode
_decode: Callable[[bytes], JobCheckpoint] = make_msgpack_decoder(JobCheckpoint)


def collect_checkpoints(runs: Mapping[str, RunState]) -> dict[str, ItemCheckpoint]:
    """Return checkpoints by item id, the runs with most events first.

    Runs without events and those beyond ``VALUE_MAX_BYTES`` are left out.
    """
    rows: dict[str, ItemCheckpoint] = {}
    size = 0
    for item_id, run in sorted(runs.items(), key=lambda pair: -pair[1].last_event_id):
        size += count_bytes(run.texts)
        if run.last_event_id and size <= VALUE_MAX_BYTES:
            rows[item_id] = ItemCheckpoint(
                item_id,
                run.failures,
                run.last_event_id,
                list(run.texts),
                run.software_version,
                run.service,
            )
    return rows


class CheckpointKeeper:
    """Writes the checkpoints of all jobs of an instance together and reads them back."""

    def __init__(self, store: StateStore) -> None:
        self._store = store
        self._saved_events: dict[str, int] = {}

    def save(self, jobs: Iterable[tuple[str, Mapping[str, RunState]]]) -> None:
        """Write, in one call, the jobs with ``NEW_EVENTS_MIN`` new events; log a failure.

        ``jobs`` are pairs of a checkpoint key and the runs by item id. The write is unconditional,
        as an older checkpoint holds a valid prefix of an item's events.
        """
        put: dict[str, bytes] = {}
        counts: dict[str, int] = {}
        size = 0
        for key, runs in jobs:
            rows = collect_checkpoints(runs)
            events = sum(row.last_event_id for row in rows.values())
            if events - self._saved_events.get(key, 0) < NEW_EVENTS_MIN:
                continue
            value = _encode(JobCheckpoint(list(rows.values())))
            size += len(value)
            if len(put) == JOBS_PER_WRITE_MAX or (put and size > WRITE_MAX_BYTES):
                break
            put[key], counts[key] = value, events
        if not put:
            return
        try:
            self._store.write(Change({}, put))
        except ClementinepinError as err:
            logger.bind(jobs=len(put), error=str(err)).info("checkpoint_not_written")
            return
        self._saved_events.update(counts)
        logger.bind(jobs=len(put), bytes=size).debug("checkpoint_written")

    def forget(self, key: str) -> None:
        """Drop the event count of a job that no longer runs on this instance."""
        self._saved_events.pop(key, None)

    def restore(self, key: str, failures: Mapping[str, int]) -> dict[str, ItemCheckpoint]:
        """Return the checkpoints of a job by item id.

        A checkpoint whose count of failed runs differs from ``failures``, or without a software
        version, is left out. An unreadable record is logged and counts as empty.
        """
        row = self._store.get(key)
        if row is None:
            return {}
        try:
            items = _decode(row.value).items
        except msgspec.DecodeError as err:
            logger.bind(key=key, error=str(err)).error("checkpoint_unreadable")
            return {}
        return {
            row.item_id: row
            for row in items
            if row.software_version and row.failures == failures.get(row.item_id, 0)
        }
