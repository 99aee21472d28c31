"""Messages of the etcd v3 JSON gateway. 64-bit integers travel as strings."""

from __future__ import annotations

import base64
import secrets
from typing import Any

import msgspec

from clementinepin.infrastructure.models import KeyValue

OPERATION_ID_BYTES = 8


class Header(msgspec.Struct, frozen=True):
    """Header of each answer."""

    revision: int = 0


class Row(msgspec.Struct, frozen=True):
    """A stored row; bytes travel in base64."""

    key: bytes
    value: bytes = b""
    mod_revision: int = 0


class RangeAnswer(msgspec.Struct, frozen=True):
    """Answer of a range call, or of the failure branch of a transaction."""

    header: Header = Header()
    kvs: list[Row] = []


class TxnPart(msgspec.Struct, frozen=True):
    """One response inside a transaction's answer."""

    response_range: RangeAnswer | None = None


class TxnAnswer(msgspec.Struct, frozen=True):
    """Answer of a transaction."""

    header: Header = Header()
    succeeded: bool = False
    responses: list[TxnPart] = []


class LeaseAnswer(msgspec.Struct, frozen=True):
    """Answer of a lease call; TTL 0 means that the lease is gone."""

    ID: int = 0
    TTL: int = 0


class KeepAnswer(msgspec.Struct, frozen=True):
    """Answer of a keepalive call."""

    result: LeaseAnswer = LeaseAnswer()


class Event(msgspec.Struct, frozen=True):
    """A change; the type is left out for a write."""

    kv: Row
    type: str = "PUT"


class WatchResult(msgspec.Struct, frozen=True):
    """One line of a watch."""

    header: Header = Header()
    events: list[Event] = []
    canceled: bool = False
    compact_revision: int = 0


class WatchLine(msgspec.Struct, frozen=True):
    """The envelope of a watch's line."""

    result: WatchResult = WatchResult()


def encode_text(text: str) -> str:
    """Return a key in base64."""
    return base64.b64encode(text.encode()).decode()


def encode_prefix_end(prefix: str) -> str:
    """Return the base64 of the first key behind a prefix; a zero byte means no bound."""
    if not prefix:
        return base64.b64encode(b"\x00").decode()
    return encode_text(prefix[:-1] + chr(ord(prefix[-1]) + 1))


def create_operation_id() -> bytes:
    """Return bytes that mark one write, even between processes with equal seeds."""
    return secrets.token_bytes(OPERATION_ID_BYTES)


def split_value(stored: bytes) -> tuple[bytes, bytes]:
    """Return the caller's value and the operation id behind it."""
    return stored[:-OPERATION_ID_BYTES], stored[-OPERATION_ID_BYTES:]


def build_txn(key: str, expected: int | None, change: dict[str, Any]) -> bytes:
    """Return a transaction: one compare, one change, and a read of the key if it loses."""
    compare = []
    if expected is not None:
        compare.append(
            {
                "result": "EQUAL",
                "target": "MOD",
                "key": encode_text(key),
                "mod_revision": str(expected),
            }
        )
    failure = [{"request_range": {"key": encode_text(key)}}]
    message = {"compare": compare, "success": [change], "failure": failure}
    return msgspec.json.encode(message)


def build_range(prefix: str, after: str, limit: int) -> bytes:
    """Return a range call over a prefix, behind a key."""
    start = max(prefix, after + "\x00") if after else prefix
    message = {
        "key": encode_text(start),
        "range_end": encode_prefix_end(prefix),
        "limit": str(limit),
    }
    return msgspec.json.encode(message)


def build_watch(prefix: str, after_version: int) -> bytes:
    """Return a watch call for changes behind a version."""
    request = {
        "key": encode_text(prefix),
        "range_end": encode_prefix_end(prefix),
        "start_revision": str(after_version + 1),
        "progress_notify": True,
    }
    return msgspec.json.encode({"create_request": request})


def read_row(row: Row) -> KeyValue:
    """Return a row without its operation id."""
    return KeyValue(row.key.decode(), split_value(row.value)[0], row.mod_revision)


def find_current(answer: TxnAnswer) -> Row | None:
    """Return the row that stood when a transaction lost."""
    for part in answer.responses:
        if part.response_range is not None and part.response_range.kvs:
            return part.response_range.kvs[0]
    return None
