from __future__ import annotations

import contextlib
import struct

import msgspec
import pytest
import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.config import (
    ConfigurationInvalidError,
    ConfigurationPartError,
    SettingsInvalidError,
    decode_part,
    load_files,
    load_settings,
)
from clementinepin.config._codec import digest_bytes
from clementinepin.config._schema import TABLES

DEEP = b"\x91" * 100_000
ODD_TOML = [
    b"a = " + b"[" * 5_000,
    b"a = " + b"{b=" * 5_000,
    b"version = " + b"9" * 5_000,
    b"version = 0x" + b"f" * 5_000,
    b"version = 1\n[services.a]\nslots = 1" + b"0" * 400,
    b"version = 1\n[services.a]\nweight = nan",
    b"version = 1\n[services.a]\nweight = inf",
    b"\xff",
    b"\0",
    b"version = 1979-99-99",
]


# Nesting and numbers beyond Python's limits raised RecursionError and ValueError: the operator got
# an internal error.
@pytest.mark.parametrize("content", ODD_TOML)
def test_odd_file_is_invalid(content, tmp_path):
    with pytest.raises(ConfigurationInvalidError):
        load_files({"a.toml": content})
    path = tmp_path / "settings.toml"
    path.write_bytes(content)
    with pytest.raises(SettingsInvalidError):
        load_settings(path)


def _pack(value):
    return zstandard.compress(msgspec.msgpack.encode(value))


@pytest.mark.parametrize(
    "data",
    [
        b"\x28\xb5\x2f\xfd\xe0" + struct.pack("<Q", 1 << 50) + b"\x01\x00\x00",
        zstandard.compress(DEEP),
        zstandard.compress(b""),
        b"",
        _pack(7),
        _pack({"table": 7, "rows": {}}),
        _pack({"table": [], "rows": {}}),
        _pack({"table": "models"}),
        _pack({"table": "models", "rows": 7}),
        _pack({"table": "models", "rows": {"a": 7}}),
        _pack({"table": "models", "rows": {"a": {}}}),
        _pack({"table": "services", "rows": {"a": {"non_idempotent": 7}}}),
    ],
)
def test_odd_part_is_a_part_error(data):
    with pytest.raises(ConfigurationPartError):
        decode_part(digest_bytes(data), data)


@settings(derandomize=True, max_examples=200)
@given(content=st.binary(max_size=40) | st.text("[]{}=.\"'a1\n-:_x", max_size=40).map(str.encode))
def test_any_file_is_loaded_or_invalid(content):
    with contextlib.suppress(ConfigurationInvalidError):
        load_files({"a.toml": content})


VALUES = st.recursive(
    st.none() | st.integers(0, 9) | st.floats() | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=4,
)


@settings(derandomize=True, max_examples=200)
@given(
    data=st.binary(max_size=40)
    | st.binary(max_size=40).map(zstandard.compress)
    | st.fixed_dictionaries({"table": st.sampled_from(TABLES), "rows": VALUES}).map(_pack)
)
def test_any_part_is_decoded_or_a_part_error(data):
    with contextlib.suppress(ConfigurationPartError):
        decode_part(digest_bytes(data), data)
