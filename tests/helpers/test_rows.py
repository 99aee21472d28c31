from __future__ import annotations

import contextlib
from typing import NamedTuple

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.exceptions import Outcome
from clementinepin.helpers.rows import RowUnreadableError, decode_row, encode_row, read_row


class Row(NamedTuple):
    name: str
    at: float
    parts: tuple[str, ...] = ()


ROW = Row("a", 1.0, ("x",))
FIELDS = ROW._asdict()


def test_rows_of_other_releases_are_read():
    assert decode_row(encode_row(ROW), Row) == ROW
    assert decode_row(msgspec.msgpack.encode({**FIELDS, "new": 1}), Row) == ROW
    assert decode_row(msgspec.msgpack.encode({"name": "a", "at": 1}), Row) == Row("a", 1.0)


@pytest.mark.parametrize(
    "data",
    [
        b"\x91" * 100_000,
        b"",
        b"\xff",
        b"\xa2\xff\xff",
        msgspec.msgpack.encode({"name": "a"}),
        msgspec.msgpack.encode({**FIELDS, "name": 7}),
        msgspec.msgpack.encode({**FIELDS, "at": float("inf")}),
        msgspec.msgpack.encode({**FIELDS, "at": float("nan")}),
        msgspec.msgpack.encode(["a", 1.0]),
        msgspec.msgpack.encode("name"),
        msgspec.msgpack.encode(None),
    ],
)
def test_odd_row_is_a_documented_error_that_proves_nothing(data):
    with pytest.raises(RowUnreadableError) as caught:
        decode_row(data, Row)
    assert caught.value.outcome is Outcome.OUTCOME_UNKNOWN
    assert read_row("rows/a", data, Row) is None


@settings(derandomize=True, max_examples=300)
@given(
    data=st.binary(max_size=40)
    | st.dictionaries(
        st.sampled_from(list(FIELDS)),
        st.none()
        | st.integers(0, 9)
        | st.floats()
        | st.text(max_size=3)
        | st.lists(st.text(max_size=2), max_size=2),
    ).map(msgspec.msgpack.encode)
)
def test_any_bytes_give_a_row_or_the_documented_error(data):
    with contextlib.suppress(RowUnreadableError):
        row = decode_row(data, Row)
        assert decode_row(encode_row(row), Row) == row
