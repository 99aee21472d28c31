"""Messages between the dispatcher and the instances that ask it for slots."""

from __future__ import annotations

import struct
from typing import Any, Final

import gevent
import msgspec
from gevent import socket
from loguru import logger

HEADER: Final = struct.Struct(">I")
FRAME_MAX_BYTES: Final = 8_000_000  # a job of four megabytes as one change, and its framing


class TakenSlot(msgspec.Struct, array_like=True, frozen=True):
    """A slot in use at the time of a hello; ``run_s`` is what is left of its expected time."""

    number: int
    service: str
    target_id: str
    is_batch: bool
    is_firm: bool
    run_s: float


class Hello(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """First message of an asking instance."""

    name: str
    slots: list[TakenSlot]


class AskSlot(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Asks for a slot. Durations, as clocks differ; the receiver turns them into times."""

    number: int
    service: str
    is_batch: bool
    on_time_in_s: float
    deadline_in_s: float
    run_s: float
    prefix_ids: list[str]
    data_centre: str
    excluded: list[str]
    returned: bool
    is_firm: bool
    warm: list[str] = []
    priority: int = 0
    fingerprint: str = ""


class EndSlot(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Frees a slot or withdraws an ask."""

    number: int
    outcome: str


class GrantSlot(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """The request may be sent to this target."""

    number: int
    target_id: str


class RefuseSlot(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """The request should be refused."""

    number: int
    retry_after_s: float
    reason: str
    taken: int = 0
    slots: int = 0
    waiting: int = 0
    start_in_s: float = 0.0
    pressure: float = 0.0


class YieldSlot(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """The batch item in the slot should stop."""

    number: int


class SlotQueued(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Asks of the receiver wait; sent at once and then as a sign of life."""


class ReportLoad(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """The load that a target reported as it began to answer in this slot."""

    number: int
    reported: int


class ReportSilence(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """The target in this slot has not begun to answer for long."""

    number: int


class TookSlot(msgspec.Struct, array_like=True, tag=16, frozen=True):
    """A slot that the sender took without a grant, while the receiver was silent."""

    slot: TakenSlot


class StoreCall(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """A call to the store that the receiver should make. ``change`` is an encoded Change."""

    number: int
    kind: str
    key: str = ""
    after: str = ""
    change: bytes = b""
    ttl_s: float = 0.0
    lease_id: int = 0


class StoreReply(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """The outcome of a StoreCall: the code of a failure or empty, and an encoded body."""

    number: int
    code: str
    body: bytes


class FeedRows(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """All rows of a key range as ``(key, value, version)``, from the sender's view."""

    name: str
    rows: list[tuple[str, bytes, int]]
    version: int


class FeedChange(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """One changed row of a key range; no value means that it is gone."""

    name: str
    key: str
    value: bytes | None
    version: int


class FeedBeat(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """Sign of life; ``fresh`` says that the store vouches for the sender's rows."""

    fresh: bool


class ReadJob(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """Asks a job's owner for results from a position on; it may hold the answer."""

    number: int
    job_id: str
    after: int
    wait_s: float


class JobPage(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """Results as ``(item, state, text)``; ``known`` is False when another instance must say."""

    number: int
    known: bool
    owner: str = ""
    total: int = 0
    results: list[tuple[str, str, str]] = []


Message = (
    Hello
    | TookSlot
    | AskSlot
    | EndSlot
    | GrantSlot
    | RefuseSlot
    | YieldSlot
    | SlotQueued
    | ReportLoad
    | ReportSilence
    | StoreCall
    | StoreReply
    | FeedRows
    | FeedChange
    | FeedBeat
    | ReadJob
    | JobPage
)
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


def pack_message(message: Message) -> bytes:
    """Return a message as a frame with its length in front."""
    data = _encode(message)
    return HEADER.pack(len(data)) + data


class FrameReader:
    """Cuts a byte stream into messages."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Any]:
        """Return the messages completed by the data; raises ValueError for a bad frame."""
        self._rest += data
        messages = []
        while len(self._rest) >= HEADER.size:
            (size,) = HEADER.unpack_from(self._rest)
            if size > FRAME_MAX_BYTES:
                raise ValueError(f"frame of {size} bytes")
            end = HEADER.size + size
            if len(self._rest) < end:
                break
            messages.append(_decode(self._rest[HEADER.size : end]))
            self._rest = self._rest[end:]
        return messages


class MessageSender:
    """Writes messages to one connection; what is queued together leaves together."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._pending: list[bytes] = []
        self._sending = False

    def send(self, message: Message) -> None:
        """Queue a message. A broken connection is closed, which its reader notices."""
        self._pending.append(pack_message(message))
        if not self._sending:
            self._sending = True
            gevent.spawn(self._flush)

    def close(self) -> None:
        """Close the connection; its reader sees an end of file."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError as err:
            logger.bind(error=str(err)).debug("slot_link_closed_already")

    def _flush(self) -> None:
        try:
            while self._pending:
                data = b"".join(self._pending)
                self._pending.clear()
                self._sock.sendall(data)
        except OSError as err:
            logger.bind(error=str(err)).info("slot_link_broke")
            self.close()
        finally:
            self._sending = False
