"""Encode a configuration as immutable parts named by digest, and back.

Rows are spread over buckets by a hash of their name. A change of one row then rewrites
one bucket, and peers fetch that bucket alone.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec
import xxhash
import zstandard

from clementinepin.config._schema import SCHEMAS, TABLES, build_row
from clementinepin.config.exceptions import ConfigurationPartError
from clementinepin.config.models import Configuration

ROWS_PER_BUCKET = 100
PART_MAX_BYTES = 8_000_000
_DIGEST_BYTES = 16
_LEVEL = 3


class Part(NamedTuple):
    """Decoded rows of one part by name; a table that this release does not know has none."""

    table: str
    rows: dict[str, Any]


def digest_bytes(data: bytes) -> str:
    """Return the name of a part: a 128-bit digest in hexadecimal."""
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def encode_parts(configuration: Configuration) -> dict[str, bytes]:
    """Return compressed parts by digest; equal rows give equal parts."""
    parts: dict[str, bytes] = {}
    for table in TABLES:
        rows = getattr(configuration, table)
        for bucket in _split_rows(rows):
            data = _encode_bucket(table, bucket)
            parts[digest_bytes(data)] = data
    return parts


def summarize_parts(digests: Iterable[str]) -> str:
    """Return the digest of a whole configuration."""
    return digest_bytes("\n".join(sorted(digests)).encode())


def decode_part(digest: str, data: bytes) -> Part:
    """Return the rows of one part; raises ConfigurationPartError on a damaged one."""
    check_part(digest, data)
    table, entries = _decode_bucket(digest, data)
    if table not in SCHEMAS:
        return Part(table, {})
    return Part(table, {name: build_row(table, name, row) for name, row in entries.items()})


def merge_parts(revision: int, parts: Mapping[str, Part]) -> Configuration:
    """Return the configuration that decoded parts make up."""
    rows: dict[str, dict[str, Any]] = {table: {} for table in TABLES}
    for part in parts.values():
        rows.setdefault(part.table, {}).update(part.rows)
    tables = {table: rows[table] for table in TABLES}
    return Configuration(revision=revision, digest=summarize_parts(parts), **tables)


def check_part(digest: str, data: bytes) -> None:
    """Raise ConfigurationPartError unless the data has the digest."""
    if digest_bytes(data) != digest:
        raise ConfigurationPartError(f"part {digest} is damaged")


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
    plain = msgspec.msgpack.encode({"table": table, "rows": entries})
    return zstandard.ZstdCompressor(level=_LEVEL).compress(plain)


def _encode_row(row: Any) -> dict[str, Any]:
    values = row._asdict()
    del values["name"]
    if "non_idempotent" in values:
        values["non_idempotent"] = [rule._asdict() for rule in values["non_idempotent"]]
    return values


def _decode_bucket(digest: str, data: bytes) -> tuple[str, dict[str, Any]]:
    try:
        plain = zstandard.ZstdDecompressor().decompress(data, max_output_size=PART_MAX_BYTES)
        bucket = msgspec.msgpack.decode(plain)
        return bucket["table"], bucket["rows"]
    except (zstandard.ZstdError, msgspec.DecodeError, KeyError, TypeError) as err:
        raise ConfigurationPartError(f"part {digest} can't be decoded") from err
