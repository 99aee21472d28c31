"""Fingerprints of requests: a request that is sent again has the same one."""

from __future__ import annotations

from typing import Any, Final

import msgspec
import xxhash

SHARED_CHARS: Final = 256  # engines identify cached prefixes of this length
IGNORED_FIELDS: Final = frozenset({"stream", "stream_options", "resume", "user"})


def make_fingerprint(service: str, body: dict[str, Any]) -> str:
    """Return the fingerprint of a model call: a digest of the service and the body.

    It does not depend on the order of fields or on ``IGNORED_FIELDS``, which do not change what the
    model is asked.
    """
    relevant = {name: value for name, value in body.items() if name not in IGNORED_FIELDS}
    data = msgspec.json.encode(relevant, order="deterministic")
    return xxhash.xxh3_128_hexdigest(service.encode() + b"\0" + data)


def list_prompt_parts(body: dict[str, Any]) -> tuple[str, ...]:
    """Return digests of the prompt's parts that other requests may share.

    The last message, or the last of several prompts, is the request's own. One prompt alone has its
    beginning in common with others, if it is longer than that.
    """
    messages, prompt = body.get("messages"), body.get("prompt", "")
    if isinstance(messages, list):
        parts = [msgspec.json.encode(m, order="deterministic") for m in messages[:-1]]
    elif isinstance(prompt, list):
        parts = [str(p).encode() for p in prompt[:-1]]
    else:
        shared = str(prompt)[:SHARED_CHARS]
        parts = [shared.encode()] if len(str(prompt)) > SHARED_CHARS else []
    return tuple(xxhash.xxh3_64_hexdigest(part) for part in parts)


def make_raw_fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return the fingerprint of a call of a plain service: a digest of all arguments."""
    head = f"{service}\0{method}\0{path}\0".encode()
    return xxhash.xxh3_128_hexdigest(head + body)
