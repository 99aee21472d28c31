"""Parse TOML that an operator wrote."""

from __future__ import annotations

import tomllib
from typing import Any

import msgspec

from clementinepin.helpers.decoding import guard_decoder

_load = guard_decoder(tomllib.loads)


def parse_toml(content: bytes) -> dict[str, Any]:
    """Return a TOML document; raise msgspec.DecodeError, which says what was expected instead.

    The parser raises other errors for nesting and numbers beyond the limits of Python.
    """
    try:
        return _load(content.decode("utf-8"))
    except UnicodeDecodeError as err:
        expected = f"UTF-8 text, but byte {err.start} is invalid"
        raise msgspec.DecodeError(expected) from err
    except msgspec.DecodeError as err:
        cause = err.__cause__
        reason = str(cause if isinstance(cause, tomllib.TOMLDecodeError) else err)
        raise msgspec.DecodeError(f"valid TOML: {reason}") from err
