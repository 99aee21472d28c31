"""Rows of shards: the parts of a job that instances claim one by one."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple


class ShardState(StrEnum):
    """State of a shard; anything but ``open`` is sealed and takes no more results."""

    OPEN = "open"
    COMPLETE = "complete"
    CANCELLED = "cancelled"


class CommitRow(NamedTuple):
    """A committed segment of results and the number of items in it."""

    segment: str
    items: int


class ShardRow(NamedTuple):
    """The record of one shard; each change is a compare-and-swap on it.

    ``epoch`` grows with each claim. ``lease_until`` is wall-clock seconds and only saves wasted
    work. ``barren`` counts claims in a row without a commit. ``done`` is a bitmap of items with
    a committed result. ``attempts`` holds (item, lost attempts) pairs. ``operation`` names the
    last write.
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
        """Tell whether no more results can be committed."""
        return self.state != ShardState.OPEN


class ProgressRow(NamedTuple):
    """Which shards of a job are sealed, and their counts; a hint that any reader may repair."""

    sealed: bytes = b""
    completed: int = 0
    failed: int = 0


def has_bit(bitmap: bytes, index: int) -> bool:
    """Tell whether a bit is set; bits behind the end are not."""
    position, bit = divmod(index, 8)
    return position < len(bitmap) and bool(bitmap[position] >> bit & 1)


def set_bits(bitmap: bytes, indexes: Iterable[int]) -> bytes:
    """Return a bitmap with more bits set."""
    number = int.from_bytes(bitmap, "little")
    for index in indexes:
        number |= 1 << index
    return number.to_bytes((number.bit_length() + 7) // 8, "little")


def count_bits(bitmap: bytes) -> int:
    """Return how many bits are set."""
    return int.from_bytes(bitmap, "little").bit_count()
