"""Decides whether runs of a stream that have only ended show that no event follows.

The end of a connection proves no end of a stream: a target may fail behind an event, or behind the
head of its response.

Load pattern: some targets close behind the heads of their responses for seconds, several times in a
row, while sound targets of the same service end all their responses with the connection.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

RUNS_OF_ONE_TARGET: Final = 3


def is_end_proven(ended_by: Sequence[str], runs_max: int) -> bool:
    """Return whether no event follows the one behind which runs have ended.

    ``ended_by`` has the target of each run. Two targets that agree prove it. Where only one can be
    asked, it must repeat itself, as often as ``runs_max`` runs allow.
    """
    runs_min = max(2, min(RUNS_OF_ONE_TARGET, runs_max))
    return len(set(ended_by)) > 1 or len(ended_by) >= runs_min
