"""The data folder of one instance: synced files, named by segment."""

from __future__ import annotations

import secrets
from collections import Counter

from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.storage._codec import StoredFile, decode_file, encode_file
from clementinepin.storage._files import FileOperations
from clementinepin.storage.exceptions import SegmentLostError, StorageUnavailableError

LOG_PREFIX = "storage:"
SUFFIX_SEGMENT = ".segment"
SUFFIX_PARTIAL = ".partial"
FILE_ID = "folder.id"
FOLDER_ID_BYTES = 8
DAMAGED_MAX = 10_000


class HeldSegment:
    """What is known of a segment held here; ``checked_at`` is wall-clock seconds."""

    def __init__(self, size_bytes: int, changed_at: float) -> None:
        self.size_bytes = size_bytes
        self.changed_at = changed_at
        self.checked_at = 0.0
        self.holders: tuple[str, ...] = ()
        self.keep_until = 0.0


class SegmentFolder:
    """Puts, reads and removes segments within a byte budget."""

    def __init__(
        self, operations: FileOperations, path: str, budget_bytes: int, clock: Clock
    ) -> None:
        self._operations = operations
        self._path = path
        self._budget_bytes = budget_bytes
        self._clock = clock
        self._used_bytes = 0
        self.folder_id = ""
        self.held: dict[str, HeldSegment] = {}
        self.damaged: set[str] = set()
        self.writing: Counter[str] = Counter()

    @property
    def free_bytes(self) -> int:
        """Return what is left of the budget."""
        return max(0, self._budget_bytes - self._used_bytes)

    def open(self) -> None:
        """Find what the folder holds; leftovers of unfinished writes are removed."""
        names = set()
        for info in self._operations.list_files(self._path):
            names.add(info.name)
            if info.name.endswith(SUFFIX_PARTIAL):
                self._operations.remove(self._locate(info.name))
            elif info.name.endswith(SUFFIX_SEGMENT):
                name = info.name.removesuffix(SUFFIX_SEGMENT)
                self.held[name] = HeldSegment(info.size_bytes, info.changed_at)
                self._used_bytes += info.size_bytes
        self.folder_id = self._read_id(FILE_ID in names)

    def put(self, name: str, stored: StoredFile) -> None:
        """Make a copy durable; raises StorageUnavailableError when the disk refuses."""
        content = encode_file(stored)
        if len(content) > self.free_bytes:
            raise StorageUnavailableError(f"the folder is full, {self.free_bytes} bytes left")
        partial = self._locate(f"{name}.{secrets.token_hex(4)}{SUFFIX_PARTIAL}")
        target = self._locate(name + SUFFIX_SEGMENT)
        self.writing[name] += 1
        try:
            self._operations.write(partial, content)
            self._operations.rename(partial, target)
            self._note(name, len(content), stored)
        except OSError as err:
            logger.warning("{} Write to the data folder failed: {}.", LOG_PREFIX, err)
            self._remove_quietly(partial)
            raise StorageUnavailableError(str(err)) from err
        finally:
            self.writing[name] -= 1

    def read(self, name: str) -> StoredFile:
        """Return an intact copy; a damaged or missing one raises SegmentLostError.

        It is removed and noted as ``damaged``, to be healed from another copy.
        """
        try:
            stored = decode_file(name, self._operations.read(self._locate(name + SUFFIX_SEGMENT)))
        except OSError as err:
            self._forget(name)
            self._note_damaged(name)
            raise SegmentLostError(name) from err
        except SegmentLostError:
            logger.warning("{} Segment {} is damaged here.", LOG_PREFIX, name)
            self.remove(name)
            self._note_damaged(name)
            raise
        held = self.held.get(name)
        if held is not None:
            held.holders, held.keep_until = stored.holders, stored.keep_until
        return stored

    def remove(self, name: str) -> None:
        """Remove a copy."""
        self._remove_quietly(self._locate(name + SUFFIX_SEGMENT))
        self._forget(name)

    def remove_stale(self, name: str, changed_before: float) -> bool:
        """Remove a copy that no write renewed since; tell whether it is gone.

        Nothing yields between the check and the removal, so a racing write wins.
        """
        held = self.held.get(name)
        if held is None or self.writing[name] or held.changed_at >= changed_before:
            return False
        self.remove(name)
        return True

    def _locate(self, name: str) -> str:
        return f"{self._path}/{name}"

    def _note(self, name: str, size_bytes: int, stored: StoredFile) -> None:
        self._forget(name)
        held = HeldSegment(size_bytes, self._clock.wall())
        held.holders, held.keep_until = stored.holders, stored.keep_until
        self.held[name] = held
        self._used_bytes += size_bytes

    def _note_damaged(self, name: str) -> None:
        if len(self.damaged) < DAMAGED_MAX:
            self.damaged.add(name)

    def _forget(self, name: str) -> None:
        held = self.held.pop(name, None)
        if held is not None:
            self._used_bytes -= held.size_bytes

    def _remove_quietly(self, path: str) -> None:
        try:
            self._operations.remove(path)
        except OSError as err:
            logger.debug("{} Could not remove a file: {}.", LOG_PREFIX, err)

    def _read_id(self, known: bool) -> str:
        """Return the folder's identity, which is made on first use."""
        path = self._locate(FILE_ID)
        if known:
            stored = self._operations.read(path).decode(errors="replace")
            if len(stored) == 2 * FOLDER_ID_BYTES:
                return stored
        folder_id = secrets.token_hex(FOLDER_ID_BYTES)
        self._operations.write(path + SUFFIX_PARTIAL, folder_id.encode())
        self._operations.rename(path + SUFFIX_PARTIAL, path)
        return folder_id
