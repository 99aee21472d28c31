"""Protocol of fleet-wide roles, as the HTTP entry sees them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from clementinepin.infrastructure import ListedInstance


class ApplyResult(NamedTuple):
    """An accepted file set."""

    revision: int
    digest: str


class EntryAdvice(NamedTuple):
    """Entries to use, best first, until a wall-clock time in seconds."""

    entries: tuple[ListedInstance, ...]
    valid_until: float


class Fleet(Protocol):
    """Configuration, membership and leaving."""

    def apply(self, files: Mapping[str, bytes], *, base: int | None) -> ApplyResult:
        """Accept a whole file set as revision base + 1; typed conflicts name the winner.

        ``base`` None takes the newest revision as base.
        """

    def count_in_force(self) -> dict[str, int]:
        """Return the revision in force by instance name, for those that answered."""

    def advise_entries(self) -> EntryAdvice:
        """Return live entries; a leaving instance is never among them."""

    def list_instances(self) -> list[ListedInstance]:
        """Return the instances and targets as this instance sees them."""

    def list_stewards(self) -> dict[str, str]:
        """Return the holder of each service's steward lease, by service."""
