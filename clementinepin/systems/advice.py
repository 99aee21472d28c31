"""Choice of the entries that are advised to a caller."""

from __future__ import annotations

import random
from collections.abc import Iterable

from clementinepin.const import InstanceState
from clementinepin.infrastructure import ListedInstance

ENTRIES_MAX = 16


def choose_entries(
    members: Iterable[ListedInstance], data_centre: str, region: str, rng: random.Random
) -> tuple[ListedInstance, ...]:
    """Return up to ENTRIES_MAX live entries: own data centre first, then own region, then others.

    Each group is shuffled, so that callers that always use the first entry are spread evenly.
    """
    live = [row for row in members if row.state == InstanceState.LIVE]
    rng.shuffle(live)
    live.sort(key=lambda row: (row.data_centre != data_centre, row.region != region))
    return tuple(live[:ENTRIES_MAX])
