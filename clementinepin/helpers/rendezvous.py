"""Rendezvous hashing: a stable choice of owners without shared state."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def score_pair(key: str, member: str) -> int:
    """Return the 64-bit weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def choose_owner(key: str, members: Iterable[str]) -> str | None:
    """Return the member with the highest weight, or None without members."""
    return max(members, key=lambda m: (score_pair(key, m), m), default=None)


def rank_owners(key: str, members: Iterable[str]) -> list[str]:
    """Return the members, highest weight first."""
    return sorted(members, key=lambda m: (score_pair(key, m), m), reverse=True)
