"""Keeps what running items have produced, so that a loss of all processes costs little of it.

Load pattern: all instances lose power while jobs run. Without it every item in work starts anew,
on engines that callers who come back need as well.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final, Protocol

import msgspec
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.infrastructure import Change, StateStore

CHECKPOINT_S: Final = 2.0  # between two writes of an instance; the work that a loss may cost
EVENTS_MIN: Final = 20  # new events that are worth a write: about half a second of an engine
JOBS_MAX: Final = 30  # the store takes 32 entries a write
VALUE_MAX_BYTES: Final = 600_000  # a value may hold a megabyte, as base64 on the way
WRITE_MAX_BYTES: Final = 2_000_000  # keeps a write short on a slow link


class ItemCheckpoint(msgspec.Struct, array_like=True, frozen=True):
    """An item's events up to ``last_event_id``; ``failures`` counts its failed runs till then."""

    item_id: str
    failures: int
    last_event_id: int
    texts: list[str]


class JobCheckpoint(msgspec.Struct, array_like=True, frozen=True):
    """The checkpoints of a job's items in work."""

    items: list[ItemCheckpoint]


class RunState(Protocol):
    """What a checkpoint keeps of a run."""

    failures: int
    last_event_id: int
    texts: list[str]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(JobCheckpoint).decode


def take_rows(runs: Mapping[str, RunState]) -> dict[str, ItemCheckpoint]:
    """Return the checkpoints of the runs that have produced something, as far as they fit."""
    rows: dict[str, ItemCheckpoint] = {}
    size = 0
    for item_id, run in sorted(runs.items(), key=lambda pair: -pair[1].last_event_id):
        size += sum(len(text) for text in run.texts)
        if run.last_event_id and size <= VALUE_MAX_BYTES:
            rows[item_id] = ItemCheckpoint(
                item_id, run.failures, run.last_event_id, list(run.texts)
            )
    return rows


class CheckpointKeeper:
    """Writes the checkpoints of all jobs of an instance together."""

    def __init__(self, store: StateStore) -> None:
        self._store = store
        self._saved: dict[str, int] = {}

    def save(self, jobs: Iterable[tuple[str, Mapping[str, RunState]]]) -> None:
        """Write the jobs that have produced enough since their last checkpoint, in one call.

        Any earlier part of an item's events stays true, so no condition guards the write.
        """
        put: dict[str, bytes] = {}
        counts: dict[str, int] = {}
        size = 0
        for key, runs in jobs:
            rows = take_rows(runs)
            events = sum(row.last_event_id for row in rows.values())
            if events - self._saved.get(key, 0) < EVENTS_MIN:
                continue
            value = _encode(JobCheckpoint(list(rows.values())))
            size += len(value)
            if len(put) == JOBS_MAX or (put and size > WRITE_MAX_BYTES):
                break
            put[key], counts[key] = value, events
        if not put:
            return
        try:
            self._store.write(Change({}, put))
        except ClementinepinError as err:
            logger.bind(jobs=len(put), error=str(err)).info("checkpoint_not_written")
            return
        self._saved.update(counts)
        logger.bind(jobs=len(put), bytes=size).debug("checkpoint_written")

    def forget(self, key: str) -> None:
        """Drop the count of a job that is not run here any more."""
        self._saved.pop(key, None)

    def restore(self, key: str, failures: Mapping[str, int]) -> dict[str, ItemCheckpoint]:
        """Return the checkpoints of a job by item; one from before a failed run is left out."""
        row = self._store.get(key)
        if row is None:
            return {}
        try:
            items = _decode(row.value).items
        except msgspec.DecodeError as err:
            logger.bind(key=key, error=str(err)).error("checkpoint_unreadable")
            return {}
        return {r.item_id: r for r in items if r.failures == failures.get(r.item_id, 0)}
