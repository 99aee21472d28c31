"""Odd rows that another writer leaves among those that the daemons follow."""

from __future__ import annotations

import random
from typing import Any, Final

import msgspec

DEPTH: Final = 5_000
LISTS: Final = b"[" * DEPTH + b"]" * DEPTH
OBJECTS: Final = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
BIG: Final = str(2**70).encode()
ENTRY: Final = {
    "service": "llm",
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "sequence": 1,
}
KEYS: Final = ("servers/odd0", "servers/odd1", "servers/", "servers/a\nb")
OTHER_KEYS: Final = ("op/odd", "op/retire/odd", "op/config/odd", "op/retire/")


def make_rows(rng: random.Random, replaced: str) -> dict[str, bytes]:
    """Return odd rows by key, one in the place of the entry of an engine."""
    keys = (*rng.sample(KEYS, 2), f"servers/{replaced}", rng.choice(OTHER_KEYS))
    forms = list_forms(rng)
    return {key: rng.choice(forms) for key in keys}


def list_forms(rng: random.Random) -> list[bytes]:
    """Return entries that name no target."""
    entry = msgspec.json.encode(ENTRY)
    changes: list[dict[str, Any]] = [
        {"address": rng.choice(("127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:-9", "127.0.0.1"))},
        {"address": rng.choice(("127.0.0.1\0:9", "nowhere.invalid:9", "h\u00f6st:9", "0.0.0.0:9"))},
        {"slots": rng.choice((0, -1, True, "4", 10**12))},
        {"born": rng.choice((-1, 2**63, "now"))},
        {"zone": "z" * 1_000_000},
        {"version": rng.choice((None, 7, "v" * 1_000_000))},
        {"state": "paused"},
    ]
    return [
        b"",
        b"\0\xff",
        LISTS,
        OBJECTS,
        entry[:-1] + b',"more":' + LISTS + b"}",
        entry[:-1] + b',"more":' + OBJECTS + b"}",
        entry.replace(b'"slots":4', b'"slots":' + BIG),
        entry.replace(b'"zone":"a"', b'"zone":"\xff"'),
        *(msgspec.json.encode(ENTRY | change) for change in changes),
    ]
