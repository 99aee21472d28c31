"""Messages of the network itself. Keys that a release does not know are ignored."""

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
    """A statement about a member."""

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
    """A probe or its answer; ``attached`` holds messages by topic."""

    rows: list[MemberMessage]
    digest: int
    attached: dict[str, dict[str, Any]]


class RelayMessage(TypedDict):
    """A wish to have a member probed."""

    target: str


class RelayAnswer(TypedDict):
    """Whether the member answered."""

    answered: bool


class SyncMessage(TypedDict):
    """Digests of the sender's buckets, and the seed that both choose buckets by."""

    digests: list[int]
    seed: int


class SyncAnswer(TypedDict):
    """Rows of the buckets that differ, and the answerer's digests."""

    rows: list[MemberMessage]
    digests: list[int]


class MergeMessage(TypedDict):
    """Statements to take in."""

    rows: list[MemberMessage]


class TreeMessage(TypedDict):
    """A message for all members in a range of the ring but those that it passed already.

    ``deadline`` is wall-clock seconds.
    """

    method: str
    message: dict[str, Any]
    low: int
    high: int
    passed: list[str]
    deadline: float


class TreeAnswer(TypedDict):
    """Answers by member."""

    answers: dict[str, dict[str, Any]]


def encode_message(message: Any) -> bytes:
    """Return a message as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> dict[str, Any]:
    """Return the map in a message; raises PeerMessageInvalidError."""
    try:
        return msgspec.msgpack.decode(data, type=dict[str, Any])
    except msgspec.DecodeError as err:
        raise PeerMessageInvalidError(str(err)) from err


def read_message(message: dict[str, Any], message_type: Any) -> Any:
    """Return a message checked against its TypedDict; raises PeerMessageInvalidError."""
    try:
        return msgspec.convert(message, message_type)
    except msgspec.ValidationError as err:
        raise PeerMessageInvalidError(str(err)) from err


def pack_row(row: MemberRow) -> MemberMessage:
    """Return a row as a message."""
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
    """Return the row in a message; a state from a newer release counts as suspect."""
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
    known = message["state"] in MemberState.__members__.values()
    state = MemberState(message["state"]) if known else MemberState.SUSPECT
    return MemberRow(instance, message["incarnation"], state, message["leaving"], 0.0)


def pack_exchange(exchange: Exchange, attached: dict[str, dict[str, Any]]) -> ExchangeMessage:
    """Return an exchange as a message."""
    rows = [pack_row(row) for row in exchange.rows]
    return ExchangeMessage(rows=rows, digest=exchange.digest, attached=attached)


def unpack_exchange(message: ExchangeMessage) -> Exchange:
    """Return the exchange in a message."""
    return Exchange(tuple(unpack_row(row) for row in message["rows"]), message["digest"])
