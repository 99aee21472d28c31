"""The component ``storage``: write-once segments in the key-value service or in data folders.

Small segments are stored inline in their record while the daily budget lasts. Larger ones, and
small ones beyond the budget, are copied to data folders in several data centres. If too few
folders accept a copy, segments of up to INLINE_MAX_BYTES are stored inline as well.
"""

from __future__ import annotations

from typing import Any

import gevent
from loguru import logger

from clementinepin.const import VALUE_MAX_BYTES
from clementinepin.core import Core, spawn_loop
from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.rendezvous import rank_owners
from clementinepin.helpers.rows import RowUnreadableError
from clementinepin.infrastructure import KeyValueStore
from clementinepin.infrastructure.exceptions import PlatformUnavailableError, ReplyLostError
from clementinepin.peers import PeerNetwork
from clementinepin.storage._budget import InlineBudget
from clementinepin.storage._codec import StoredFile, compress, decompress, name_segment
from clementinepin.storage._directory import HolderDirectory
from clementinepin.storage._files import FileOperations, create_file_operations
from clementinepin.storage._folder import SegmentFolder
from clementinepin.storage._records import SegmentRecords
from clementinepin.storage._repair import SegmentRepair
from clementinepin.storage._transfers import SegmentTransfers
from clementinepin.storage.exceptions import SegmentLostError, StorageUnavailableError
from clementinepin.systems.segment_placement import choose_holders, is_durable
from clementinepin.tables import HolderRow, SegmentRow

LOG_PREFIX = "storage:"
INLINE_PREFERRED_MAX_BYTES = 32_000
INLINE_MAX_BYTES = VALUE_MAX_BYTES - 1_000  # leaves room for the record's other fields
KEEP_S = 60 * 86_400.0
WRITE_MAX_S = 600.0
RANKED_READS_MAX = 6  # folders to try while the record can't be read
RETRY_AFTER_MIN_S = 2.0
MAINTENANCE_PERIOD_S = 1.0


class SegmentStoreComponent:
    """SegmentStore and Component of one instance."""

    name = "storage"

    def __init__(
        self,
        core: Core,
        key_value: KeyValueStore,
        peers: PeerNetwork,
        operations: FileOperations,
    ) -> None:
        settings = core.settings.storage
        self._core = core
        self._peers = peers
        self._folder: SegmentFolder | None = None
        if settings.folder is not None:
            self._folder = SegmentFolder(
                operations, settings.folder, settings.budget_bytes, core.clock
            )
        self._records = SegmentRecords(key_value)
        self._directory = HolderDirectory(core, key_value, peers)
        self._transfers = SegmentTransfers(core, peers, self._folder)
        self._repair = SegmentRepair(
            core, peers, self._records, self._directory, self._transfers, self._folder
        )
        self._budget = InlineBudget(core.clock.monotonic())
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Open the data folder and start the maintenance loop."""
        self._open_folder()
        self._greenlets = [spawn_loop(self._maintain, MAINTENANCE_PERIOD_S, LOG_PREFIX)]

    def stop(self, deadline: float) -> None:
        """Stop the maintenance loop."""
        gevent.killall(self._greenlets)

    def describe_state(self) -> dict[str, Any]:
        """Return the use of the data folder, the repair queue and the live holders."""
        folder = self._folder
        return {
            "folder_id": folder.folder_id if folder else None,
            "segments_held": len(folder.held) if folder else 0,
            "free_bytes": folder.free_bytes if folder else 0,
            "repairs_waiting": self._repair.count_waiting(),
            "holders": sorted(row.instance for row in self._directory.list_live().values()),
        }

    def write(self, data: bytes) -> str:
        """Make the data durable and return its name.

        Raise StorageUnavailableError if it could not be made durable.
        """
        name = name_segment(data)
        frame = compress(data)
        try:
            if len(frame) <= INLINE_PREFERRED_MAX_BYTES and self._reserve_inline(len(frame)):
                self._write_inline(name, frame)
            elif not self._write_files(name, frame):
                self._write_inline_or_refuse(name, frame)
        except (PlatformUnavailableError, ReplyLostError) as err:
            raise StorageUnavailableError(err.code, retry_at=err.retry_at) from err
        return name

    def read(self, name: str) -> bytes:
        """Return the data of a segment.

        Raise SegmentLostError if no intact copy can be reached, and PlatformUnavailableError if
        neither its record nor a copy can be read.
        """
        try:
            record = self._records.load(name)
        except RowUnreadableError as err:
            raise SegmentLostError(f"{name}: {err}") from err
        except PlatformUnavailableError as err:
            return self._read_by_rank(name, err)
        if record is None:
            raise SegmentLostError(name)
        if record.row.inline:
            return decompress(name, record.row.inline)
        rows = [self._directory.find(folder_id) for folder_id in record.row.holders]
        return self._read_copy([row for row in rows if row is not None], name)

    def _open_folder(self) -> None:
        """Open the data folder; with a broken disk the instance runs without it."""
        if self._folder is None:
            return
        try:
            self._folder.open()
        except OSError as err:
            logger.error("{} The data folder can't be used: {}.", LOG_PREFIX, err)

    def _write_inline(self, name: str, frame: bytes) -> None:
        row = SegmentRow(len(frame), self._core.clock.wall() + KEEP_S, inline=frame)
        self._records.publish(name, row)
        self._core.metrics.incr("storage.writes.inline")

    def _write_inline_or_refuse(self, name: str, frame: bytes) -> None:
        """Write inline if the size and the budget allow it, else raise StorageUnavailableError."""
        if len(frame) <= INLINE_MAX_BYTES and self._reserve_inline(len(frame)):
            self._write_inline(name, frame)
            return
        self._core.metrics.incr("storage.writes.refused")
        wait_s = self._budget.estimate_wait(len(frame), self._count_instances())
        retry_at = self._core.clock.wall() + max(RETRY_AFTER_MIN_S, wait_s)
        raise StorageUnavailableError(
            "fewer than two data centres accepted a copy", retry_at=retry_at
        )

    def _write_files(self, name: str, frame: bytes) -> bool:
        """Copy to folders in several data centres; return False if too few accept a copy.

        A copy without a record is removed after ORPHAN_MIN_AGE_S, so a write that took longer
        than WRITE_MAX_S, which is well below that, is not reported as durable.
        """
        started_at = self._core.clock.monotonic()
        keep_until = self._core.clock.wall() + KEEP_S
        written = self._place_copies(name, frame, keep_until)
        if not is_durable(written):
            return False
        holders = tuple(row.folder_id for row in written)
        self._records.publish(name, SegmentRow(len(frame), keep_until, holders=holders))
        if self._core.clock.monotonic() - started_at > WRITE_MAX_S:
            raise StorageUnavailableError(f"the write took longer than {WRITE_MAX_S} s")
        self._core.metrics.incr("storage.writes.files")
        return True

    def _place_copies(self, name: str, frame: bytes, keep_until: float) -> list[HolderRow]:
        """Send copies and return the folders that hold one; replace refusing folders once."""
        live = self._directory.list_live()
        written: list[HolderRow] = []
        tried: set[str] = set()
        for _ in range(2):
            others = [row for row in live.values() if row.folder_id not in tried]
            chosen = choose_holders(name, others, len(frame), kept=written)
            if not is_durable([*written, *chosen]):
                break
            tried.update(row.folder_id for row in chosen)
            holders = tuple(row.folder_id for row in [*written, *chosen])
            written += self._transfers.send_all(
                chosen, name, StoredFile(frame, holders, keep_until)
            )
        return written

    def _read_copy(self, rows: list[HolderRow], name: str) -> bytes:
        """Return the data from the nearest folder with an intact copy; raises SegmentLostError."""
        own = self._core.settings.instance
        nearest_first = sorted(
            rows,
            key=lambda row: (row.instance != own.name, row.data_centre != own.data_centre),
        )
        for row in nearest_first:
            try:
                return decompress(name, self._transfers.fetch(row, name))
            except ClementinepinError as err:
                self._core.metrics.incr(f"storage.reads_failed.{err.code}")
        raise SegmentLostError(name)

    def _read_by_rank(self, name: str, err: PlatformUnavailableError) -> bytes:
        """Read from the folders that a write would choose first, as the record can't be read.

        Raise ``err``, the failure to read the record, if none of them has a copy.
        """
        live = self._directory.list_live()
        ranked = [live[folder_id] for folder_id in rank_owners(name, live)]
        try:
            return self._read_copy(ranked[:RANKED_READS_MAX], name)
        except SegmentLostError:
            raise err from None

    def _reserve_inline(self, size_bytes: int) -> bool:
        now = self._core.clock.monotonic()
        return self._budget.take(size_bytes, self._count_instances(), now)

    def _count_instances(self) -> int:
        return len(self._peers.list_live())

    def _maintain(self) -> None:
        """Do a step of maintenance.

        Errors of the platform or of peers are expected during an outage, so they are counted and
        not logged.
        """
        try:
            if self._folder is not None and self._folder.folder_id:
                self._directory.publish(self._folder.folder_id, self._folder.free_bytes)
            self._repair.step()
        except ClementinepinError as err:
            self._core.metrics.incr(f"storage.steps_failed.{err.code}")


def create_segment_store(
    core: Core,
    key_value: KeyValueStore,
    peers: PeerNetwork,
    operations: FileOperations | None = None,
) -> SegmentStoreComponent:
    """Return the segment store of this instance; ``operations`` None means the real disk."""
    return SegmentStoreComponent(core, key_value, peers, operations or create_file_operations())
