"""HTTP client of the platform's instance list."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypedDict

import msgspec
from loguru import logger

from clementinepin.config import Settings
from clementinepin.const import InstanceState
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.decoding import guard_decoder, make_json_decoder, split_json_array
from clementinepin.infrastructure._http import HttpClient
from clementinepin.infrastructure.exceptions import PlatformUnavailableError
from clementinepin.infrastructure.models import InstanceList, ListedInstance, is_reachable

LOG_PREFIX = "instance list:"
PATH = "/instances"
STATUS_OK = 200
ROW_SHOWN_BYTES = 80


class _Labels(TypedDict, total=False):
    name: str
    service: str
    data_centre: str
    region: str
    state: str
    peer_port: str | int


class _Group(TypedDict):
    targets: list[str]
    labels: _Labels


_decode_groups: Callable[[bytes], list[msgspec.Raw]] = make_json_decoder(list[msgspec.Raw])
_decode_group: Callable[[bytes], _Group] = make_json_decoder(_Group)


class HttpInstanceList:
    """InstanceList over HTTP; malformed rows are logged and left out."""

    def __init__(self, address: str, clock: Clock) -> None:
        self._client = HttpClient(address, clock)

    def fetch(self) -> list[ListedInstance]:
        """Return the list. Raise PlatformUnavailableError if it can't be read or decoded."""
        response = self._client.fetch("GET", PATH)
        if response.status != STATUS_OK:
            raise PlatformUnavailableError(f"instance list responded with status {response.status}")
        try:
            groups = _split_groups(response.body)
        except msgspec.DecodeError as err:
            raise PlatformUnavailableError(f"instance list can't be decoded: {err}") from err
        rows = [parse_group(group) for group in groups]
        return [row for row in rows if row is not None]


def parse_group(raw: Any) -> ListedInstance | None:
    """Return the row of one target group, encoded as JSON, or None if it is malformed."""
    try:
        row = _decode_row(raw)
    except msgspec.DecodeError as err:
        start = bytes(raw)[:ROW_SHOWN_BYTES]
        logger.warning("{} Skipped a malformed row: {} in {!r}.", LOG_PREFIX, err, start)
        return None
    if not is_reachable(row):
        address = f"{row.address[:ROW_SHOWN_BYTES]!r}:{row.port}"
        logger.warning("{} Skipped {!r}, which is at {}.", LOG_PREFIX, row.name[:63], address)
        return None
    return row


def _split_groups(body: bytes) -> list[Any]:
    """Return the groups undecoded, so that one which can't be decoded does not hide the others."""
    try:
        return _decode_groups(body)
    except msgspec.DecodeError as err:
        if not isinstance(err.__cause__, RecursionError):
            raise
        return split_json_array(body)


@guard_decoder
def _decode_row(raw: Any) -> ListedInstance:
    group = _decode_group(raw)
    address, _, port = group["targets"][0].rpartition(":")
    labels = group["labels"]
    return ListedInstance(
        name=labels["name"],
        service=labels["service"],
        address=address.strip("[]"),
        port=int(port),
        peer_port=int(labels.get("peer_port", 0)),
        data_centre=labels["data_centre"],
        region=labels.get("region", ""),
        state=InstanceState(labels.get("state", InstanceState.LIVE)).value,
    )


def create_instance_list(settings: Settings, clock: Clock) -> InstanceList:
    """Return a client of the instance list at the address in the settings."""
    return HttpInstanceList(settings.platform.instance_list, clock)
