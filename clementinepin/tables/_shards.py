"""Rows of shards, the parts of a job that instances claim, and bitmaps of their items."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple


class ShardState(StrEnum):
    """State of a shard; any state but ``open`` is sealed and accepts no more results."""

    OPEN = "open"
    COMPLETE = "complete"
    CANCELLED = "cancelled"


class CommitRow(NamedTuple):
    """A committed segment of results and the number of items in it."""

    segment: str
    items: int


class ShardRow(NamedTuple):
    """The record of one shard; each change is a compare-and-swap on it.

    ``epoch`` increases with each claim. ``lease_until`` is wall-clock seconds; the lease only
    avoids duplicate work, the compare-and-swap ensures correctness. ``barren`` counts claims in a
    row without a commit. ``done`` is a bitmap of the items with a committed result. ``attempts``
    holds (item, lost attempts) pairs. ``operation`` identifies the last write.
    """

    epoch: int
    owner: str
    lease_until: float
    items: int
    barren: int = 0
    state: str = ShardState.OPEN
    commits: tuple[CommitRow, ...] = ()
    done: bytes = b""
    failed: int = 0
    attempts: tuple[tuple[int, int], ...] = ()
    operation: str = ""

    @property
    def sealed(self) -> bool:
        """Return whether no more results can be committed."""
        return self.state != ShardState.OPEN


class ProgressRow(NamedTuple):
    """Sealed shards of a job as a bitmap, and their counts; a hint that any reader may repair."""

    sealed: bytes = b""
    completed: int = 0
    failed: int = 0


def has_bit(bitmap: bytes, index: int) -> bool:
    """Return whether a bit is set; bits past the end are not set."""
    position, bit = divmod(index, 8)
    return position < len(bitmap) and bool(bitmap[position] >> bit & 1)


def set_bits(bitmap: bytes, indexes: Iterable[int]) -> bytes:
    """Return a copy of the bitmap in which these bits are set too."""
    number = int.from_bytes(bitmap, "little")
    for index in indexes:
        number |= 1 << index
    return number.to_bytes((number.bit_length() + 7) // 8, "little")


def count_bits(bitmap: bytes) -> int:
    """Return how many bits are set."""
    return int.from_bytes(bitmap, "little").bit_count()
