from __future__ import annotations

import base64
import contextlib
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.helpers.decoding import (
    NESTING_MAX,
    REASON_MAX_CHARS,
    check_nesting,
    guard_decoder,
    make_json_decoder,
    make_msgpack_decoder,
    split_json_array,
)

DEPTH = 100_000


class Row(msgspec.Struct):
    name: str = ""
    port: int = 0
    extra: dict[str, Any] = {}
    raw: msgspec.Raw = msgspec.Raw()


KINDS = [Any, Row, list[msgspec.Raw], dict[str, Any]]
ODD_JSON = [b"[" * DEPTH, b'{"extra":' * DEPTH, b"9" * 5000, b'{"port":1e999}', b'"\\ud800"', b""]
ODD_MSGPACK = [b"\x91" * DEPTH, b"\x81\xa1a" * DEPTH, b"\xdd\xff\xff\xff\xff", b"\xa2\xff\xff", b""]


# Nesting too deep for the parser ended what called it: RecursionError is no error of msgspec.
@pytest.mark.parametrize(
    ("make", "data"),
    [(make_json_decoder, b"[" * DEPTH), (make_msgpack_decoder, b"\x91" * DEPTH)],
)
def test_deep_nesting_is_a_decode_error_with_its_cause(make, data):
    with pytest.raises(msgspec.DecodeError) as caught:
        make()(data)
    assert isinstance(caught.value.__cause__, RecursionError)


@pytest.mark.parametrize("kind", KINDS)
def test_odd_input_gives_a_value_or_a_decode_error(kind):
    for make, inputs in [(make_json_decoder, ODD_JSON), (make_msgpack_decoder, ODD_MSGPACK)]:
        for data in inputs:
            _decode_any(make(kind), data)


@settings(derandomize=True, max_examples=300)
@given(data=st.binary(max_size=60))
def test_any_bytes_give_a_value_or_a_decode_error(data):
    for kind in KINDS:
        _decode_any(make_json_decoder(kind), data)
        _decode_any(make_msgpack_decoder(kind), data)


@pytest.mark.parametrize(
    "decode",
    [
        lambda: int("9" * 5000),
        lambda: int("\u00b2"),
        lambda: int(float("inf")),
        lambda: base64.b64decode("a"),
        lambda: b"\xff".decode(),
        lambda: {}["port"],
        lambda: bytes("x"),
    ],
)
def test_errors_of_other_parsers_are_decode_errors(decode):
    with pytest.raises(msgspec.DecodeError) as caught:
        guard_decoder(decode)()
    assert caught.value.__cause__ is not None


def test_reasons_are_bounded():
    with pytest.raises(msgspec.DecodeError) as caught:
        guard_decoder(int)("x" * 100_000)
    assert len(str(caught.value)) <= REASON_MAX_CHARS


def test_errors_of_msgspec_pass_as_they_are():
    with pytest.raises(msgspec.ValidationError, match=r"\$\.port"):
        make_json_decoder(Row)(b'{"port": "x"}')


def test_numbers_in_text_are_read_unless_strict():
    assert make_json_decoder(Row, strict=False)(b'{"port": "80"}').port == 80


def test_values_are_returned():
    assert make_json_decoder(dict[str, int])(b'{"a": 1}') == {"a": 1}
    assert make_msgpack_decoder(dict[str, int])(b"\x81\xa1a\x01") == {"a": 1}


def _decode_any(decode, data):
    with contextlib.suppress(msgspec.DecodeError):
        decode(data)


@settings(derandomize=True, max_examples=200)
@given(
    rows=st.lists(
        st.recursive(
            st.none() | st.integers() | st.text(max_size=6),
            lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
            max_leaves=6,
        )
    )
)
def test_split_array_gives_the_elements(rows):
    data = msgspec.json.encode(rows)
    assert [msgspec.json.decode(row) for row in split_json_array(data)] == rows


def test_split_array_gives_the_elements_beside_a_deeply_nested_one():
    deep = b"[" * DEPTH + b"]" * DEPTH
    assert split_json_array(b' [ {"a": "]\\"["} ,' + deep + b", 2 ] ") == [
        b'{"a": "]\\"["}',
        deep,
        b"2",
    ]


@settings(derandomize=True, max_examples=300)
@given(data=st.binary(max_size=30) | st.text('[]{},"\\a 1', max_size=30).map(str.encode))
def test_split_array_gives_elements_or_a_decode_error(data):
    with contextlib.suppress(msgspec.DecodeError):
        assert all(isinstance(element, bytes) for element in split_json_array(data))


@pytest.mark.parametrize(("open_", "close"), [(b"[", b"]"), (b'{"a":', b"1}")])
def test_nesting_is_limited(open_, close):
    decode = make_json_decoder()
    check_nesting(decode(open_ * NESTING_MAX + close[:-1] + close[-1:] * NESTING_MAX))
    deep = decode(open_ * (NESTING_MAX + 1) + close[:-1] + close[-1:] * (NESTING_MAX + 1))
    with pytest.raises(msgspec.DecodeError):
        check_nesting(deep)
    check_nesting("text")
