"""Owners of batch allowances by target."""

from __future__ import annotations

from collections.abc import Iterable

from clementinepin.helpers.rendezvous import score_pair


class OwnerTable:
    """Maps each target to the live instance with the highest rendezvous weight.

    The map is updated incrementally: a new member costs one hash per target, a lost one a full
    ranking of the targets that it owned.
    """

    def __init__(self) -> None:
        self._owners: dict[str, tuple[int, str]] = {}
        self._members: frozenset[str] = frozenset()

    def get(self, target: str) -> str | None:
        """Return the owner of a target, or None without live instances."""
        best = self._owners.get(target)
        return best[1] if best else None

    def list_owned(self, member: str) -> list[str]:
        """Return the targets that a member owns."""
        return [target for target, (_, owner) in self._owners.items() if owner == member]

    def update(self, targets: Iterable[str], members: Iterable[str]) -> None:
        """Recompute the owners for new sets of targets and members."""
        current = frozenset(members)
        added = current - self._members
        owners: dict[str, tuple[int, str]] = {}
        for target in targets:
            best = self._owners.get(target)
            contenders = added if best is not None and best[1] in current else current
            scores = [(score_pair(target, member), member) for member in contenders]
            if best is not None and best[1] in current:
                scores.append(best)
            if scores:
                owners[target] = max(scores)
        self._owners = owners
        self._members = current
