"""Keys in the key-value service, digests and the result row of segments."""

from __future__ import annotations

import hashlib
import re
from typing import NamedTuple

import msgspec

from clementinepin.const import PREFIX_FILES, PREFIX_JOBS, PREFIX_SHARDS

PREFIX_ACTIVE = "active/"
PREFIX_PROGRESS = "progress/"
JOB_ID_PREFIX = "batch_"
DIGEST_BYTES = 16


# Ids and account names, which become parts of keys.
NAME_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,64}")
NAME_SHOWN_CHARS = 64


class ResultLine(NamedTuple):
    """A result in a segment: the item's index in its shard and its JSON line."""

    item: int
    line: bytes


def digest_text(*parts: str) -> str:
    """Return a hex digest of the parts; it depends on the boundaries between them."""
    joined = msgspec.msgpack.encode(parts)
    return hashlib.blake2b(joined, digest_size=DIGEST_BYTES).hexdigest()


def name_job(account: str, job_key: str) -> str:
    """Return the id of a job; the same account and key give the same id."""
    return JOB_ID_PREFIX + digest_text(account, job_key)


def is_name(*texts: str) -> bool:
    """Return whether texts of a caller can be ids or account names, and so parts of a key."""
    return all(NAME_PATTERN.fullmatch(text) for text in texts)


def key_file(account: str, file_id: str) -> str:
    """Return the key of a file's record."""
    return f"{PREFIX_FILES}{account}/{file_id}"


def key_job(account: str, job_id: str) -> str:
    """Return the key of a job's record."""
    return f"{PREFIX_JOBS}{account}/{job_id.removeprefix(JOB_ID_PREFIX)}"


def key_active(job_id: str) -> str:
    """Return the key of a job's index entry, which exists until the job ends."""
    return f"{PREFIX_ACTIVE}{job_id}"


def key_progress(job_id: str) -> str:
    """Return the key of a job's progress."""
    return f"{PREFIX_PROGRESS}{job_id}"


def prefix_shards(job_id: str) -> str:
    """Return the prefix of a job's shard records."""
    return f"{PREFIX_SHARDS}{job_id}/"


def key_shard(job_id: str, shard: int) -> str:
    """Return the key of a shard's record."""
    return f"{prefix_shards(job_id)}{shard:06d}"
