"""Clients of the platform's services."""

from __future__ import annotations

from clementinepin.platform._follower import RangeFollower, RangeListener
from clementinepin.platform._instance_list import create_instance_list
from clementinepin.platform._key_value import create_key_value_store
from clementinepin.platform._weight_store import create_weight_store
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
    "RangeFollower",
    "RangeListener",
    "WatchEvent",
    "WeightStore",
    "create_instance_list",
    "create_key_value_store",
    "create_weight_store",
]
