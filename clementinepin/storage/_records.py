"""Segment records in the key-value service: where the copies are, or the data itself."""

from __future__ import annotations

from typing import NamedTuple

from clementinepin.const import PREFIX_SEGMENTS
from clementinepin.helpers.rows import decode_row, encode_row, read_row
from clementinepin.infrastructure import KeyValueStore
from clementinepin.infrastructure.exceptions import ReplyLostError, VersionConflictError
from clementinepin.tables import SegmentRow

KEEP_SLACK_S = 86_400.0


class StoredRecord(NamedTuple):
    """A record and the version of its key."""

    row: SegmentRow
    version: int


class SegmentRecords:
    """Reads and writes records by compare-and-swap.

    A segment exists if and only if it has a record; copies without one are removed.
    """

    def __init__(self, key_value: KeyValueStore) -> None:
        self._key_value = key_value

    def load(self, name: str) -> StoredRecord | None:
        """Return the record of a segment, or None."""
        stored = self._key_value.get(PREFIX_SEGMENTS + name)
        if stored is None:
            return None
        return StoredRecord(decode_row(stored.value, SegmentRow), stored.version)

    def publish(self, name: str, row: SegmentRow) -> None:
        """Create the record, or add the new copies to the existing one.

        Returns once the stored record covers ``row``.
        """
        version, desired = 0, row
        while True:
            try:
                self._key_value.put(PREFIX_SEGMENTS + name, encode_row(desired), expected=version)
            except VersionConflictError as err:
                current = (
                    StoredRecord(decode_row(err.value, SegmentRow), err.current)
                    if (err.value is not None)
                    else None
                )
            except ReplyLostError:
                current = self.load(name)
            else:
                return
            if current is not None and _covers(current.row, row):
                return
            version = current.version if current else 0
            desired = _merge(current.row, row) if current else row

    def replace(self, name: str, row: SegmentRow, version: int) -> bool:
        """Overwrite the given version; return False if another writer was first."""
        try:
            self._key_value.put(PREFIX_SEGMENTS + name, encode_row(row), expected=version)
        except VersionConflictError:
            return False
        except ReplyLostError:
            current = self.load(name)
            return current is not None and current.row == row
        return True

    def remove(self, name: str, version: int) -> bool:
        """Delete the given version.

        Return False if another writer was first or the reply was lost.
        """
        try:
            self._key_value.delete(PREFIX_SEGMENTS + name, expected=version)
        except (VersionConflictError, ReplyLostError):
            return False
        return True

    def list_page(self, after: str, limit: int) -> list[tuple[str, StoredRecord | None]]:
        """Return at most ``limit`` records by segment name, in order, from after ``after``.

        A record that can't be decoded is None.
        """
        cursor = PREFIX_SEGMENTS + after if after else ""
        page = self._key_value.list_range(PREFIX_SEGMENTS, after=cursor, limit=limit)
        rows = [(kv, read_row(kv.key, kv.value, SegmentRow)) for kv in page]
        return [
            (
                kv.key.removeprefix(PREFIX_SEGMENTS),
                None if row is None else StoredRecord(row, kv.version),
            )
            for kv, row in rows
        ]


def _covers(current: SegmentRow, desired: SegmentRow) -> bool:
    """Return whether the current record already covers another write of the same data.

    A ``keep_until`` that is earlier by up to KEEP_SLACK_S is sufficient, which saves a write.
    """
    kept = current.keep_until >= desired.keep_until - KEEP_SLACK_S
    return kept and (bool(current.inline) or set(desired.holders) <= set(current.holders))


def _merge(current: SegmentRow, desired: SegmentRow) -> SegmentRow:
    """Return a record with the copies of both, kept until the later time."""
    keep_until = max(current.keep_until, desired.keep_until)
    inline = current.inline or desired.inline
    if inline:
        return desired._replace(inline=inline, holders=(), keep_until=keep_until)
    holders = dict.fromkeys(desired.holders + current.holders)
    return desired._replace(holders=tuple(holders), keep_until=keep_until)
