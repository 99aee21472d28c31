"""Dump rows without their secrets."""

from __future__ import annotations

from typing import Any

REDACTED = "(redacted)"
SECRET_KEYS = frozenset({"peer_secret", "operator_key_digest", "key_digests", "tls_key"})


def dump_redacted(value: Any) -> Any:
    """Return rows as values that can be encoded as JSON, with every non-empty secret replaced."""
    if hasattr(value, "_asdict"):
        return dump_redacted(value._asdict())
    if isinstance(value, dict):
        return {key: _dump_entry(key, entry) for key, entry in value.items()}
    if isinstance(value, (list, tuple)):
        return [dump_redacted(entry) for entry in value]
    return value


def _dump_entry(key: str, value: Any) -> Any:
    if key in SECRET_KEYS and value:
        return REDACTED
    return dump_redacted(value)
