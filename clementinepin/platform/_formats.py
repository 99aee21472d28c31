"""Bodies, entries and texts of the platform, as others write them, and their bounds.

Each function that reads one raises msgspec.DecodeError alone, whatever was written.
"""

from __future__ import annotations

import base64
import ipaddress
import re
from collections.abc import Callable
from typing import Annotated, Final
from urllib.parse import parse_qs

import msgspec

from clementinepin.helpers.decoding import guard_decoder, make_json_decoder
from clementinepin.serving.models import JobItem

SLOTS_MAX: Final = 65_535  # no target accepts more connections from one address
NUMBER_MAX: Final = 2**53  # exact as a float, and in messages between instances
TEXT_MAX_CHARS: Final = 200  # a name; keys of the store hold 200 bytes
TARGET_ID: Final = re.compile(rf"[!-~]{{1,{TEXT_MAX_CHARS}}}")  # it is sent in a header
BRACKETS_MAX: Final = 500  # of an entry; it has a few for each model that a target holds
PORT_MAX: Final = 65_535
_PORT: Final = re.compile(r"[0-9]{1,5}")
# What a request line and its headers may hold (RFC 9110).
_VISIBLE: Final = re.compile(r"[!-~]+")
_HEADER_NAME: Final = re.compile(r"[-!#$%&'*+.^_`|~0-9A-Za-z]+")
_HEADER_VALUE: Final = re.compile(r"[\t -~\x80-\xff]*")

_Count = Annotated[int, msgspec.Meta(ge=0, le=NUMBER_MAX)]
_Number = Annotated[int, msgspec.Meta(ge=-NUMBER_MAX, le=NUMBER_MAX)]
_Amount = Annotated[float, msgspec.Meta(ge=0.0, le=float(NUMBER_MAX))]
_Name = Annotated[str, msgspec.Meta(max_length=TEXT_MAX_CHARS)]


class Share(msgspec.Struct):
    service: str
    weight: _Amount = 0.0


class RouteRow(msgspec.Struct):
    """A route of the operators' configuration.

    ``max_count`` limits the waiting tokens. ``run_target_ms`` is the time within which a job's
    results are due.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _Amount = 5000.0
    target_latency_ms: _Amount = 0.0
    gap_target_ms: _Amount = 0.0
    run_target_ms: _Amount = 0.0
    retention_s: _Amount = 0.0
    priority: _Number = 0
    max_attempts: _Count = 1
    max_count: _Count = 0
    resumable: bool = False
    service: str = ""
    traffic_split: list[Share] = []


class Engine(msgspec.Struct):
    slots: _Count = 0


class ServiceRow(msgspec.Struct):
    name: str
    health_path: str = "/health"
    max_connections: _Count = 64
    engine: Engine = msgspec.field(default_factory=Engine)


class Limits(msgspec.Struct):
    max_header_bytes: _Count = 16_384
    max_body_bytes: _Count = 4_194_304
    header_timeout_ms: _Amount = 3000.0
    idle_timeout_ms: _Amount = 15_000.0


class Configuration(msgspec.Struct):
    version: _Count
    routes: list[RouteRow]
    services: list[ServiceRow] = []
    limits: Limits = msgspec.field(default_factory=Limits)


class TargetEntry(msgspec.Struct):
    """A target's own entry. Its ``sequence`` only shows that it is alive and is not decoded."""

    service: _Name
    address: _Name
    zone: _Name
    version: _Name
    state: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=SLOTS_MAX)]
    born: _Count = 0


class Item(msgspec.Struct):
    id: str
    path: str
    body: str
    headers: dict[str, str] = {}
    tokens: _Count = 0


class Lot(msgspec.Struct):
    items: list[Item]


decode_configuration: Callable[[bytes], Configuration] = make_json_decoder(
    Configuration, strict=False
)
_decode_entry: Callable[[bytes], TargetEntry] = make_json_decoder(TargetEntry)
decode_lot: Callable[[bytes], Lot] = make_json_decoder(Lot)
_decode_body = guard_decoder(base64.b64decode)
_parse_float = guard_decoder(float)
_parse_ip_address = guard_decoder(ipaddress.ip_address)


def decode_entry(value: bytes) -> TargetEntry:
    """Return the entry. Raises msgspec.DecodeError.

    How deep a decoder gets depends on the depth of the stack, and all instances must agree on which
    entries name a target. So many brackets are refused that it gets through all others.
    """
    brackets = value.count(b"[") + value.count(b"{")
    if brackets > BRACKETS_MAX:
        raise msgspec.DecodeError(f"{brackets} brackets, more than {BRACKETS_MAX}")
    return _decode_entry(value)


def parse_number(text: str) -> float | None:
    """Return a number, None if the text is none or stands for none up to NUMBER_MAX."""
    try:
        number = _parse_float(text)
    except msgspec.DecodeError:
        return None
    return number if -NUMBER_MAX <= number <= NUMBER_MAX else None


def parse_count(text: str) -> int:
    """Return a number rounded down, 0 if the text is none or stands for a negative one."""
    return max(0, int(parse_number(text) or 0))


def split_target(target: str) -> tuple[str, dict[str, list[str]]]:
    """Return the path and the query of a request's target, which may name a host too.

    Any text has both: a target that is no URL must still reach its route, or get a 404.
    """
    target = target.partition("#")[0]
    if not target.startswith("/"):
        _, _, rest = target.partition("://")
        _, slash, path = rest.partition("/")
        target = slash + path
    path, _, query = target.partition("?")
    return path, _parse_query(query)


def _parse_query(query: str) -> dict[str, list[str]]:
    try:
        return guard_decoder(parse_qs)(query)
    except msgspec.DecodeError:
        return {}


def read_address(text: str) -> tuple[str, int]:
    """Return host and port of an address of the form IP:PORT. Raises msgspec.DecodeError.

    A host name is refused: to look one up would block those that wait for a target.
    """
    host, _, port = text.rpartition(":")
    address = _parse_ip_address(host)
    if "%" in host or address.is_unspecified or address.is_multicast:
        raise msgspec.DecodeError(f"{host!r} is not the address of one target")
    number = parse_port(port)
    if not number:
        raise msgspec.DecodeError(f"{port!r} is not the port of a target")
    return host, number


def parse_port(text: str) -> int | None:
    """Return a port in plain ASCII digits, None if the text is none."""
    number = int(text) if _PORT.fullmatch(text) else PORT_MAX + 1
    return number if number <= PORT_MAX else None


def make_item(item: Item) -> JobItem:
    """Return the item. Raises msgspec.DecodeError if no request can be made of it."""
    body = _decode_body(item.body, validate=True)
    if not _VISIBLE.fullmatch(item.id) or not _VISIBLE.fullmatch(item.path):
        raise msgspec.DecodeError("an id or path of an item is empty or can't be sent")
    for name, value in item.headers.items():
        if not _HEADER_NAME.fullmatch(name) or not _HEADER_VALUE.fullmatch(value):
            raise msgspec.DecodeError(f"header {name[:TEXT_MAX_CHARS]!r} can't be sent")
    return JobItem(item.id, item.path, tuple(item.headers.items()), body, item.tokens)
