"""Fingerprints of requests: a request that is sent again has the same one."""

from __future__ import annotations

from typing import Any, Final

import msgspec
import xxhash

IGNORED_FIELDS: Final = frozenset({"stream", "stream_options", "resume", "user"})


def make_fingerprint(service: str, body: dict[str, Any]) -> str:
    """Return the fingerprint of a model call: a digest of the service and the body.

    It does not depend on the order of fields or on ``IGNORED_FIELDS``, which do not change what the
    model is asked.
    """
    relevant = {name: value for name, value in body.items() if name not in IGNORED_FIELDS}
    data = msgspec.json.encode(relevant, order="deterministic")
    return xxhash.xxh3_128_hexdigest(service.encode() + b"\0" + data)


def make_raw_fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return the fingerprint of a call of a plain service: a digest of all arguments."""
    head = f"{service}\0{method}\0{path}\0".encode()
    return xxhash.xxh3_128_hexdigest(head + body)
