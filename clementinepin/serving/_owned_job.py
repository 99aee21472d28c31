"""State of one job that this instance runs."""

from __future__ import annotations

from typing import Final

import gevent
from gevent.event import Event

from clementinepin.helpers.texts import count_bytes
from clementinepin.serving import _job_records as records
from clementinepin.serving._checkpoints import ItemCheckpoint
from clementinepin.serving._item_state import ItemRun

RESULTS_PER_WRITE_MAX: Final = 28  # the store accepts 32 entries per write
TEXT_BYTES_PER_WRITE_MAX: Final = 2_000_000  # keeps a write short on a slow link


class OwnedJob:
    """A job that this instance runs.

    ``unlisted`` holds finished runs whose results are not listed yet, and ``changed`` is set when
    one is added or the job is stopped. ``version`` is the store's version of ``progress``.
    ``is_owned_elsewhere`` is set when another live instance owns the job, ``must_confirm`` while
    that is possible because this instance's registration was lost. ``may_be_behind`` is set while
    the store may have a newer progress or get one, by a write without a reply that this process, or
    a former one of its name, has sent.
    """

    def __init__(self, head: records.JobHead, keys: records.JobKeys) -> None:
        self.head = head
        self.keys = keys
        self.progress: records.JobProgress | None = None
        self.version = 0
        self.unlisted: list[ItemRun] = []
        self.changed = Event()
        self.runs: dict[str, ItemRun] = {}
        self.greenlet: gevent.Greenlet | None = None
        self.stopped = False
        self.is_owned_elsewhere = False
        self.must_confirm = False
        self.may_be_behind = True
        self.restored: dict[str, ItemCheckpoint] = {}

    def stop(self) -> None:
        """Cancel all runs; no further results are listed."""
        self.stopped = True
        for run in self.runs.values():
            run.cancel()
        self.changed.set()


def choose_write_group(runs: list[ItemRun]) -> list[ItemRun]:
    """Return the leading runs whose results fit into one write, at least one if there is any."""
    group: list[ItemRun] = []
    size = 0
    for run in runs[:RESULTS_PER_WRITE_MAX]:
        size += count_bytes(run.texts)
        if group and size > TEXT_BYTES_PER_WRITE_MAX:
            break
        group.append(run)
    return group
