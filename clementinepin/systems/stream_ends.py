"""Decides whether runs of a stream that have only ended show that no event follows.

The end of a connection proves no end of a stream: a target may fail behind an event, or behind the
head of its response.

Load pattern: some targets close behind the heads of their responses for seconds, several times in a
row, while sound targets of the same service end all their responses with the connection.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from clementinepin.tables.streams import RunEnd

RUNS_MIN: Final = 3


def is_end_proven(ends: Sequence[RunEnd], runs_max: int) -> bool:
    """Return whether no event follows the one behind which runs have ended.

    The target that brought the last event and another one that brings none prove it. Otherwise runs
    must repeat it, as often as ``runs_max`` runs allow: the run with the last event broke off, or
    there is one target only.
    """
    if any(end.brought_events for end in ends) and len({end.target_id for end in ends}) > 1:
        return True
    return len(ends) >= max(2, min(RUNS_MIN, runs_max))
