"""Limit on the memory that request bodies take in this process."""

from __future__ import annotations

from clementinepin.entry.exceptions import BodyMemoryExhaustedError


class BodyBudget:
    """Counts the bytes of request bodies in memory. ``size_max`` limits their sum, in bytes."""

    def __init__(self, size_max: int) -> None:
        self._size_max = size_max
        self.held = 0

    def reserve(self, size: int) -> None:
        """Reserve ``size`` bytes; raise BodyMemoryExhaustedError above the limit."""
        if self.held + size > self._size_max:
            raise BodyMemoryExhaustedError("this instance has no memory left for request bodies")
        self.held += size

    def release(self, size: int) -> None:
        """Release ``size`` reserved bytes."""
        self.held -= size
