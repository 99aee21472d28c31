"""Entries that another writer may leave among those of the targets, and none names a target."""

from __future__ import annotations

from typing import Any, Final

import msgspec

DEPTH: Final = 5_000
PREFIX: Final = "servers/"


def encode_entry(**changes: Any) -> bytes:
    """Return a sound entry with some fields replaced."""
    entry = {
        "service": "llm",
        "address": "127.0.0.1:9",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "sequence": 1,
        "born": 1_700_000_000_000,
    }
    return msgspec.json.encode(entry | changes)


def _replace(field: str, literal: bytes) -> bytes:
    """Return a sound entry with the JSON text of one field replaced."""
    return encode_entry(**{field: "PLACE"}).replace(b'"PLACE"', literal)


LISTS: Final = b"[" * DEPTH + b"]" * DEPTH
OBJECTS: Final = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
BIG: Final = str(2**70).encode()
LONG_NUMBER: Final = b"9" * 5_000

ODD_ENTRIES: Final[dict[str, bytes]] = {
    "empty": b"",
    "no JSON": b"{",
    "NUL bytes": b"\0" * 9,
    "null": b"null",
    "a list": b"[]",
    "nested lists": LISTS,
    "nested objects": OBJECTS,
    "nested lists in a field that is skipped": _replace("sequence", LISTS),
    "nested objects in a further field": encode_entry()[:-1] + b',"more":' + OBJECTS + b"}",
    "text that is not UTF-8": _replace("zone", b'"\xff\xfe"'),
    "half of a surrogate pair": _replace("zone", b'"\\ud800"'),
    "slots of 70 bits": _replace("slots", BIG),
    "slots of 5000 digits": _replace("slots", LONG_NUMBER),
    "slots beyond any machine": encode_entry(slots=10**12),
    "slots as a bool": encode_entry(slots=True),
    "slots as a fraction": encode_entry(slots=0.5),
    "slots as text": encode_entry(slots="8"),
    "no slots": encode_entry(slots=0),
    "negative slots": encode_entry(slots=-1),
    "a start of 70 bits": _replace("born", BIG),
    "a start beyond 63 bits": encode_entry(born=2**63),
    "a negative start": encode_entry(born=-1),
    "a start as text": encode_entry(born="1"),
    "a service of another type": encode_entry(service=["llm"]),
    "a version of another type": encode_entry(version=1),
    "a zone of a megabyte": encode_entry(zone="z" * 1_000_000),
    "a version of a megabyte": encode_entry(version="v" * 1_000_000),
    "a service of a megabyte": encode_entry(service="s" * 1_000_000),
    "an unknown state": encode_entry(state="paused"),
    "no address": encode_entry(address=""),
    "an address without a port": encode_entry(address="127.0.0.1"),
    "an address without a host": encode_entry(address=":80"),
    "port 0": encode_entry(address="127.0.0.1:0"),
    "a port above 65535": encode_entry(address="127.0.0.1:65536"),
    "a port of 70 bits": encode_entry(address=f"127.0.0.1:{2**70}"),
    "a port of 5000 digits": encode_entry(address="127.0.0.1:" + "9" * 5_000),
    "a negative port": encode_entry(address="127.0.0.1:-80"),
    "a port with a sign": encode_entry(address="127.0.0.1:+80"),
    "a port with an underscore": encode_entry(address="127.0.0.1:8_0"),
    "a port in other digits": encode_entry(address="127.0.0.1:\u0668\u0660"),
    "a port with a space": encode_entry(address="127.0.0.1: 80"),
    "a port with a newline": encode_entry(address="127.0.0.1:80\n"),
    "a host with a NUL": encode_entry(address="127.0.0.1\0:80"),
    "a host with a newline": encode_entry(address="127.0.0.1\r\n:80"),
    "a host with a space": encode_entry(address=" 127.0.0.1:80"),
    "a host that is not ASCII": encode_entry(address="h\u00f6st:80"),
    "a host in other digits": encode_entry(address="\u0661.0.0.1:80"),
    "a host that never resolves": encode_entry(address="nowhere.invalid:80"),
    "a host of a megabyte": encode_entry(address="h" * 1_000_000 + ":80"),
    "a host with a scope": encode_entry(address="fe80::1%lo:80"),
    "no host in particular": encode_entry(address="0.0.0.0:80"),
}

ODD_KEYS: Final[dict[str, str]] = {
    "an empty id": PREFIX,
    "another prefix": "others/t1",
    "an id with a newline": PREFIX + "t\r\nX: 1",
    "an id with a NUL": PREFIX + "t\0",
    "an id that is not ASCII": PREFIX + "t\u00f6",
    "an id with a space": PREFIX + "t 1",
}
