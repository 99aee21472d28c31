"""Rows of segments and of the folders that hold them. Times are wall-clock seconds."""

from __future__ import annotations

from typing import NamedTuple


class SegmentRow(NamedTuple):
    """Location of a segment: ``inline`` holds its frame, or ``holders`` names folders.

    ``keep_until`` only increases; nothing may refer to the segment after it.
    """

    size_bytes: int
    keep_until: float
    inline: bytes = b""
    holders: tuple[str, ...] = ()


class HolderRow(NamedTuple):
    """A data folder. A replaced instance returns with another ``folder_id``."""

    folder_id: str
    instance: str
    data_centre: str
    free_bytes: int
    updated_at: float
