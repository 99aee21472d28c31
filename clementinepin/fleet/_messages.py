"""Messages and stored values of fleet-wide roles."""

from __future__ import annotations

from typing import Any, TypedDict

import msgspec

from clementinepin.config import ConfigurationPartError

METHOD_ANNOUNCE = "configuration.announce"
METHOD_FETCH = "configuration.fetch"
METHOD_PARTS = "configuration.parts"
METHOD_IN_FORCE = "configuration.in_force"
METHOD_LEAVING = "fleet.leaving"
METHOD_INSTANCES = "fleet.instances"
TOPIC_CONFIGURATION = "configuration"


class Manifest(TypedDict):
    """An accepted revision; ``accepted_at`` is wall-clock seconds, ``parts`` are digests."""

    revision: int
    digest: str
    parts: list[str]
    operation_id: str
    accepted_by: str
    accepted_at: float


class AnnounceMessage(TypedDict):
    """A new revision with the small parts that changed."""

    manifest: Manifest
    parts: dict[str, bytes]


class FetchMessage(TypedDict):
    """A wish for a revision above ``revision``."""

    revision: int


class FetchAnswer(TypedDict):
    """The newest manifest, or None when there is no newer one."""

    manifest: Manifest | None


class PartsMessage(TypedDict):
    """A wish for parts."""

    digests: list[str]


class PartsAnswer(TypedDict):
    """Parts by digest, as many as fit one message."""

    parts: dict[str, bytes]


class DigestMessage(TypedDict):
    """The revision in force, sent along with probes."""

    revision: int


class InForceAnswer(TypedDict):
    """The revision in force at one instance."""

    revision: int


class LeavingMessage(TypedDict):
    """An instance's own word that it leaves."""

    name: str


class InstanceChange(TypedDict):
    """A row of the instance list, or its removal; ``observed_at`` is wall-clock seconds."""

    name: str
    row: list[Any] | None
    observed_at: float


class InstancesMessage(TypedDict):
    """Changes that the sender saw in the instance list."""

    changes: list[InstanceChange]


def encode_manifest(manifest: Manifest) -> bytes:
    """Return a manifest as stored."""
    return msgspec.msgpack.encode(manifest)


def decode_manifest(data: bytes) -> Manifest:
    """Return a stored manifest; raises ConfigurationPartError."""
    try:
        return msgspec.msgpack.decode(data, type=Manifest)
    except msgspec.DecodeError as err:
        raise ConfigurationPartError(f"manifest can't be decoded: {err}") from err


def read_message(message: dict[str, Any], message_type: Any) -> Any:
    """Return a peer's message checked against its TypedDict; raises ConfigurationPartError."""
    try:
        return msgspec.convert(message, message_type)
    except msgspec.ValidationError as err:
        raise ConfigurationPartError(f"message can't be read: {err}") from err
