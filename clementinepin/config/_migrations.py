"""Migrations of settings files from older versions, one version at a time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

SETTINGS_VERSION = 1

Migration = Callable[[dict[str, Any]], dict[str, Any]]


def _rename_key(document: dict[str, Any], table: str, old: str, new: str) -> dict[str, Any]:
    values = document.get(table)
    if not isinstance(values, dict) or old not in values or new in values:
        return document
    renamed = {new if key == old else key: value for key, value in values.items()}
    return {**document, table: renamed}


def _migrate_0(document: dict[str, Any]) -> dict[str, Any]:
    # Version 0 called the data centre of an instance `zone`.
    return _rename_key(document, "instance", "zone", "data_centre")


_MIGRATIONS: dict[int, Migration] = {0: _migrate_0}


def migrate_settings(document: dict[str, Any]) -> dict[str, Any]:
    """Return the document in the current version; one of an unknown version is not changed."""
    version = document.get("version")
    while type(version) is int and version in _MIGRATIONS:
        document = _MIGRATIONS[version](document)
        version += 1
        document = {**document, "version": version}
    return document
