"""Fingerprints: what a request is known by when it is sent again."""

from __future__ import annotations

from typing import Any, Final

import msgspec
import xxhash

IGNORED_FIELDS: Final = frozenset({"stream", "stream_options", "resume", "user"})


def make_fingerprint(service: str, body: dict[str, Any]) -> str:
    """Return the fingerprint of a model call: the service and what is asked of it.

    The order of fields and how the answer is to be delivered make no difference.
    """
    asked = {name: value for name, value in body.items() if name not in IGNORED_FIELDS}
    data = msgspec.json.encode(asked, order="deterministic")
    return xxhash.xxh3_128_hexdigest(service.encode() + b"\0" + data)


def make_raw_fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return the fingerprint of a call of a plain service."""
    head = f"{service}\0{method}\0{path}\0".encode()
    return xxhash.xxh3_128_hexdigest(head + body)
