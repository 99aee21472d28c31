"""The data folder of one instance, with one synced file per segment."""

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
DAMAGED_NAMES_MAX = 10_000


class HeldSegment:
    """Index entry of a segment in this folder.

    Times are wall-clock seconds. ``checked_at`` is when the copy was last compared with its
    record. ``holders`` and ``keep_until`` are empty and 0 until the file is first read or written.
    """

    def __init__(self, size_bytes: int, changed_at: float) -> None:
        self.size_bytes = size_bytes
        self.changed_at = changed_at
        self.checked_at = 0.0
        self.holders: tuple[str, ...] = ()
        self.keep_until = 0.0


class SegmentFolder:
    """Writes, reads and removes segment files within a byte budget.

    ``folder_id`` identifies the folder, empty until ``open``. ``held`` is the index by segment
    name. ``damaged`` has the names whose copy was found damaged or missing. ``writing`` counts
    the writes in progress by name.
    """

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
        """Return the bytes that are left of the budget."""
        return max(0, self._budget_bytes - self._used_bytes)

    def open(self) -> None:
        """Index the segments in the folder, remove files of unfinished writes, and load the id.

        Raise OSError if the folder can't be used.
        """
        names = set()
        for info in self._operations.list_files(self._path):
            names.add(info.name)
            if info.name.endswith(SUFFIX_PARTIAL):
                self._operations.remove(self._build_path(info.name))
            elif info.name.endswith(SUFFIX_SEGMENT):
                name = info.name.removesuffix(SUFFIX_SEGMENT)
                self.held[name] = HeldSegment(info.size_bytes, info.changed_at)
                self._used_bytes += info.size_bytes
        self.folder_id = self._load_or_create_id(FILE_ID in names)

    def put(self, name: str, stored: StoredFile) -> None:
        """Make a copy durable.

        Raise StorageUnavailableError if the budget is used up or the disk returns an error.
        """
        content = encode_file(stored)
        if len(content) > self.free_bytes:
            raise StorageUnavailableError(f"data folder is full, {self.free_bytes} bytes left")
        partial = self._build_path(f"{name}.{secrets.token_hex(4)}{SUFFIX_PARTIAL}")
        target = self._build_path(name + SUFFIX_SEGMENT)
        self.writing[name] += 1
        try:
            self._operations.write(partial, content)
            self._operations.rename(partial, target)
            self._record_held(name, len(content), stored)
        except OSError as err:
            logger.warning("{} Write to the data folder failed: {}.", LOG_PREFIX, err)
            self._try_remove(partial)
            raise StorageUnavailableError(str(err)) from err
        finally:
            self.writing[name] -= 1

    def read(self, name: str) -> StoredFile:
        """Return an intact copy. Raise SegmentLostError if it is damaged or missing.

        A damaged copy is removed, unless it is being replaced. Its name is added to ``damaged``, so
        that the copy is replaced from another holder.
        """
        while True:
            held = self.held.get(name)
            try:
                stored = decode_file(
                    name, self._operations.read(self._build_path(name + SUFFIX_SEGMENT))
                )
                break
            except (OSError, SegmentLostError) as err:
                if self.held.get(name) is not held and name in self.held:
                    continue  # replaced while the former copy was read
                if not self.writing[name]:
                    self._drop_damaged(name, err)
                raise SegmentLostError(name) from err
        held = self.held.get(name)
        if held is not None:
            held.holders, held.keep_until = stored.holders, stored.keep_until
        return stored

    def remove(self, name: str) -> None:
        """Remove a copy; an error of the disk is only logged."""
        self._try_remove(self._build_path(name + SUFFIX_SEGMENT))
        self._forget(name)

    def remove_stale(self, name: str, changed_before: float) -> bool:
        """Remove a copy if it was last written before ``changed_before``; return whether it was.

        ``changed_before`` is in wall-clock seconds. No other greenlet runs between the check and
        the removal, so a copy that is written concurrently is never removed.
        """
        held = self.held.get(name)
        if held is None or self.writing[name] or held.changed_at >= changed_before:
            return False
        self.remove(name)
        return True

    def _build_path(self, name: str) -> str:
        return f"{self._path}/{name}"

    def _record_held(self, name: str, size_bytes: int, stored: StoredFile) -> None:
        self._forget(name)
        held = HeldSegment(size_bytes, self._clock.wall())
        held.holders, held.keep_until = stored.holders, stored.keep_until
        self.held[name] = held
        self._used_bytes += size_bytes

    def _drop_damaged(self, name: str, err: OSError | SegmentLostError) -> None:
        if isinstance(err, OSError):
            self._forget(name)
        else:
            logger.warning(
                "{} The copy of segment {} in the data folder is damaged.", LOG_PREFIX, name
            )
            self.remove(name)
        self._record_damaged(name)

    def _record_damaged(self, name: str) -> None:
        if len(self.damaged) < DAMAGED_NAMES_MAX:
            self.damaged.add(name)

    def _forget(self, name: str) -> None:
        held = self.held.pop(name, None)
        if held is not None:
            self._used_bytes -= held.size_bytes

    def _try_remove(self, path: str) -> None:
        try:
            self._operations.remove(path)
        except OSError as err:
            logger.debug("{} Could not remove a file from the data folder: {}.", LOG_PREFIX, err)

    def _load_or_create_id(self, exists: bool) -> str:
        """Return the folder's id, which is created on first use or if its file is damaged."""
        path = self._build_path(FILE_ID)
        if exists:
            stored = self._operations.read(path).decode(errors="replace")
            if len(stored) == 2 * FOLDER_ID_BYTES:
                return stored
        folder_id = secrets.token_hex(FOLDER_ID_BYTES)
        self._operations.write(path + SUFFIX_PARTIAL, folder_id.encode())
        self._operations.rename(path + SUFFIX_PARTIAL, path)
        return folder_id
