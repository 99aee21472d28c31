"""Memory that callers' bodies may take in this process, all requests together."""

from __future__ import annotations

from clementinepin.entry.exceptions import BodyMemoryExhaustedError


class BodyBudget:
    """Counts the bytes of bodies held; ``size_max`` bounds their sum."""

    def __init__(self, size_max: int) -> None:
        self._size_max = size_max
        self.held = 0

    def reserve(self, size: int) -> None:
        """Take bytes; raises BodyMemoryExhaustedError when there are none left."""
        if self.held + size > self._size_max:
            raise BodyMemoryExhaustedError("this instance holds as many bodies as it may")
        self.held += size

    def release(self, size: int) -> None:
        """Give bytes back."""
        self.held -= size
