"""Parses batch input: JSON Lines in the batch format of callers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from clementinepin.batch.exceptions import InvalidLineError
from clementinepin.helpers.decoding import check_nesting, make_json_decoder

LINE_MAX_BYTES = 1_000_000
CUSTOM_ID_MAX_CHARS = 512
ENDPOINTS = ("/v1/completions", "/v1/chat/completions")


class InputLine(msgspec.Struct, frozen=True):
    """One item as the caller wrote it."""

    custom_id: str
    method: str
    url: str
    body: dict[str, Any]


_decode_line: Callable[[bytes], InputLine] = make_json_decoder(InputLine)


def split_lines(chunks: Iterable[bytes]) -> Iterator[bytes]:
    """Yield lines without their line breaks, in bounded memory; skip an empty last line.

    Raises InvalidLineError if a line exceeds ``LINE_MAX_BYTES``.
    """
    incomplete_line = b""
    number = 0
    for chunk in chunks:
        lines = (incomplete_line + chunk).split(b"\n")
        incomplete_line = lines.pop()
        for line in lines:
            number += 1
            yield _check_length(line, number)
        _check_length(incomplete_line, number + 1)
    if incomplete_line:
        yield incomplete_line


def parse_line(line: bytes, number: int) -> InputLine:
    """Return the item of a line. Raise InvalidLineError if it is malformed."""
    try:
        item = _decode_line(line)
        check_nesting(item.body)
    except msgspec.DecodeError as err:
        raise InvalidLineError(number, str(err)) from err
    _check_item(item, number)
    return item


def read_model(item: InputLine, number: int) -> str:
    """Return the model that an item names. Raise InvalidLineError if there is none."""
    model = item.body.get("model")
    if not isinstance(model, str) or not model:
        raise InvalidLineError(number, "body.model must be a string")
    return model


def _check_item(item: InputLine, number: int) -> None:
    if not 0 < len(item.custom_id) <= CUSTOM_ID_MAX_CHARS:
        raise InvalidLineError(number, f"custom_id must have 1 to {CUSTOM_ID_MAX_CHARS} characters")
    if item.method != "POST":
        raise InvalidLineError(number, "method must be POST")
    if item.url not in ENDPOINTS:
        raise InvalidLineError(number, f"url must be one of {', '.join(ENDPOINTS)}")


def _check_length(line: bytes, number: int) -> bytes:
    """Return the line without a trailing CR. Raise InvalidLineError if it is too long."""
    if len(line) > LINE_MAX_BYTES:
        raise InvalidLineError(number, f"line exceeds {LINE_MAX_BYTES} bytes")
    return line.removesuffix(b"\r")
