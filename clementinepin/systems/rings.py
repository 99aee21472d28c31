"""Positions of members on a hash ring: neighbours to probe, and trees to reach all."""

from __future__ import annotations

from collections.abc import Container, Iterable, Sequence
from typing import NamedTuple

import xxhash

POSITION_END = 1 << 64
SPREAD_FANOUT = 4


class RingRange(NamedTuple):
    """Positions from ``low`` up to but not including ``high``."""

    low: int
    high: int


WHOLE_RING = RingRange(0, POSITION_END)


class Branch(NamedTuple):
    """A part of a tree: the first of ``heads`` that answers takes on the whole range."""

    heads: tuple[str, ...]
    range: RingRange


def locate_name(name: str) -> int:
    """Return a member's position, a 64-bit integer."""
    return xxhash.xxh3_64_intdigest(name.encode())


def order_ring(names: Iterable[str]) -> tuple[str, ...]:
    """Return names by position."""
    return tuple(sorted(names, key=lambda name: (locate_name(name), name)))


def choose_fingers(own: str, ring: Sequence[str]) -> tuple[str, ...]:
    """Return the members 1, 2, 4, 8 ... places on.

    Each member has as many that choose it as it chooses itself, and any message passed on
    along fingers reaches all in a number of steps that is logarithmic in their number.
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
    """Return branches that together hold every member in the range but the excluded.

    Excluded are the members on the way to this branch; the ranges may hold them still.
    """
    names = [name for name in ring if name not in excluded and _contains(whole, name)]
    if not names:
        return ()
    size = -(-len(names) // SPREAD_FANOUT)
    chunks = [names[index : index + size] for index in range(0, len(names), size)]
    lows = [whole.low, *(locate_name(chunk[0]) for chunk in chunks[1:])]
    highs = [*lows[1:], whole.high]
    return tuple(
        Branch(tuple(chunk), RingRange(low, high))
        for chunk, low, high in zip(chunks, lows, highs, strict=True)
    )


def _contains(whole: RingRange, name: str) -> bool:
    return whole.low <= locate_name(name) < whole.high
