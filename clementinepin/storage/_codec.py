"""Names, compression and checks of segments, and the form of their files."""

from __future__ import annotations

import hashlib
import struct
from typing import NamedTuple

import msgspec
import xxhash
import zstandard

from clementinepin.storage.exceptions import SegmentLostError

DIGEST_BYTES = 20
COMPRESSION_LEVEL = 3
SEGMENT_MAX_BYTES = 64_000_000
FILE_MAGIC = b"CPS1"
FILE_HEAD = struct.Struct(">4sQI")


class StoredFile(NamedTuple):
    """A segment's file: its frame, and the holders as they were when it was written."""

    frame: bytes
    holders: tuple[str, ...]
    keep_until: float


def name_segment(data: bytes) -> str:
    """Return the digest of the data in hex, which is the segment's name."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def compress(data: bytes) -> bytes:
    """Return a compressed frame."""
    return zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(data)


def decompress(name: str, frame: bytes) -> bytes:
    """Return the data of a frame; raises SegmentLostError unless it is what the name says."""
    try:
        data = zstandard.ZstdDecompressor().decompress(frame, max_output_size=SEGMENT_MAX_BYTES)
    except zstandard.ZstdError as err:
        raise SegmentLostError(name) from err
    if name_segment(data) != name:
        raise SegmentLostError(name)
    return data


def encode_file(stored: StoredFile) -> bytes:
    """Return a file's content: magic, checksum, length of the note, note and frame."""
    note = msgspec.msgpack.encode((stored.holders, stored.keep_until))
    rest = note + stored.frame
    return FILE_HEAD.pack(FILE_MAGIC, xxhash.xxh3_64_intdigest(rest), len(note)) + rest


def decode_file(name: str, content: bytes) -> StoredFile:
    """Return what a file holds; raises SegmentLostError if it is torn or changed."""
    if len(content) < FILE_HEAD.size:
        raise SegmentLostError(name)
    magic, checksum, note_bytes = FILE_HEAD.unpack_from(content)
    rest = content[FILE_HEAD.size :]
    if magic != FILE_MAGIC or xxhash.xxh3_64_intdigest(rest) != checksum:
        raise SegmentLostError(name)
    holders, keep_until = msgspec.msgpack.decode(
        rest[:note_bytes], type=tuple[tuple[str, ...], float]
    )
    return StoredFile(rest[note_bytes:], holders, keep_until)
