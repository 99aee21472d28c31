"""Peer messages of the fleet component, and the stored form of configuration revisions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypedDict

import msgspec

from clementinepin.config import ConfigurationPartError
from clementinepin.helpers.decoding import guard_decoder, make_msgpack_decoder

METHOD_ANNOUNCE = "configuration.announce"
METHOD_FETCH = "configuration.fetch"
METHOD_PARTS = "configuration.parts"
METHOD_IN_FORCE = "configuration.in_force"
METHOD_LEAVING = "fleet.leaving"
METHOD_INSTANCES = "fleet.instances"
TOPIC_CONFIGURATION = "configuration"


class Manifest(TypedDict):
    """An accepted revision.

    ``parts`` are the digests of its parts; ``accepted_at`` is in wall-clock seconds.
    """

    revision: int
    digest: str
    parts: list[str]
    operation_id: str
    accepted_by: str
    accepted_at: float


class AnnounceMessage(TypedDict):
    """Announces a new revision; ``parts`` has the changed parts by digest if they are small."""

    manifest: Manifest
    parts: dict[str, bytes]


class FetchMessage(TypedDict):
    """Requests the newest manifest if its revision is above ``revision``."""

    revision: int


class FetchReply(TypedDict):
    """The manifest in force at the peer, or None if it is not newer than requested."""

    manifest: Manifest | None


class PartsMessage(TypedDict):
    """Requests parts by digest."""

    digests: list[str]


class PartsReply(TypedDict):
    """The requested parts that the peer has, by digest, as many as fit in one reply."""

    parts: dict[str, bytes]


class DigestMessage(TypedDict):
    """The revision in force at the sender, attached to membership probes."""

    revision: int


class InForceReply(TypedDict):
    """The revision in force at the replying instance."""

    revision: int


class LeavingMessage(TypedDict):
    """Sent by an instance that starts to drain; ``name`` is its own name."""

    name: str


class InstanceChange(TypedDict):
    """A changed row of the instance list; ``row`` is None if it was removed.

    ``observed_at`` is in wall-clock seconds.
    """

    name: str
    row: list[Any] | None
    observed_at: float


class InstancesMessage(TypedDict):
    """Changes that the sender found in the instance list."""

    changes: list[InstanceChange]


_decode_manifest: Callable[[bytes], Manifest] = make_msgpack_decoder(Manifest)
_convert = guard_decoder(msgspec.convert)


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the stored form of a manifest."""
    return msgspec.msgpack.encode(manifest)


def decode_manifest(data: bytes) -> Manifest:
    """Return a stored manifest. Raise ConfigurationPartError if it can't be decoded."""
    try:
        return _decode_manifest(data)
    except msgspec.DecodeError as err:
        raise ConfigurationPartError(f"manifest can't be decoded: {err}") from err


def read_message(message: dict[str, Any], message_type: Any) -> Any:
    """Return a peer's message checked against ``message_type``, a TypedDict.

    Raise ConfigurationPartError if it does not match.
    """
    try:
        return _convert(message, message_type)
    except msgspec.DecodeError as err:
        raise ConfigurationPartError(f"peer message can't be decoded: {err}") from err
