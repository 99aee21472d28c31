"""The one way to decode bytes that another process wrote."""

from __future__ import annotations

import functools
import re
from collections.abc import Callable
from typing import Any, Final, ParamSpec, TypeVar

import msgspec

P = ParamSpec("P")
T = TypeVar("T")

# Parsers quote their input, which may be large.
REASON_MAX_CHARS: Final = 200

NESTING_MAX: Final = 100

# What parsers raise beside their own errors: RecursionError for deep nesting, OverflowError for
# large numbers, ValueError for text (UnicodeError and binascii.Error included), TypeError and
# LookupError for values of another shape.
_UNDOCUMENTED: Final = (ArithmeticError, LookupError, RecursionError, TypeError, ValueError)

# A string, which may lack its end, or a character that opens, closes or separates.
_JSON_TOKEN: Final = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\Z)|[\[\]{},]', re.DOTALL)


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


def check_nesting(value: Any) -> None:
    """Raise ``msgspec.DecodeError`` for a decoded value nested deeper than NESTING_MAX.

    How deep an encoder gets depends on the depth of the stack at which it is called, so a value
    that is to be encoded again later must stay well below that.
    """
    level = [value] if isinstance(value, dict | list) else []
    for _ in range(NESTING_MAX):
        level = [
            child
            for parent in level
            for child in (parent.values() if isinstance(parent, dict) else parent)
            if isinstance(child, dict | list)
        ]
        if not level:
            return
    raise msgspec.DecodeError(f"values are nested deeper than {NESTING_MAX} levels")


def split_json_array(data: bytes) -> list[bytes]:
    """Return the elements of a JSON array, undecoded, whatever their nesting.

    Slower than a decoder; for an array that a decoder refuses for the nesting of one element.
    Raises ``msgspec.DecodeError`` if the brackets don't match.
    """
    elements: list[bytes] = []
    depth = start = end = 0
    for token in _JSON_TOKEN.finditer(data):
        mark = token[0]
        if depth == 1 and mark in (b",", b"]"):
            elements.append(data[start : token.start()].strip())
            start = token.end()
        if mark in (b"[", b"{"):
            depth += 1
            if depth == 1:
                if mark == b"{" or data[: token.start()].strip():
                    break
                start = token.end()
        elif mark in (b"]", b"}"):
            depth -= 1
            end = token.end()
        if depth <= 0:
            break
    if depth or not end or data[end:].strip():
        raise msgspec.DecodeError("the JSON is not an array")
    return [] if elements == [b""] else elements
