"""Reads requests and encodes bodies, for the engines of the soak."""

from __future__ import annotations

from typing import Any

READ_SIZE_BYTES = 65_536


def encode_chunk(data: bytes) -> bytes:
    """Return the data as one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def read_head(sock: Any) -> tuple[dict[str, str], bytes] | None:
    """Return lower-case headers, with ":path", and the start of the body of the next request.

    Return None at the end of the connection.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(READ_SIZE_BYTES)
        if not piece:
            return None
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    headers[":path"] = first.split(" ")[1]
    return headers, body


def get_length(headers: dict[str, str]) -> int:
    """Return the length of the body in bytes."""
    return int(headers.get("content-length", "0"))


def read_body(sock: Any, size: int) -> bool:
    """Read the rest of a body; return whether it is whole."""
    while size > 0:
        piece = sock.recv(READ_SIZE_BYTES)
        if not piece:
            return False
        size -= len(piece)
    return True
