from __future__ import annotations

import contextlib
import struct

import msgspec
import pytest
import xxhash
import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.const import PREFIX_SEGMENTS
from clementinepin.helpers.rows import encode_row
from clementinepin.storage._codec import (
    FILE_HEADER,
    FILE_MAGIC,
    decode_file,
    decompress,
    encode_file,
    name_segment,
)
from clementinepin.storage._directory import PREFIX_HOLDERS
from clementinepin.storage._repair import RECLAIM_GRACE_S, RECLAIM_PAGE_ROWS, RECLAIM_PAUSE_S
from clementinepin.storage._store import KEEP_S
from clementinepin.storage._transfers import METHOD_GET, METHOD_PUT
from clementinepin.storage.exceptions import SegmentLostError
from clementinepin.tables import HolderRow, SegmentRow
from tests.storage.test_store import BULK

DEEP = b"\x91" * 100_000
ODD_VALUES = [DEEP, b"", b"\xff", msgspec.msgpack.encode({"folder_id": 7, "size_bytes": "x"})]


def _claim_size(size):
    """Return a frame whose header claims this size."""
    return b"\x28\xb5\x2f\xfd\xe0" + struct.pack("<Q", size) + b"\x01\x00\x00"


# The decompressor reserves the size in the header of a frame, whatever its limit: MemoryError.
@pytest.mark.parametrize("frame", [_claim_size(1 << 50), _claim_size(1 << 63), b"", b"\x28\xb5"])
def test_frame_that_claims_a_huge_size_is_lost(frame):
    with pytest.raises(SegmentLostError):
        decompress("n", frame)


def _build_file(metadata, frame=b""):
    payload = metadata + frame
    checksum = xxhash.xxh3_64_intdigest(payload)
    return FILE_HEADER.pack(FILE_MAGIC, checksum, len(metadata)) + payload


@pytest.mark.parametrize("metadata", [DEEP, b"", b"\xff", msgspec.msgpack.encode([[1], "x"])])
def test_file_with_odd_metadata_is_lost(metadata):
    with pytest.raises(SegmentLostError):
        decode_file("n", _build_file(metadata))


@settings(derandomize=True, max_examples=300)
@given(data=st.binary(max_size=60))
def test_any_file_or_frame_is_read_or_lost(data):
    for content in (data, _build_file(data), _build_file(data, data)):
        with contextlib.suppress(SegmentLostError):
            assert decode_file("n", encode_file(decode_file("n", content)))
    for frame in (data, b"\x28\xb5\x2f\xfd" + data, zstandard.compress(data)[:-1] + data[:1]):
        with contextlib.suppress(SegmentLostError):
            decompress("n", frame)


ODD_REPLIES = [
    {},
    {"found": True},
    {"found": True, "data": "text", "size_bytes": 10**6},
    {"found": True, "data": b"x", "size_bytes": "x"},
    {"found": True, "data": 7, "size_bytes": 7},
    {"found": True, "data": b"x" * 10**6, "size_bytes": 2**63},
    {"found": True, "data": _claim_size(1 << 50), "size_bytes": 1},
]


# An odd reply raised KeyError or TypeError, which kept the reader from the intact copies.
@pytest.mark.parametrize("reply", ODD_REPLIES)
def test_odd_copy_of_a_peer_does_not_hide_the_intact_ones(cluster, clock, reply):
    name = cluster.nodes["a"].store.write(BULK)
    with_copy = cluster.find_holders(name)
    reader = next(n for key, n in cluster.nodes.items() if key not in with_copy).store
    for folder_id in reader._records.load(name).row.holders[:2]:
        holder = reader._directory.find(folder_id).instance
        cluster.network.handlers[holder][METHOD_GET] = lambda sender, message: reply
    assert reader.read(name) == BULK


@pytest.mark.parametrize(
    "change",
    [
        {"offset": "x"},
        {"data": "text"},
        {"holders": [7]},
        {"keep_until": "x"},
        {"size_bytes": None},
    ],
)
def test_odd_copy_is_not_accepted(cluster, change):
    frame = zstandard.compress(b"x")
    name = name_segment(b"x")
    own = cluster.nodes["a"].store._folder.folder_id
    message = {
        "name": name,
        "folder_id": own,
        "offset": 0,
        "size_bytes": len(frame),
        "holders": [own],
        "keep_until": 1.0,
        "data": frame,
    }
    put = cluster.network.handlers["a"][METHOD_PUT]
    with contextlib.suppress(Exception):
        assert put("b", message | change) == {"accepted": False}
    assert name not in cluster.nodes["a"].store._folder.held
    assert put("b", message) == {"accepted": True}


# One odd row of the directory of folders kept all instances from writing copies.
def test_odd_holder_rows_do_not_hide_the_others(cluster, key_value, clock):
    for n, value in enumerate(ODD_VALUES):
        key_value.put(f"{PREFIX_HOLDERS}0{n}", value, expected=0)
    row = HolderRow("f", "z", "dc9", 10**9, float("inf"))
    key_value.put(f"{PREFIX_HOLDERS}05", encode_row(row), expected=0)
    for node in cluster.nodes.values():
        node.store._directory.refresh()
    name = cluster.nodes["a"].store.write(BULK)
    assert len(cluster.find_holders(name)) == 3


def test_odd_segment_records_do_not_stop_reclaim_and_repair(cluster, key_value, clock):
    for n in range(RECLAIM_PAGE_ROWS):
        value = ODD_VALUES[n % len(ODD_VALUES)]
        key_value.put(f"{PREFIX_SEGMENTS}00{n:02d}", value, expected=0)
    name = cluster.nodes["a"].store.write(b"small" * 100)
    with pytest.raises(SegmentLostError):
        cluster.nodes["a"].store.read("0000")
    clock.advance(KEEP_S + RECLAIM_GRACE_S + 1)
    cluster.advance(RECLAIM_PAUSE_S, rounds=100)
    assert key_value.get(PREFIX_SEGMENTS + name) is None
    assert len(key_value.list_range(PREFIX_SEGMENTS)) == RECLAIM_PAGE_ROWS


# The first names of the damaged copies were tried again in each step, and no other was healed.
def test_odd_records_of_damaged_copies_do_not_stop_healing(cluster, key_value, clock):
    names = [cluster.nodes["a"].store.write(bytes([n]) + BULK[:200_000]) for n in range(6)]
    node = next(n for n in cluster.nodes.values() if len(n.store._folder.held) >= 5)
    held = sorted(node.store._folder.held)
    for name in held[:4]:
        version = key_value.get(PREFIX_SEGMENTS + name).version
        key_value.put(PREFIX_SEGMENTS + name, DEEP, expected=version)
    for name in held:
        node.disk.flip_bit(name)
        with contextlib.suppress(SegmentLostError):
            node.store._folder.read(name)
    for _ in range(4):
        node.maintain()
    assert set(held[4:]) <= set(node.store._folder.held)
    assert not node.store._folder.damaged
    assert names


@settings(derandomize=True, max_examples=200)
@given(row=st.builds(SegmentRow, st.integers(0, 9), st.floats(0, 9), st.binary(max_size=9)))
def test_any_inline_frame_is_read_or_lost(row):
    with contextlib.suppress(SegmentLostError):
        decompress("n", row.inline)
