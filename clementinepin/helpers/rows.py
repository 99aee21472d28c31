"""Encoding of stored rows, which both older and newer releases must be able to read."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from loguru import logger

from clementinepin.exceptions import OutcomeUnknownError
from clementinepin.helpers.decoding import guard_decoder, make_msgpack_decoder

R = TypeVar("R")
LOG_PREFIX = "rows:"
KEY_MAX_CHARS = 200

_decode_any: Callable[[bytes], Any] = make_msgpack_decoder()


class RowUnreadableError(OutcomeUnknownError):
    """A stored row can't be decoded; another program may have written it."""

    code = "row_unreadable"
    status = 500


def encode_row(row: Any) -> bytes:
    """Return a row as a MessagePack map by field name, so that later releases can add fields."""
    return msgspec.msgpack.encode(row._asdict())


def decode_row(data: bytes, row_type: type[R]) -> R:
    """Return a row; unknown fields are dropped, missing ones get the defaults of ``row_type``.

    Raises RowUnreadableError if that is not possible, or if a number is not finite.
    """
    try:
        return _convert_row(_decode_any(data), row_type)
    except msgspec.DecodeError as err:
        raise RowUnreadableError(f"{row_type.__name__} can't be decoded: {err}") from err


def read_row(key: str, data: bytes, row_type: type[R]) -> R | None:
    """Return the row under a key of the store, or None for an unreadable one, which is logged."""
    try:
        return decode_row(data, row_type)
    except RowUnreadableError as err:
        logger.warning("{} Skipped {}: {}.", LOG_PREFIX, key[:KEY_MAX_CHARS], err)
        return None


@guard_decoder
def _convert_row(stored: Any, row_type: type[R]) -> R:
    kind: Any = row_type
    defaults = kind._field_defaults
    values = [stored[f] if f in stored else defaults[f] for f in kind._fields]
    row = msgspec.convert(values, type=row_type)
    for field, value in zip(kind._fields, values, strict=True):
        if isinstance(value, float) and not math.isfinite(value):
            raise ValueError(f"{field} is {value}")
    return row
