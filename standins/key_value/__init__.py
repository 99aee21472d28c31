"""Stand-in for the platform's key-value service: its state, an in-memory client and a server."""

from __future__ import annotations

from standins.key_value._gateway import create_server
from standins.key_value._memory import CallHook, MemoryKeyValueStore
from standins.key_value._state import KeyValueState

__all__ = ["CallHook", "KeyValueState", "MemoryKeyValueStore", "create_server"]
