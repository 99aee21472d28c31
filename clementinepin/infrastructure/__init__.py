"""Interfaces to the platform's services. Their clients are in ``infrastructure.clients``."""

from __future__ import annotations

from clementinepin.infrastructure._follower import RangeFollower, RangeListener
from clementinepin.infrastructure.models import (
    Change,
    InstanceList,
    KeyValue,
    KeyValueStore,
    LeaseGrant,
    ListedInstance,
    Page,
    StateStore,
    WatchEvent,
    WeightStore,
    is_reachable,
)

__all__ = [
    "Change",
    "InstanceList",
    "KeyValue",
    "KeyValueStore",
    "LeaseGrant",
    "ListedInstance",
    "Page",
    "RangeFollower",
    "RangeListener",
    "StateStore",
    "WatchEvent",
    "WeightStore",
    "is_reachable",
]
