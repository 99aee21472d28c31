"""Adapter to the users' platform: its names, formats and calls. It makes no decisions."""

from __future__ import annotations

from clementinepin.platform._settings import SETTINGS_VARIABLE, load_instance_settings
from clementinepin.platform._store import create_store
from clementinepin.platform._wire import PlatformWire, create_wire

__all__ = [
    "SETTINGS_VARIABLE",
    "PlatformWire",
    "create_store",
    "create_wire",
    "load_instance_settings",
]
