"""Reads the platform's settings file of one process."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Final

import msgspec

from clementinepin.helpers.decoding import guard_decoder
from clementinepin.platform._formats import PORT_MAX, parse_port
from clementinepin.serving.exceptions import SettingsError
from clementinepin.serving.models import InstanceSettings

SETTINGS_VARIABLE: Final = "CLEMENTINEPIN_BOOT"
ROLE_STORE: Final = "store"
RESERVED_DESCRIPTORS: Final = 200  # file descriptors that the platform reserves for files


_Port = Annotated[int, msgspec.Meta(ge=0, le=PORT_MAX)]
# Any longer and the waits that end at it would not end; tomllib reads nan and inf too.
_Duration = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


class _Listen(msgspec.Struct):
    """Listen addresses. A field is empty if the role of the process does not serve it."""

    front: str = ""
    ready: str = ""
    directory: str = ""


class _Limits(msgspec.Struct):
    max_fds: Annotated[int, msgspec.Meta(ge=0, le=2**31)] = 1024


class _Bounds(msgspec.Struct):
    grace_period_s: _Duration = 8.0
    ttl_max_s: _Duration = 5.0
    settle_timeout_ms: _Duration = 1000.0
    status_retention_s: _Duration = 120.0


class _Platform(msgspec.Struct):
    address: str


class _File(msgspec.Struct):
    """The settings file. ``node`` is the instance, ``zone`` its data centre."""

    node: str
    ip: str
    zone: str
    platform: _Platform
    internal_ports: list[_Port]
    region: str = ""
    bootstrap: bool = False
    serves: list[str] = []
    listen: _Listen = msgspec.field(default_factory=_Listen)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def load_instance_settings(path: str, metrics_port: int = 0) -> InstanceSettings:
    """Return the settings in the file. Raises SettingsError with the name of an invalid field.

    Metrics are served on the instance's own address. With port 0 they are not served.
    """
    try:
        file = _decode_file(Path(path).read_bytes())
    except (OSError, msgspec.DecodeError) as err:
        raise SettingsError(f"settings file {path!r}: {err}") from err
    if not file.internal_ports:
        raise SettingsError(f"settings file {path!r}: internal_ports is empty")
    runs_jobs = ROLE_STORE in file.serves
    return InstanceSettings(
        name=file.node,
        runs_jobs=runs_jobs,
        host=file.ip,
        data_centre=file.zone,
        region=file.region,
        link_port=file.internal_ports[0],
        entry_address=_parse_address(file.listen.front),
        ready_address=_parse_address(file.listen.ready),
        directory_address=_parse_address(file.listen.directory),
        metrics_address=(file.ip, metrics_port) if metrics_port else None,
        store_address=_require_address(file.platform.address, "platform.address"),
        grace_s=file.bounds.grace_period_s,
        directory_ttl_max_s=file.bounds.ttl_max_s,
        settle_s=file.bounds.settle_timeout_ms / 1000,
        status_retention_s=file.bounds.status_retention_s,
        connections_max=max(64, file.limits.max_fds - RESERVED_DESCRIPTORS),
        is_first_start=file.bootstrap,
    )


@guard_decoder
def _decode_file(data: bytes) -> _File:
    raw: dict[str, Any] = tomllib.loads(data.decode())
    return msgspec.convert(raw, _File, strict=False)


def _parse_address(text: str) -> tuple[str, int] | None:
    if not text:
        return None
    host, _, port = text.rpartition(":")
    number = parse_port(port)
    if not host or number is None:
        raise SettingsError(f"{text!r} is not an address of the form HOST:PORT")
    return host, number


def _require_address(text: str, field: str) -> tuple[str, int]:
    address = _parse_address(text)
    if address is None:
        raise SettingsError(f"{field} is empty")
    return address
