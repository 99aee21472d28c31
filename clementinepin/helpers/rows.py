"""Encoding of stored rows, which both older and newer releases must be able to read."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

R = TypeVar("R")


def encode_row(row: Any) -> bytes:
    """Return a row as a MessagePack map by field name, so that later releases can add fields."""
    return msgspec.msgpack.encode(row._asdict())


def decode_row(data: bytes, row_type: type[R]) -> R:
    """Return a row; unknown fields are dropped, missing ones get the defaults of ``row_type``."""
    stored = msgspec.msgpack.decode(data)
    kind: Any = row_type
    defaults = kind._field_defaults
    values = [stored[f] if f in stored else defaults[f] for f in kind._fields]
    return msgspec.convert(values, type=row_type)
