"""Names, compression and checks of segments."""

from __future__ import annotations

import hashlib

import zstandard

from clementinepin.storage.exceptions import SegmentLostError

DIGEST_BYTES = 20
COMPRESSION_LEVEL = 3
SEGMENT_MAX_BYTES = 64_000_000


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
