"""Maintenance of segments: repair of lost copies, scrub of the own folder, reclaim of records.

Repair copies segments to new folders when a holder is lost. Healing replaces a damaged copy in
the own folder. Scrubbing verifies the files of the own folder and compares them with their
records. Reclaiming deletes records whose time to keep has passed.
"""

from __future__ import annotations

from loguru import logger

from clementinepin.core import Core
from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.rendezvous import choose_owner
from clementinepin.helpers.rows import RowUnreadableError
from clementinepin.peers import PeerNetwork
from clementinepin.storage._codec import StoredFile
from clementinepin.storage._directory import HolderDirectory
from clementinepin.storage._folder import SegmentFolder
from clementinepin.storage._records import SegmentRecords, StoredRecord
from clementinepin.storage._transfers import SegmentTransfers
from clementinepin.storage.exceptions import SegmentLostError
from clementinepin.systems.segment_placement import plan_repair

LOG_PREFIX = "storage:"
REPAIR_AFTER_S = 30.0
REPAIR_SCAN_PERIOD_S = 10.0
REPAIRS_PER_STEP = 4
HEALS_PER_STEP = 4
SCRUBS_PER_STEP = 4
RECORD_CHECK_PERIOD_S = 7 * 86_400.0
ORPHAN_MIN_AGE_S = 3_600.0  # well above WRITE_MAX_S: a write makes copies before its record
RECLAIM_GRACE_S = 86_400.0  # covers KEEP_SLACK_S, by which a record may expire too early
RECLAIM_PAGE_ROWS = 16
RECLAIM_PAGE_PERIOD_S = 5.0
RECLAIM_PAUSE_S = 3_600.0
RECLAIM_ROLE = "reclaim"


class SegmentRepair:
    """Does a limited amount of maintenance in each step."""

    def __init__(
        self,
        core: Core,
        peers: PeerNetwork,
        records: SegmentRecords,
        directory: HolderDirectory,
        transfers: SegmentTransfers,
        folder: SegmentFolder | None,
    ) -> None:
        self._core = core
        self._peers = peers
        self._records = records
        self._directory = directory
        self._transfers = transfers
        self._folder = folder
        self._missing_since: dict[str, float] = {}
        self._lost_holders: set[str] = set()
        self._next_scan_at = 0.0
        self._repair_queue: list[str] = []
        self._scrub_queue: list[str] = []
        self._reclaim_after = ""
        self._next_reclaim_at = 0.0

    def count_waiting(self) -> int:
        """Return the number of segments in the repair queue."""
        return len(self._repair_queue)

    def step(self) -> None:
        """Do one step of maintenance.

        A ClementinepinError of the platform or the disk is raised and ends the step; the next
        step continues.
        """
        if self._folder is not None:
            self._queue_lost(self._folder)
            self._repair_queued(self._folder)
            self._heal_damaged(self._folder)
            self._scrub_files(self._folder)
        self._reclaim_page()

    def _queue_lost(self, folder: SegmentFolder) -> None:
        """Queue the segments that this instance must copy because a holder is lost.

        A holder is lost after it was absent from the live folders for REPAIR_AFTER_S. Segments
        with the fewest live copies are repaired first.
        """
        now = self._core.clock.monotonic()
        if now < self._next_scan_at:
            return
        self._next_scan_at = now + REPAIR_SCAN_PERIOD_S
        live = self._directory.list_live()
        holders = {h for held in folder.held.values() for h in held.holders}
        missing = holders - live.keys()
        self._missing_since = {h: self._missing_since.get(h, now) for h in missing}
        lost = {h for h, at in self._missing_since.items() if now - at >= REPAIR_AFTER_S}
        if not lost or (lost == self._lost_holders and self._repair_queue):
            return
        self._lost_holders = lost
        to_repair = [
            name
            for name, held in folder.held.items()
            if not lost.isdisjoint(held.holders)
            and plan_repair(name, held.size_bytes, held.holders, live, folder.folder_id)
        ]
        self._repair_queue = sorted(
            to_repair, key=lambda n: -len(live.keys() & folder.held[n].holders)
        )

    def _repair_queued(self, folder: SegmentFolder) -> None:
        for _ in range(min(REPAIRS_PER_STEP, len(self._repair_queue))):
            self._repair_one(folder, self._repair_queue.pop())

    def _repair_one(self, folder: SegmentFolder, name: str) -> None:
        """Copy a segment to new folders and add them to its record."""
        record = self._records.load(name)
        if record is None:
            return
        live = self._directory.list_live()
        row = record.row
        plan = plan_repair(name, row.size_bytes, row.holders, live, folder.folder_id)
        if plan is None:
            self._record_holders(folder, name, row.holders)
            return
        stored = folder.read(name)
        copy = stored._replace(holders=plan.kept + plan.added)
        added = self._transfers.send_all([live[f] for f in plan.added], name, copy)
        holders = plan.kept + tuple(row.folder_id for row in added)
        if added and self._records.replace(name, row._replace(holders=holders), record.version):
            self._record_holders(folder, name, holders)
            self._core.metrics.incr("storage.repairs")

    def _record_holders(self, folder: SegmentFolder, name: str, holders: tuple[str, ...]) -> None:
        """Update a segment's holders in the folder's index."""
        held = folder.held.get(name)
        if held is not None:
            held.holders = holders

    def _scrub_files(self, folder: SegmentFolder) -> None:
        """Verify up to SCRUBS_PER_STEP files, and compare at most one copy with its record."""
        if not self._scrub_queue:
            self._scrub_queue = list(folder.held)
        for _ in range(min(SCRUBS_PER_STEP, len(self._scrub_queue))):
            name = self._scrub_queue.pop()
            if name not in folder.held:
                continue
            try:
                folder.read(name)
            except SegmentLostError:
                continue
            if self._check_record(folder, name):
                return

    def _check_record(self, folder: SegmentFolder, name: str) -> bool:
        """Compare a copy with its record if due; return whether the record was read.

        A copy without a record, or one that its record does not name, is removed once it is older
        than ORPHAN_MIN_AGE_S. A segment with too few copies, because it was written while fewer
        data centres were live, is queued for repair.
        """
        now = self._core.clock.wall()
        held = folder.held[name]
        expired = held.keep_until + RECLAIM_GRACE_S < now
        due = now - held.checked_at > RECORD_CHECK_PERIOD_S or expired
        if not due or now - held.changed_at < ORPHAN_MIN_AGE_S:
            return False
        record = self._records.load(name)
        if record is None or folder.folder_id not in record.row.holders:
            if folder.remove_stale(name, now - ORPHAN_MIN_AGE_S):
                self._core.metrics.incr("storage.orphans_removed")
            return True
        row = record.row
        held.checked_at = now
        held.holders, held.keep_until = row.holders, row.keep_until
        live = self._directory.list_live()
        if plan_repair(name, row.size_bytes, row.holders, live, folder.folder_id):
            self._repair_queue.append(name)
        return True

    def _heal_damaged(self, folder: SegmentFolder) -> None:
        for name in sorted(folder.damaged)[:HEALS_PER_STEP]:
            if name not in folder.held:
                try:
                    self._heal(folder, name)
                except RowUnreadableError as err:
                    logger.warning("{} Segment {} was not healed: {}.", LOG_PREFIX, name, err)
            folder.damaged.discard(name)

    def _heal(self, folder: SegmentFolder, name: str) -> None:
        """Replace a damaged or missing copy from another holder, if the record names this folder.

        Log an error if no other copy can be reached.
        """
        record = self._records.load(name)
        if record is None or folder.folder_id not in record.row.holders:
            return
        for holder in record.row.holders:
            row = self._directory.find(holder)
            if row is None or holder == folder.folder_id:
                continue
            try:
                frame = self._transfers.fetch(row, name)
            except ClementinepinError:
                continue
            stored = StoredFile(frame, record.row.holders, record.row.keep_until)
            folder.put(name, stored)
            self._core.metrics.incr("storage.copies_healed")
            return
        logger.error(
            "{} No other copy of segment {} can be reached to replace the damaged one.",
            LOG_PREFIX,
            name,
        )

    def _reclaim_page(self) -> None:
        """Check the next page of records and delete expired ones, if this instance owns the role.

        One instance of the fleet owns the role; after the last page it pauses for RECLAIM_PAUSE_S.
        """
        now = self._core.clock.monotonic()
        own = self._core.settings.instance.name
        if (
            now < self._next_reclaim_at
            or choose_owner(RECLAIM_ROLE, self._peers.list_live()) != own
        ):
            return
        page = self._records.list_page(self._reclaim_after, RECLAIM_PAGE_ROWS)
        for name, record in page:
            if record is not None:
                self._reclaim(name, record)
        if len(page) < RECLAIM_PAGE_ROWS:
            self._reclaim_after = ""
            self._next_reclaim_at = now + RECLAIM_PAUSE_S
        else:
            self._reclaim_after = page[-1][0]
            self._next_reclaim_at = now + RECLAIM_PAGE_PERIOD_S

    def _reclaim(self, name: str, record: StoredRecord) -> None:
        """Delete an expired record; holders remove their copies when they find no record."""
        is_expired = record.row.keep_until + RECLAIM_GRACE_S < self._core.clock.wall()
        if is_expired and self._records.remove(name, record.version):
            self._core.metrics.incr("storage.segments_reclaimed")
