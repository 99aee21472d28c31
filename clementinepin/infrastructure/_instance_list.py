"""HTTP client of the platform's instance list."""

from __future__ import annotations

from typing import Any, TypedDict

import msgspec
from loguru import logger

from clementinepin.config import Settings
from clementinepin.const import InstanceState
from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure._http import create_http_client, fetch_response
from clementinepin.infrastructure.exceptions import PlatformUnavailableError
from clementinepin.infrastructure.models import InstanceList, ListedInstance

LOG_PREFIX = "instance list:"
PATH = "/instances"
STATUS_OK = 200
_PORT_MAX = 65_535


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


class HttpInstanceList:
    """InstanceList over HTTP; malformed rows are logged and left out."""

    def __init__(self, address: str) -> None:
        self._client = create_http_client(address)

    def fetch(self) -> list[ListedInstance]:
        """Return the list. Raise PlatformUnavailableError if it can't be read or decoded."""
        response = fetch_response(self._client, "GET", PATH)
        if response.status != STATUS_OK:
            raise PlatformUnavailableError(f"instance list responded with status {response.status}")
        try:
            groups = msgspec.json.decode(response.body, type=list[msgspec.Raw])
        except msgspec.DecodeError as err:
            raise PlatformUnavailableError(f"instance list can't be decoded: {err}") from err
        rows = [parse_group(group) for group in groups]
        return [row for row in rows if row is not None]


def parse_group(raw: Any) -> ListedInstance | None:
    """Return the row of one target group, encoded as JSON, or None if it is malformed."""
    try:
        group = msgspec.json.decode(raw, type=_Group)
        address, _, port = group["targets"][0].rpartition(":")
        labels = group["labels"]
        row = ListedInstance(
            name=labels["name"],
            service=labels["service"],
            address=address.strip("[]"),
            port=int(port),
            peer_port=int(labels.get("peer_port", 0)),
            data_centre=labels["data_centre"],
            region=labels.get("region", ""),
            state=InstanceState(labels.get("state", InstanceState.LIVE)).value,
        )
    except (msgspec.DecodeError, KeyError, IndexError, ValueError) as err:
        logger.warning("{} Skipped a malformed row: {}.", LOG_PREFIX, err)
        return None
    if not row.name or not 0 < row.port <= _PORT_MAX or not 0 <= row.peer_port <= _PORT_MAX:
        logger.warning("{} Skipped a row with an empty name or an invalid port.", LOG_PREFIX)
        return None
    return row


def create_instance_list(settings: Settings, clock: Clock) -> InstanceList:  # noqa: ARG001
    """Return a client of the instance list at the address in the settings."""
    return HttpInstanceList(settings.platform.instance_list)
