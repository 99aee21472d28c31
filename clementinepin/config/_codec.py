"""Encode a configuration as immutable parts that are named by their digest, and decode them.

Rows of a table are distributed over buckets by a hash of their name, and each bucket becomes one
part. If one row changes, only its part changes, and peers fetch only that part.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple, TypedDict

import msgspec
import xxhash
import zstandard

from clementinepin.config._schema import SCHEMAS, TABLES, build_row
from clementinepin.config.exceptions import ConfigurationPartError
from clementinepin.config.models import Configuration
from clementinepin.helpers.compression import decompress_frame
from clementinepin.helpers.decoding import guard_decoder, make_msgpack_decoder

ROWS_PER_BUCKET = 100
PART_MAX_BYTES = 8_000_000
_DIGEST_BYTES = 16
_ZSTD_LEVEL = 3


class _Bucket(TypedDict):
    table: str
    rows: dict[str, dict[str, Any]]


_decode_bucket: Callable[[bytes], _Bucket] = make_msgpack_decoder(_Bucket)


class Part(NamedTuple):
    """Decoded rows of one part by name; empty if this release does not know the table."""

    table: str
    rows: dict[str, Any]


def digest_bytes(data: bytes) -> str:
    """Return the 128-bit BLAKE2b digest in hexadecimal, which names a part."""
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def encode_parts(configuration: Configuration) -> dict[str, bytes]:
    """Return the compressed parts by digest; the same rows always give the same parts."""
    parts: dict[str, bytes] = {}
    for table in TABLES:
        rows = getattr(configuration, table)
        for bucket in _split_rows(rows):
            data = _encode_bucket(table, bucket)
            parts[digest_bytes(data)] = data
    return parts


def digest_parts(digests: Iterable[str]) -> str:
    """Return the digest of a whole configuration from the digests of its parts."""
    return digest_bytes("\n".join(sorted(digests)).encode())


def decode_part(digest: str, data: bytes) -> Part:
    """Return the rows of one part; raise ConfigurationPartError if it is damaged."""
    check_part(digest, data)
    try:
        return _decode_rows(data)
    except msgspec.DecodeError as err:
        raise ConfigurationPartError(f"part {digest} cannot be decoded: {err}") from err


@guard_decoder
def _decode_rows(data: bytes) -> Part:
    bucket = _decode_bucket(decompress_frame(data, PART_MAX_BYTES))
    table = bucket["table"]
    if table not in SCHEMAS:
        return Part(table, {})
    return Part(table, {name: build_row(table, name, row) for name, row in bucket["rows"].items()})


def merge_parts(revision: int, parts: Mapping[str, Part]) -> Configuration:
    """Return the configuration made of all decoded parts; ``parts`` is keyed by digest."""
    rows: dict[str, dict[str, Any]] = {table: {} for table in TABLES}
    for part in parts.values():
        rows.setdefault(part.table, {}).update(part.rows)
    tables = {table: rows[table] for table in TABLES}
    return Configuration(revision=revision, digest=digest_parts(parts), **tables)


def check_part(digest: str, data: bytes) -> None:
    """Raise ConfigurationPartError unless the data has the digest."""
    if digest_bytes(data) != digest:
        raise ConfigurationPartError(f"part {digest} does not match its digest")


def _split_rows(rows: Mapping[str, Any]) -> list[dict[str, Any]]:
    count = 1
    while count * ROWS_PER_BUCKET < len(rows):
        count *= 2
    buckets: list[dict[str, Any]] = [{} for _ in range(count)]
    for name in sorted(rows):
        buckets[xxhash.xxh3_64_intdigest(name.encode()) % count][name] = rows[name]
    return [bucket for bucket in buckets if bucket]


def _encode_bucket(table: str, bucket: Mapping[str, Any]) -> bytes:
    entries = {name: _encode_row(row) for name, row in bucket.items()}
    packed = msgspec.msgpack.encode({"table": table, "rows": entries})
    return zstandard.ZstdCompressor(level=_ZSTD_LEVEL).compress(packed)


def _encode_row(row: Any) -> dict[str, Any]:
    values = row._asdict()
    del values["name"]
    if "non_idempotent" in values:
        values["non_idempotent"] = [rule._asdict() for rule in values["non_idempotent"]]
    return values
