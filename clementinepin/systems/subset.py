"""Choice of the targets that an instance routes to and of those that it owns."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from clementinepin.helpers.rendezvous import score_pair
from clementinepin.tables import Tables, View

SUBSET_TARGETS_MIN = 24  # followed per service, or all targets if there are fewer
TARGET_DECIDERS_MIN = 3  # instances that follow each target, on average


class Placed(Protocol):
    """Anything with a name and a region."""

    @property
    def name(self) -> str:
        """Return the name."""

    @property
    def region(self) -> str:
        """Return the region."""


def compute_subset(
    targets: Iterable[Placed], instance: str, region: str, live_count: int
) -> frozenset[str]:
    """Return the names of the targets of one service to route to.

    These are all targets while they are few. Otherwise they are those with the highest rendezvous
    weights, own region first, so that a change of one target or instance changes few choices.
    """
    rows = list(targets)
    size = compute_subset_size(len(rows), live_count)
    if size >= len(rows):
        return frozenset(row.name for row in rows)
    ranked = sorted(
        rows, key=lambda row: (row.region != region, -score_pair(row.name, instance), row.name)
    )
    return frozenset(row.name for row in ranked[:size])


def compute_subset_size(target_count: int, live_count: int) -> int:
    """Return how many targets to follow: SUBSET_TARGETS_MIN, or more if there are few instances.

    The minimum is exceeded so that each target has TARGET_DECIDERS_MIN deciders on average.
    """
    shared = -(-target_count * TARGET_DECIDERS_MIN // max(1, live_count))
    return min(target_count, max(SUBSET_TARGETS_MIN, shared))


def update_roles(tables: Tables, view: View) -> None:
    """Recompute the targets that this instance owns and those that it follows."""
    tables.owners.update([row.name for row in tables.targets], view.live)
    tables.owned = frozenset(tables.owners.list_owned(view.instance))
    services = {row.service for row in tables.targets}
    tables.followed = {
        service: tuple(
            sorted(
                compute_subset(
                    tables.targets.list_service(service),
                    view.instance,
                    view.region,
                    len(view.live),
                )
            )
        )
        for service in services
    }
