"""Protocol of write-once segments."""

from __future__ import annotations

from typing import Protocol


class SegmentStore(Protocol):
    """Write-once blobs named by digest, verified on each read."""

    def write(self, data: bytes) -> str:
        """Make the data durable and return its name; raises StorageUnavailableError."""

    def read(self, name: str) -> bytes:
        """Return the data; raises SegmentLostError when no good copy is left in reach."""
