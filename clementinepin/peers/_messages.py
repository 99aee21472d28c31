"""Messages of the peer network itself.

Keys that a release does not know are ignored, so that two releases can run side by side.
"""

from __future__ import annotations

from typing import Any, TypedDict

import msgspec

from clementinepin.const import InstanceState
from clementinepin.infrastructure import ListedInstance
from clementinepin.peers.exceptions import PeerMessageInvalidError
from clementinepin.systems.membership import Exchange
from clementinepin.tables.membership import MemberRow, MemberState

OWN_SERVICE = "clementinepin"


class MemberMessage(TypedDict):
    """The state of a member as the sender knows it."""

    name: str
    incarnation: int
    state: int
    leaving: bool
    address: str
    port: int
    peer_port: int
    data_centre: str
    region: str


class ExchangeMessage(TypedDict):
    """A probe or its reply. ``attached`` holds messages by topic."""

    rows: list[MemberMessage]
    digest: int
    attached: dict[str, dict[str, Any]]


class RelayMessage(TypedDict):
    """A request that a relay probes a member."""

    target: str


class RelayReply(TypedDict):
    """Whether the member replied to the relay's probe."""

    answered: bool


class SyncMessage(TypedDict):
    """The digests of the sender's buckets, and the seed by which both sides choose buckets."""

    digests: list[int]
    seed: int


class SyncReply(TypedDict):
    """The rows of the buckets that differ, and the digests of the replying instance."""

    rows: list[MemberMessage]
    digests: list[int]


class MergeMessage(TypedDict):
    """Rows to merge into the receiver's table."""

    rows: list[MemberMessage]


class TreeMessage(TypedDict):
    """A message for all members in the range ``low`` to ``high`` of the ring.

    Members in ``passed`` are left out: the message already went through them, or they failed.
    ``deadline`` is in wall-clock seconds.
    """

    method: str
    message: dict[str, Any]
    low: int
    high: int
    passed: list[str]
    deadline: float


class TreeReply(TypedDict):
    """Replies by member."""

    answers: dict[str, dict[str, Any]]


def encode_message(message: Any) -> bytes:
    """Return a message encoded as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> dict[str, Any]:
    """Return the map in a message. Raises PeerMessageInvalidError if it can't be decoded."""
    try:
        return msgspec.msgpack.decode(data, type=dict[str, Any])
    except msgspec.DecodeError as err:
        raise PeerMessageInvalidError(str(err)) from err


def read_message(message: dict[str, Any], message_type: Any) -> Any:
    """Return a message converted to its TypedDict.

    Raises PeerMessageInvalidError if a key is missing or has a wrong type.
    """
    try:
        return msgspec.convert(message, message_type)
    except msgspec.ValidationError as err:
        raise PeerMessageInvalidError(str(err)) from err


def pack_row(row: MemberRow) -> MemberMessage:
    """Return the message for a row."""
    instance = row.instance
    return MemberMessage(
        name=instance.name,
        incarnation=row.incarnation,
        state=int(row.state),
        leaving=row.leaving,
        address=instance.address,
        port=instance.port,
        peer_port=instance.peer_port,
        data_centre=instance.data_centre,
        region=instance.region,
    )


def unpack_row(message: MemberMessage) -> MemberRow:
    """Return the row in a message. An unknown state of a newer release counts as suspect."""
    instance = ListedInstance(
        name=message["name"],
        service=OWN_SERVICE,
        address=message["address"],
        port=message["port"],
        peer_port=message["peer_port"],
        data_centre=message["data_centre"],
        region=message["region"],
        state=InstanceState.LIVE.value,
    )
    is_known = message["state"] in MemberState.__members__.values()
    state = MemberState(message["state"]) if is_known else MemberState.SUSPECT
    return MemberRow(instance, message["incarnation"], state, message["leaving"], 0.0)


def pack_exchange(exchange: Exchange, attached: dict[str, dict[str, Any]]) -> ExchangeMessage:
    """Return the message for an exchange."""
    rows = [pack_row(row) for row in exchange.rows]
    return ExchangeMessage(rows=rows, digest=exchange.digest, attached=attached)


def unpack_exchange(message: ExchangeMessage) -> Exchange:
    """Return the exchange in a message."""
    return Exchange(tuple(unpack_row(row) for row in message["rows"]), message["digest"])
