"""Rows of segments and of the folders that hold them. Times are wall-clock seconds."""

from __future__ import annotations

from typing import NamedTuple


class SegmentRow(NamedTuple):
    """Where a segment is: ``inline`` holds its frame, else ``holders`` names folders.

    ``keep_until`` only grows; nothing may refer to the segment beyond it.
    """

    size_bytes: int
    keep_until: float
    inline: bytes = b""
    holders: tuple[str, ...] = ()


class HolderRow(NamedTuple):
    """A data folder. An instance that is replaced comes back with another ``folder_id``."""

    folder_id: str
    instance: str
    data_centre: str
    free_bytes: int
    updated_at: float
