"""Client of the platform's instance list."""

from __future__ import annotations

from typing import Any, TypedDict

import msgspec
from loguru import logger

from clementinepin.config import Settings
from clementinepin.const import InstanceState
from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure._http import create_http_reader, fetch_answer
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
    """Reads the list; a malformed row is left out and logged, the others stand."""

    def __init__(self, address: str) -> None:
        self._client = create_http_reader(address)

    def fetch(self) -> list[ListedInstance]:
        """Return the list; raises PlatformUnavailableError."""
        answer = fetch_answer(self._client, "GET", PATH)
        if answer.status != STATUS_OK:
            raise PlatformUnavailableError(f"instance list answered {answer.status}")
        try:
            groups = msgspec.json.decode(answer.body, type=list[msgspec.Raw])
        except msgspec.DecodeError as err:
            raise PlatformUnavailableError(f"instance list: {err}") from err
        rows = [parse_group(group) for group in groups]
        return [row for row in rows if row is not None]


def parse_group(raw: Any) -> ListedInstance | None:
    """Return the row of one target group, or None when it is malformed."""
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
        logger.warning("{} Skipped a row out of range.", LOG_PREFIX)
        return None
    return row


def create_instance_list(settings: Settings, clock: Clock) -> InstanceList:  # noqa: ARG001
    """Return a client of the list named in the settings."""
    return HttpInstanceList(settings.platform.instance_list)
