"""Encoding of rows that outlive a release."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

R = TypeVar("R")


def encode_row(row: Any) -> bytes:
    """Return a row as a MessagePack map, so that fields may be added."""
    return msgspec.msgpack.encode(row._asdict())


def decode_row(data: bytes, row_type: type[R]) -> R:
    """Return a row; fields that it does not know are dropped, missing ones take defaults."""
    stored = msgspec.msgpack.decode(data)
    kind: Any = row_type
    defaults = kind._field_defaults
    values = [stored[f] if f in stored else defaults[f] for f in kind._fields]
    return msgspec.convert(values, type=row_type)
