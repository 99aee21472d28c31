"""Names, compression and verification of segments, and the format of segment files.

A frame is the compressed data of a segment.
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import xxhash
import zstandard

from clementinepin.helpers.compression import decompress_frame
from clementinepin.helpers.decoding import make_msgpack_decoder
from clementinepin.storage.exceptions import SegmentLostError

DIGEST_BYTES = 20
COMPRESSION_LEVEL = 3
SEGMENT_MAX_BYTES = 64_000_000
FILE_MAGIC = b"CPS1"
FILE_HEADER = struct.Struct(">4sQI")


_decode_metadata: Callable[[bytes], tuple[tuple[str, ...], float]] = make_msgpack_decoder(
    tuple[tuple[str, ...], float]
)


class StoredFile(NamedTuple):
    """Content of a segment file.

    ``holders`` are the ids of the folders that had a copy when the file was written;
    ``keep_until`` is in wall-clock seconds.
    """

    frame: bytes
    holders: tuple[str, ...]
    keep_until: float


def name_segment(data: bytes) -> str:
    """Return the name of a segment: the digest of its data in hex."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def compress(data: bytes) -> bytes:
    """Return the compressed data as a frame."""
    return zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(data)


def decompress(name: str, frame: bytes) -> bytes:
    """Return the data of a frame.

    Raise SegmentLostError if it can't be decompressed or its digest differs from the name.
    """
    try:
        data = decompress_frame(frame, SEGMENT_MAX_BYTES)
    except msgspec.DecodeError as err:
        raise SegmentLostError(name) from err
    if name_segment(data) != name:
        raise SegmentLostError(name)
    return data


def encode_file(stored: StoredFile) -> bytes:
    """Return the encoded file: header (magic, checksum, metadata length), metadata and frame.

    The checksum covers metadata and frame.
    """
    metadata = msgspec.msgpack.encode((stored.holders, stored.keep_until))
    payload = metadata + stored.frame
    return FILE_HEADER.pack(FILE_MAGIC, xxhash.xxh3_64_intdigest(payload), len(metadata)) + payload


def decode_file(name: str, content: bytes) -> StoredFile:
    """Return the content of an encoded file; ``name`` is the segment's, for the error.

    Raise SegmentLostError if the file is truncated, its checksum differs or it has other metadata.
    """
    if len(content) < FILE_HEADER.size:
        raise SegmentLostError(name)
    magic, checksum, metadata_bytes = FILE_HEADER.unpack_from(content)
    payload = content[FILE_HEADER.size :]
    if magic != FILE_MAGIC or xxhash.xxh3_64_intdigest(payload) != checksum:
        raise SegmentLostError(name)
    try:
        holders, keep_until = _decode_metadata(payload[:metadata_bytes])
    except msgspec.DecodeError as err:
        raise SegmentLostError(name) from err
    return StoredFile(payload[metadata_bytes:], holders, keep_until)
