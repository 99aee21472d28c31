"""Choice of the few instances that watch the key-value service on behalf of all."""

from __future__ import annotations

from collections.abc import Iterable

from clementinepin.const import InstanceState
from clementinepin.helpers.rendezvous import rank_owners
from clementinepin.infrastructure import ListedInstance

WATCHERS_PER_DATA_CENTRE = 2


def is_watcher(own: str, data_centre: str, members: Iterable[ListedInstance]) -> bool:
    """Return whether an instance watches the configuration for its data centre."""
    near = [
        row.name
        for row in members
        if row.data_centre == data_centre and row.state == InstanceState.LIVE
    ]
    watchers = rank_owners(f"configuration/{data_centre}", near)[:WATCHERS_PER_DATA_CENTRE]
    return own in watchers
