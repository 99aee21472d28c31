"""Positions of members on a hash ring, to choose probe targets and broadcast trees."""

from __future__ import annotations

from collections.abc import Container, Iterable, Sequence
from typing import NamedTuple

import xxhash

POSITION_END = 1 << 64
BRANCHES_MAX = 4  # per node of a broadcast tree


class RingRange(NamedTuple):
    """Positions from ``low`` up to but not including ``high``."""

    low: int
    high: int


WHOLE_RING = RingRange(0, POSITION_END)


class Branch(NamedTuple):
    """A branch of a tree: the first of ``heads`` that replies covers the whole range."""

    heads: tuple[str, ...]
    range: RingRange


def locate_name(name: str) -> int:
    """Return a member's position, a 64-bit integer."""
    return xxhash.xxh3_64_intdigest(name.encode())


def order_ring(names: Iterable[str]) -> tuple[str, ...]:
    """Return names sorted by ring position."""
    return tuple(sorted(names, key=lambda name: (locate_name(name), name)))


def choose_fingers(own: str, ring: Sequence[str]) -> tuple[str, ...]:
    """Return the members that are 1, 2, 4, 8 ... positions ahead of ``own`` on the ring.

    Each member is chosen by as many members as it chooses. A message that is forwarded along
    fingers reaches all members in a logarithmic number of steps.
    """
    if own not in ring:
        return tuple(ring)
    start = ring.index(own)
    fingers: dict[str, None] = {}
    step = 1
    while step < len(ring):
        fingers[ring[(start + step) % len(ring)]] = None
        step *= 2
    return tuple(fingers)


def split_range(
    ring: Sequence[str], whole: RingRange, excluded: Container[str]
) -> tuple[Branch, ...]:
    """Return branches that together cover every member in the range except the excluded ones.

    Excluded are the members on the path to this branch; the returned ranges may still contain
    their positions.
    """
    names = [name for name in ring if name not in excluded and _contains(whole, name)]
    if not names:
        return ()
    size = -(-len(names) // BRANCHES_MAX)
    chunks = [names[index : index + size] for index in range(0, len(names), size)]
    lows = [whole.low, *(locate_name(chunk[0]) for chunk in chunks[1:])]
    highs = [*lows[1:], whole.high]
    return tuple(
        Branch(tuple(chunk), RingRange(low, high))
        for chunk, low, high in zip(chunks, lows, highs, strict=True)
    )


def _contains(whole: RingRange, name: str) -> bool:
    return whole.low <= locate_name(name) < whole.high
