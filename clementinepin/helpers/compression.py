"""Decompression of bytes that another process wrote, in bounded memory."""

from __future__ import annotations

import msgspec
import zstandard


def decompress_frame(frame: bytes, size_max: int) -> bytes:
    """Return the data of a Zstandard frame; raises ``msgspec.DecodeError`` if it is damaged.

    The decompressor reserves the size that the frame's header claims, whatever its own limit.
    """
    try:
        if zstandard.frame_content_size(frame) > size_max:
            raise msgspec.DecodeError(f"the frame claims more than {size_max} bytes")
        return zstandard.ZstdDecompressor().decompress(frame, max_output_size=size_max)
    except zstandard.ZstdError as err:
        raise msgspec.DecodeError(f"the frame is damaged: {err}") from err
