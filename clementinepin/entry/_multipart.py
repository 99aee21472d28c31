"""Streaming reader of ``multipart/form-data`` uploads with bounded memory."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Final, NamedTuple

from clementinepin.entry.exceptions import MultipartInvalidError

BOUNDARY_PATTERN: Final = re.compile(r'boundary=(?:"([^"]{1,70})"|([^\s;"]{1,70}))', re.IGNORECASE)
PARAM_PATTERN: Final = re.compile(r'(\w+\*?)=(?:"((?:[^"\\]|\\.)*)"|([^\s;]+))')
PART_HEADERS_MAX_BYTES: Final = 8_192
FIELD_MAX_BYTES: Final = 65_536
PARTS_MAX: Final = 32
HEADERS_END: Final = b"\r\n\r\n"


class Part(NamedTuple):
    """Name and file name of a part. ``filename`` is None for a plain field."""

    name: str
    filename: str | None


class MultipartReader:
    """Reads the parts in order. The content of a part must be read before the next part.

    All methods raise MultipartInvalidError if the form is malformed or too large.
    """

    def __init__(self, content_type: str, pieces: Iterator[bytes]) -> None:
        match = BOUNDARY_PATTERN.search(content_type)
        if not content_type.lower().startswith("multipart/form-data") or match is None:
            raise MultipartInvalidError("the body must be multipart/form-data with a boundary")
        boundary = match[1] or match[2]
        self._marker = b"\r\n--" + boundary.encode("latin-1", "replace")
        self._pieces = pieces
        # The marker starts with a line break, which the first boundary does not need.
        self._buffer = b"\r\n"
        self._parts = 0

    def next_part(self) -> Part | None:
        """Return the next part, or None after the last one."""
        if self._parts == 0:
            for _ in self.iter_content():
                raise MultipartInvalidError("the body must start with the boundary")
        self._parts += 1
        if self._parts > PARTS_MAX:
            raise MultipartInvalidError(f"the form has more than {PARTS_MAX} parts")
        self._fill(2)
        ending, self._buffer = self._buffer[:2], self._buffer[2:]
        if ending == b"--":
            return None
        if ending != b"\r\n":
            raise MultipartInvalidError("a boundary is malformed")
        return _parse_headers(self._read_headers())

    def iter_content(self) -> Iterator[bytes]:
        """Yield the content of the current part up to its boundary."""
        # The buffer may end with a part of the boundary, so this many bytes are held back.
        tail_size = len(self._marker) - 1
        while True:
            marker_at = self._buffer.find(self._marker)
            if marker_at >= 0:
                content = self._buffer[:marker_at]
                self._buffer = self._buffer[marker_at + len(self._marker) :]
                if content:
                    yield content
                return
            if len(self._buffer) > tail_size:
                content = self._buffer[:-tail_size]
                self._buffer = self._buffer[-tail_size:]
                yield content
            self._read_more()

    def read_field(self) -> str:
        """Return the content of a field of at most FIELD_MAX_BYTES as text."""
        size = 0
        pieces: list[bytes] = []
        for piece in self.iter_content():
            size += len(piece)
            if size > FIELD_MAX_BYTES:
                raise MultipartInvalidError(f"a form field is larger than {FIELD_MAX_BYTES} bytes")
            pieces.append(piece)
        try:
            return b"".join(pieces).decode("utf-8")
        except UnicodeDecodeError as err:
            raise MultipartInvalidError("a form field is not UTF-8") from err

    def _read_headers(self) -> bytes:
        while HEADERS_END not in self._buffer:
            if len(self._buffer) > PART_HEADERS_MAX_BYTES:
                raise MultipartInvalidError("the headers of a part are too large")
            self._read_more()
        head, _, self._buffer = self._buffer.partition(HEADERS_END)
        if len(head) > PART_HEADERS_MAX_BYTES:
            raise MultipartInvalidError("the headers of a part are too large")
        return head

    def _fill(self, size: int) -> None:
        while len(self._buffer) < size:
            self._read_more()

    def _read_more(self) -> None:
        piece = next(self._pieces, b"")
        if not piece:
            raise MultipartInvalidError("the form ends before its closing boundary")
        self._buffer += piece


def _parse_headers(head: bytes) -> Part:
    """Return the part that a header section describes."""
    for line in head.decode("utf-8", "replace").split("\r\n"):
        name, _, value = line.partition(":")
        if name.strip().lower() != "content-disposition":
            continue
        params = {key.lower(): quoted or bare for key, quoted, bare in PARAM_PATTERN.findall(value)}
        if "name" not in params:
            break
        return Part(params["name"], params.get("filename"))
    raise MultipartInvalidError("a part has no name")
