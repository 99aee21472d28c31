"""Protocol of the segment store."""

from __future__ import annotations

from typing import Protocol


class SegmentStore(Protocol):
    """Store of write-once blobs that are named by their digest and verified on each read."""

    def write(self, data: bytes) -> str:
        """Make the data durable and return its name.

        Raise StorageUnavailableError if it could not be made durable.
        """

    def read(self, name: str) -> bytes:
        """Return the data of a segment.

        Raise SegmentLostError if no intact copy can be reached, and PlatformUnavailableError if
        neither its record nor a copy can be read.
        """
