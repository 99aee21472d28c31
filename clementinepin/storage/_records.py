"""Records of segments in the key-value service."""

from __future__ import annotations

from typing import NamedTuple

from clementinepin.const import PREFIX_SEGMENTS
from clementinepin.helpers.rows import decode_row, encode_row
from clementinepin.infrastructure import KeyValueStore
from clementinepin.infrastructure.exceptions import ReplyLostError, VersionConflictError
from clementinepin.tables import SegmentRow

KEEP_SLACK_S = 86_400.0


class StoredRecord(NamedTuple):
    """A record with the version that it was read at."""

    row: SegmentRow
    version: int


class SegmentRecords:
    """The record alone says what exists; it is changed by compare-and-swap."""

    def __init__(self, key_value: KeyValueStore) -> None:
        self._key_value = key_value

    def load(self, name: str) -> StoredRecord | None:
        """Return a segment's record or None."""
        stored = self._key_value.get(PREFIX_SEGMENTS + name)
        if stored is None:
            return None
        return StoredRecord(decode_row(stored.value, SegmentRow), stored.version)

    def publish(self, name: str, row: SegmentRow) -> None:
        """Create the record, or let the one that stands name the new copies too."""
        version, wanted = 0, row
        while True:
            try:
                self._key_value.put(PREFIX_SEGMENTS + name, encode_row(wanted), expected=version)
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
            wanted = _merge(current.row, row) if current else row

    def replace(self, name: str, row: SegmentRow, version: int) -> bool:
        """Write over a version; False when another writer was first."""
        try:
            self._key_value.put(PREFIX_SEGMENTS + name, encode_row(row), expected=version)
        except VersionConflictError:
            return False
        except ReplyLostError:
            current = self.load(name)
            return current is not None and current.row == row
        return True

    def remove(self, name: str, version: int) -> bool:
        """Delete a version; False when another writer was first."""
        try:
            self._key_value.delete(PREFIX_SEGMENTS + name, expected=version)
        except (VersionConflictError, ReplyLostError):
            return False
        return True

    def list_page(self, after: str, limit: int) -> list[tuple[str, StoredRecord]]:
        """Return some records behind a name, in order."""
        cursor = PREFIX_SEGMENTS + after if after else ""
        page = self._key_value.list_range(PREFIX_SEGMENTS, after=cursor, limit=limit)
        return [
            (
                kv.key.removeprefix(PREFIX_SEGMENTS),
                StoredRecord(decode_row(kv.value, SegmentRow), kv.version),
            )
            for kv in page
        ]


def _covers(current: SegmentRow, wanted: SegmentRow) -> bool:
    """Tell whether a record needs no change for another write of the same data."""
    kept = current.keep_until >= wanted.keep_until - KEEP_SLACK_S
    return kept and (bool(current.inline) or set(wanted.holders) <= set(current.holders))


def _merge(current: SegmentRow, wanted: SegmentRow) -> SegmentRow:
    """Return a record with the copies of both and the later time to keep them."""
    keep_until = max(current.keep_until, wanted.keep_until)
    inline = current.inline or wanted.inline
    if inline:
        return wanted._replace(inline=inline, holders=(), keep_until=keep_until)
    holders = dict.fromkeys(wanted.holders + current.holders)
    return wanted._replace(holders=tuple(holders), keep_until=keep_until)
