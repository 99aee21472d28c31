"""Clients of the platform's key-value service, instance list and weight store.

They are not exported by the package itself: the daemon on the users' platform uses none of
them, and importing them would lengthen each of its starts.
"""

from __future__ import annotations

from clementinepin.infrastructure._instance_list import create_instance_list
from clementinepin.infrastructure._key_value import create_key_value_store
from clementinepin.infrastructure._weight_store import create_weight_store

__all__ = ["create_instance_list", "create_key_value_store", "create_weight_store"]
