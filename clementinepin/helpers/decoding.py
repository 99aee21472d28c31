"""The one way to decode bytes that another process wrote."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Any, Final, ParamSpec, TypeVar

import msgspec

P = ParamSpec("P")
T = TypeVar("T")

# Parsers quote their input, which may be large.
REASON_MAX_CHARS: Final = 200

# What parsers raise beside their own errors: RecursionError for deep nesting, OverflowError for
# large numbers, ValueError for text (UnicodeError and binascii.Error included), TypeError and
# LookupError for values of another shape.
_UNDOCUMENTED: Final = (ArithmeticError, LookupError, RecursionError, TypeError, ValueError)


def guard_decoder(decode: Callable[P, T]) -> Callable[P, T]:
    """Return ``decode`` with all its errors about input as ``msgspec.DecodeError``.

    The original error is the cause of the new one. Also a decorator of functions that turn decoded
    values into rows.
    """

    @functools.wraps(decode)
    def decode_guarded(*args: P.args, **kwargs: P.kwargs) -> T:
        try:
            return decode(*args, **kwargs)
        except msgspec.DecodeError:
            raise
        except _UNDOCUMENTED as err:
            reason = f"{type(err).__name__}: {err}"
            raise msgspec.DecodeError(reason[:REASON_MAX_CHARS]) from err

    return decode_guarded


def make_json_decoder(kind: type[T] | Any = Any, *, strict: bool = True) -> Callable[[bytes], T]:
    """Return a decoder of JSON, which raises no other error than ``msgspec.DecodeError``."""
    return guard_decoder(msgspec.json.Decoder(kind, strict=strict).decode)


def make_msgpack_decoder(kind: type[T] | Any = Any) -> Callable[[bytes], T]:
    """Return a decoder of MessagePack, which raises no other error than ``msgspec.DecodeError``."""
    return guard_decoder(msgspec.msgpack.Decoder(kind).decode)
