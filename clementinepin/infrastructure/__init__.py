"""Clients of the platform's services."""

from __future__ import annotations

from clementinepin.infrastructure._follower import RangeFollower, RangeListener
from clementinepin.infrastructure._instance_list import create_instance_list
from clementinepin.infrastructure._key_value import create_key_value_store
from clementinepin.infrastructure._weight_store import create_weight_store
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
    "create_instance_list",
    "create_key_value_store",
    "create_weight_store",
]
