"""Choice of stored revisions and parts that nobody needs any more."""

from __future__ import annotations

from collections.abc import Container, Mapping, Sequence
from typing import NamedTuple

REVISIONS_KEPT = 100
RETENTION_S = 3600.0


class StoredRevision(NamedTuple):
    """A revision in the key-value service. ``accepted_at`` is wall-clock seconds."""

    key: str
    version: int
    accepted_at: float
    parts: tuple[str, ...]


class SeenPart(NamedTuple):
    """A part that no revision refers to, since ``seen_at`` (monotonic seconds)."""

    version: int
    seen_at: float


class PartChoice(NamedTuple):
    """Parts to delete, by version, and those to look at again."""

    deletable: dict[str, int]
    seen: dict[str, SeenPart]


def choose_revisions(revisions: Sequence[StoredRevision], wall: float) -> list[StoredRevision]:
    """Return the revisions to delete, oldest first; the newest ones and young ones stay."""
    old = revisions[: max(0, len(revisions) - REVISIONS_KEPT)]
    return [row for row in old if row.accepted_at < wall - RETENTION_S]


def choose_parts(
    stored: Mapping[str, int],
    referred: Container[str],
    seen: Mapping[str, SeenPart],
    now: float,
) -> PartChoice:
    """Return parts that were without reference, unchanged, for the whole retention.

    Whoever means to refer to a stored part writes it again first, which changes its version.
    """
    deletable: dict[str, int] = {}
    again: dict[str, SeenPart] = {}
    for digest, version in stored.items():
        if digest in referred:
            continue
        before = seen.get(digest)
        if before is None or before.version != version:
            again[digest] = SeenPart(version, now)
        elif now - before.seen_at >= RETENTION_S:
            deletable[digest] = version
        else:
            again[digest] = before
    return PartChoice(deletable, again)
