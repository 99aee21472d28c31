"""Upkeep of segments: repair of lost copies, scrub of the own folder, reclaim."""

from __future__ import annotations

from loguru import logger

from clementinepin.core import Core
from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.rendezvous import choose_owner
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
SCAN_PERIOD_S = 10.0
REPAIRS_PER_STEP = 4
HEALS_PER_STEP = 4
SCRUBS_PER_STEP = 4
RECORD_CHECK_S = 7 * 86_400.0
ORPHAN_S = 3_600.0
RECLAIM_GRACE_S = 86_400.0
RECLAIM_PAGE_ROWS = 16
RECLAIM_PAGE_PERIOD_S = 5.0
RECLAIM_PAUSE_S = 3_600.0
RECLAIM_ROLE = "reclaim"


class SegmentRepair:
    """A bounded amount of upkeep each step."""

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
        self._lost: set[str] = set()
        self._scan_at = 0.0
        self._waiting: list[str] = []
        self._scrubbing: list[str] = []
        self._reclaim_after = ""
        self._reclaim_at = 0.0

    def count_waiting(self) -> int:
        """Return how many segments wait for a repair."""
        return len(self._waiting)

    def step(self) -> None:
        """Repair, scrub and reclaim a little."""
        if self._folder is not None:
            self._note_lost(self._folder)
            self._repair_some(self._folder)
            self._heal_some(self._folder)
            self._scrub_some(self._folder)
        self._reclaim_some()

    def _note_lost(self, folder: SegmentFolder) -> None:
        """Queue what this instance must copy, as holders stay away; fewest copies go first."""
        now = self._core.clock.monotonic()
        if now < self._scan_at:
            return
        self._scan_at = now + SCAN_PERIOD_S
        live = self._directory.list_live()
        named = {h for held in folder.held.values() for h in held.holders}
        missing = named - live.keys()
        self._missing_since = {h: self._missing_since.get(h, now) for h in missing}
        lost = {h for h, at in self._missing_since.items() if now - at >= REPAIR_AFTER_S}
        if not lost or (lost == self._lost and self._waiting):
            return
        self._lost = lost
        waiting = [
            name
            for name, held in folder.held.items()
            if not lost.isdisjoint(held.holders)
            and plan_repair(name, held.size_bytes, held.holders, live, folder.folder_id)
        ]
        self._waiting = sorted(waiting, key=lambda n: -len(live.keys() & folder.held[n].holders))

    def _repair_some(self, folder: SegmentFolder) -> None:
        for _ in range(min(REPAIRS_PER_STEP, len(self._waiting))):
            self._repair_one(folder, self._waiting.pop())

    def _repair_one(self, folder: SegmentFolder, name: str) -> None:
        """Copy a segment to new folders and name them in its record."""
        record = self._records.load(name)
        if record is None:
            return
        live = self._directory.list_live()
        row = record.row
        plan = plan_repair(name, row.size_bytes, row.holders, live, folder.folder_id)
        if plan is None:
            self._note_holders(folder, name, row.holders)
            return
        stored = folder.read(name)
        copy = stored._replace(holders=plan.kept + plan.added)
        added = self._transfers.send_all([live[f] for f in plan.added], name, copy)
        holders = plan.kept + tuple(row.folder_id for row in added)
        if added and self._records.replace(name, row._replace(holders=holders), record.version):
            self._note_holders(folder, name, holders)
            self._core.metrics.incr("storage.repairs")

    def _note_holders(self, folder: SegmentFolder, name: str, holders: tuple[str, ...]) -> None:
        held = folder.held.get(name)
        if held is not None:
            held.holders = holders

    def _scrub_some(self, folder: SegmentFolder) -> None:
        """Verify some files; one record is checked a step."""
        if not self._scrubbing:
            self._scrubbing = list(folder.held)
        for _ in range(min(SCRUBS_PER_STEP, len(self._scrubbing))):
            name = self._scrubbing.pop()
            if name not in folder.held:
                continue
            try:
                folder.read(name)
            except SegmentLostError:
                continue
            if self._check_record(folder, name):
                return

    def _check_record(self, folder: SegmentFolder, name: str) -> bool:
        """Compare a copy with its record now and then; tell whether a call was made.

        A segment that was written while there were fewer data centres gets its further copy.
        """
        now = self._core.clock.wall()
        held = folder.held[name]
        expired = held.keep_until + RECLAIM_GRACE_S < now
        due = now - held.checked_at > RECORD_CHECK_S or expired
        if not due or now - held.changed_at < ORPHAN_S:
            return False
        record = self._records.load(name)
        if record is None or folder.folder_id not in record.row.holders:
            if folder.remove_stale(name, now - ORPHAN_S):
                self._core.metrics.incr("storage.orphans_removed")
            return True
        row = record.row
        held.checked_at = now
        held.holders, held.keep_until = row.holders, row.keep_until
        live = self._directory.list_live()
        if plan_repair(name, row.size_bytes, row.holders, live, folder.folder_id):
            self._waiting.append(name)
        return True

    def _heal_some(self, folder: SegmentFolder) -> None:
        for name in sorted(folder.damaged)[:HEALS_PER_STEP]:
            if name not in folder.held:
                self._heal(folder, name)
            folder.damaged.discard(name)

    def _heal(self, folder: SegmentFolder, name: str) -> None:
        """Replace a copy that its record names, from another holder."""
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
        logger.error("{} No other copy of segment {} is in reach.", LOG_PREFIX, name)

    def _reclaim_some(self) -> None:
        """One instance goes through all records and deletes those past their time."""
        now = self._core.clock.monotonic()
        own = self._core.settings.instance.name
        if now < self._reclaim_at or choose_owner(RECLAIM_ROLE, self._peers.list_live()) != own:
            return
        page = self._records.list_page(self._reclaim_after, RECLAIM_PAGE_ROWS)
        for name, record in page:
            self._reclaim(name, record)
        if len(page) < RECLAIM_PAGE_ROWS:
            self._reclaim_after = ""
            self._reclaim_at = now + RECLAIM_PAUSE_S
        else:
            self._reclaim_after = page[-1][0]
            self._reclaim_at = now + RECLAIM_PAGE_PERIOD_S

    def _reclaim(self, name: str, record: StoredRecord) -> None:
        """Delete a record; copies follow when their holders miss it."""
        past = record.row.keep_until + RECLAIM_GRACE_S < self._core.clock.wall()
        if past and self._records.remove(name, record.version):
            self._core.metrics.incr("storage.segments_reclaimed")
