"""Owners of batch allowances, kept as members and targets come and go."""

from __future__ import annotations

from collections.abc import Iterable

from clementinepin.helpers.rendezvous import score_pair


class OwnerTable:
    """The live instance with the highest rendezvous weight, by target.

    A change of one member costs one hash for each target, and a full ranking only for the
    targets that the member owned.
    """

    def __init__(self) -> None:
        self._owners: dict[str, tuple[int, str]] = {}
        self._members: frozenset[str] = frozenset()

    def get(self, target: str) -> str | None:
        """Return the owner of a target, or None without live instances."""
        known = self._owners.get(target)
        return known[1] if known else None

    def list_owned(self, member: str) -> list[str]:
        """Return the targets that a member owns."""
        return [target for target, (_, owner) in self._owners.items() if owner == member]

    def update(self, targets: Iterable[str], members: Iterable[str]) -> None:
        """Take new sets of targets and members."""
        wanted = frozenset(members)
        added = wanted - self._members
        owners: dict[str, tuple[int, str]] = {}
        for target in targets:
            known = self._owners.get(target)
            contenders = added if known is not None and known[1] in wanted else wanted
            scores = [(score_pair(target, member), member) for member in contenders]
            if known is not None and known[1] in wanted:
                scores.append(known)
            if scores:
                owners[target] = max(scores)
        self._owners = owners
        self._members = wanted
