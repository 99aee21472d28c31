"""Targets that said in a response that they leave."""

from __future__ import annotations

from typing import NamedTuple


class TargetStart(NamedTuple):
    """One start of a target; ``started_at_ms`` tells starts under the same id apart."""

    target_id: str
    started_at_ms: int


class LeavingTable:
    """The starts of targets that leave, each with the time at which its entry was removed.

    The time is in monotonic seconds, None while the entry is there.
    """

    def __init__(self) -> None:
        self.gone_at: dict[TargetStart, float | None] = {}
