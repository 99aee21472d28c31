"""Clients of the platform's services."""

from __future__ import annotations

from clementinepin.platform.models import (
    InstanceList,
    KeyValue,
    KeyValueStore,
    LeaseGrant,
    ListedInstance,
    WatchEvent,
    WeightStore,
)

__all__ = [
    "InstanceList",
    "KeyValue",
    "KeyValueStore",
    "LeaseGrant",
    "ListedInstance",
    "WatchEvent",
    "WeightStore",
]
