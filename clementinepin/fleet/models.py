"""Protocol of the fleet component, as the HTTP entry uses it, and its results."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from clementinepin.infrastructure import ListedInstance


class ApplyResult(NamedTuple):
    """The revision and digest of an accepted file set."""

    revision: int
    digest: str


class EntryAdvice(NamedTuple):
    """Entries that a caller should use, best first.

    The advice is valid until ``valid_until``, in wall-clock seconds.
    """

    entries: tuple[ListedInstance, ...]
    valid_until: float


class Fleet(Protocol):
    """Configuration, membership, advice to callers and stewards."""

    def apply(self, files: Mapping[str, bytes], *, base: int | None) -> ApplyResult:
        """Accept a complete file set as revision ``base`` + 1.

        ``base`` None means the newest revision. Raise ConfigurationInvalidError,
        ConfigurationConflictError (another file set was accepted first),
        ConfigurationUnavailableError (nothing was accepted) or ConfigurationUnknownError.
        """

    def fetch_revisions_in_force(self) -> dict[str, int]:
        """Return the revision in force by instance name, for the instances that replied."""

    def advise_entries(self) -> EntryAdvice:
        """Return live entries, the nearest first; leaving instances are never included."""

    def list_instances(self) -> list[ListedInstance]:
        """Return the instances and targets that this instance knows."""

    def list_stewards(self) -> dict[str, str]:
        """Return the name of the instance that is steward of each service, by service."""
