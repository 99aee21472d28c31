"""Bounds the memory that the texts of an instance's unfinished items take."""

from __future__ import annotations

from typing import Final

from clementinepin.serving._item_state import ItemRun
from clementinepin.targets.exceptions import TargetProtocolError

HELD_MAX_BYTES: Final = 16_000_000  # small job runners have 88 MB
EVENT_BYTES: Final = 60  # of a short string and its place in a list


class HeldTexts:
    """Counts the texts of the items that run or wait for their next run.

    Load pattern: several faulty targets that write small events without end, to many items at once.
    """

    def __init__(self) -> None:
        self._sizes: dict[ItemRun, int] = {}
        self._total = 0

    def update(self, run: ItemRun, text_bytes: int) -> None:
        """Record the text of a run, which has ``text_bytes`` bytes.

        Raises TargetProtocolError if the texts are too large together and this one is no smaller
        than the others on average: sound items go on.
        """
        size = text_bytes + EVENT_BYTES * len(run.texts)
        self._total += size - self._sizes.get(run, 0)
        self._sizes[run] = size
        if self._total > HELD_MAX_BYTES and size * len(self._sizes) >= self._total:
            raise TargetProtocolError(
                f"the texts of {len(self._sizes)} items hold {self._total} bytes, this one {size}"
            )

    def forget(self, run: ItemRun) -> None:
        """Forget a run that has ended, or that begins again."""
        self._total -= self._sizes.pop(run, 0)
