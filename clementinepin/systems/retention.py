"""Choice of the stored revisions and parts that may be deleted."""

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
    """A part that no revision has referred to since ``seen_at`` (monotonic seconds)."""

    version: int
    seen_at: float


class PartChoice(NamedTuple):
    """Parts to delete, with their versions, and unreferenced parts to check again later."""

    deletable: dict[str, int]
    seen: dict[str, SeenPart]


def choose_revisions(revisions: Sequence[StoredRevision], wall: float) -> list[StoredRevision]:
    """Return the revisions to delete, oldest first.

    The newest REVISIONS_KEPT and those younger than RETENTION_S stay. ``revisions`` is ordered
    from oldest to newest.
    """
    old = revisions[: max(0, len(revisions) - REVISIONS_KEPT)]
    return [row for row in old if row.accepted_at < wall - RETENTION_S]


def choose_parts(
    stored: Mapping[str, int],
    referred: Container[str],
    seen: Mapping[str, SeenPart],
    now: float,
) -> PartChoice:
    """Choose the parts that were unreferenced and unchanged for RETENTION_S.

    A writer that is about to refer to a stored part first writes it again, which changes its
    version and restarts the time.
    """
    deletable: dict[str, int] = {}
    again: dict[str, SeenPart] = {}
    for digest, version in stored.items():
        if digest in referred:
            continue
        earlier = seen.get(digest)
        if earlier is None or earlier.version != version:
            again[digest] = SeenPart(version, now)
        elif now - earlier.seen_at >= RETENTION_S:
            deletable[digest] = version
        else:
            again[digest] = earlier
    return PartChoice(deletable, again)
