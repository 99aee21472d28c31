"""Messages between instances, and their encoding as length-prefixed MessagePack frames.

They cover slots, load reports, relayed store calls, the feed of store rows, job results and tunnels
to targets.
Structs are encoded as arrays: their tags, fields and the order of fields are the wire format.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any, Final

import gevent
import msgspec
from gevent import socket
from loguru import logger

from clementinepin.helpers.decoding import make_msgpack_decoder
from clementinepin.tables.leaving import TargetStart

HEADER: Final = struct.Struct(">I")
FRAME_MAX_BYTES: Final = 8_000_000  # a job of 4 MB as one change, with its framing


class SlotInUse(msgspec.Struct, array_like=True, frozen=True):
    """A slot in use; ``run_s`` is the rest of its expected run time in seconds.

    ``prefix_ids`` and ``fingerprint`` are those of its request.
    """

    number: int
    service: str
    target_id: str
    is_batch: bool
    is_firm: bool
    run_s: float
    prefix_ids: list[str] = []
    fingerprint: str = ""


class StreamVersion(msgspec.Struct, array_like=True, frozen=True):
    """The software version at which a stream began; its caller may resume it for ``ttl_s``.

    Older builds don't tell ``service``.
    """

    stream_id: str
    software_version: str
    ttl_s: float
    service: str = ""


class BrokenRun(msgspec.Struct, array_like=True, frozen=True):
    """A run of the sender that its target broke off ``age_s`` ago, after ``events`` events.

    ``number`` is that of its slot.
    """

    number: int
    target_id: str
    service: str
    traits: list[str]
    events: int
    age_s: float


class Hello(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """First message of a client: its instance name, the slots that it uses and its streams.

    ``broken_runs`` are its last runs that their targets broke off, ``limits_per_s`` the limits of
    targets that it knows, by target id. ``leaving`` has ids and starts of targets that said that
    they leave; None from an instance of an earlier release, which can't read TargetLeaving.
    """

    name: str
    slots: list[SlotInUse]
    streams: list[StreamVersion] = []
    broken_runs: list[BrokenRun] = []
    limits_per_s: dict[str, float] = {}
    leaving: list[TargetStart] | None = None


class RequestSlot(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Requests a slot.

    Times are sent as durations from now, because clocks differ between instances; the receiver
    converts them to its own clock. ``warm`` lists targets with an idle connection.
    """

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
    timeout_in_s: float = 0.0
    software_version: str = ""
    stream_id: str = ""
    stream_ttl_s: float = 0.0
    is_resumption: bool = False


class ReleaseSlot(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Releases a slot or withdraws a request for one.

    ``succeeded`` is True after a complete response with a success status. ``events`` is how many
    events the run has brought.
    """

    number: int
    outcome: str
    succeeded: bool = False
    events: int = 0


class GrantSlot(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Grants a slot: the request may be sent to this target while it has the software version.

    ``limit_per_s`` is the limit that the target names, None if it names none.
    """

    number: int
    target_id: str
    software_version: str = ""
    limit_per_s: float | None = None


class RejectSlot(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Rejects a request for a slot; the fields after ``reason`` are the inputs of the decision."""

    number: int
    retry_after_s: float
    reason: str
    taken: int = 0
    slots: int = 0
    waiting: int = 0
    start_in_s: float = 0.0
    pressure: float = 0.0
    spare: float = 0.0


class PreemptSlot(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Requests that the client stops the batch item in the slot."""

    number: int


class SlotQueued(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Requests of the receiver are queued; sent at once and then periodically as a keep-alive."""


class ReportLoad(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """What the target of this slot reported with its response headers.

    ``reported`` is its number of requests, -1 if it was not named. ``limit_per_s`` is how many a
    second it takes, None if it named no limit. ``leaving_started_at_ms`` is the start of the target
    if it said that it leaves.
    """

    number: int
    reported: int
    limit_per_s: float | None = None
    leaving_started_at_ms: int | None = None


class ReportSilence(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """The target of this slot did not start to respond within the usual time."""

    number: int


class SlotTaken(msgspec.Struct, array_like=True, tag=16, frozen=True):
    """A slot that the sender took by a local decision, without a grant of the receiver.

    ``stream`` is the stream that it begins or resumes there, if its caller may resume it.
    """

    slot: SlotInUse
    stream: StreamVersion | None = None


class StoreCall(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """A store call that the receiver makes for the sender. ``change`` is an encoded Change."""

    number: int
    kind: str
    key: str = ""
    after: str = ""
    change: bytes = b""
    ttl_s: float = 0.0
    lease_id: int = 0


class StoreReply(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """The outcome of a StoreCall: an error code, empty on success, and an encoded body."""

    number: int
    code: str
    body: bytes


class FeedRows(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """All rows of a key range as ``(key, value, version)``, as the sender knows them."""

    name: str
    rows: list[tuple[str, bytes, int]]
    version: int


class FeedChange(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """One changed row of a key range; ``value`` is None if the row was removed."""

    name: str
    key: str
    value: bytes | None
    version: int


class FeedHeartbeat(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """Heartbeat of a feed; ``fresh`` says that the sender follows the store directly."""

    fresh: bool


class ReadJob(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """Requests results from position ``after`` on; the job's owner may wait ``wait_s`` for some."""

    number: int
    job_id: str
    after: int
    wait_s: float


class JobPage(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """Results as ``(item, state, text)``.

    ``known`` is False if the sender may not be the job's owner; ``owner`` then names the likely
    owner, if there is one.
    """

    number: int
    known: bool
    owner: str = ""
    total: int = 0
    results: list[tuple[str, str, str]] = []


class TargetLeaving(msgspec.Struct, array_like=True, tag=22, frozen=True):
    """A start of a target said that it leaves, so that it must get no new requests."""

    target_id: str
    started_at_ms: int


class OpenTunnel(msgspec.Struct, array_like=True, tag=17, frozen=True):
    """Asks the receiver to connect this connection to a target, within ``timeout_s``."""

    target_id: str
    timeout_s: float


class TunnelOpened(msgspec.Struct, array_like=True, tag=18, frozen=True):
    """Whether the target was connected: ``failure`` says why not, and is empty otherwise."""

    failure: str = ""
    refused: bool = False


class TunnelData(msgspec.Struct, array_like=True, tag=19, frozen=True):
    """Bytes to or from the target."""

    data: bytes


class TunnelEnded(msgspec.Struct, array_like=True, tag=20, frozen=True):
    """The target closed its connection; ``broken`` says that it was reset or failed."""

    broken: bool


class TunnelLeaving(msgspec.Struct, array_like=True, tag=21, frozen=True):
    """The sender stops soon: the tunnel must carry no other request."""


Message = (
    Hello
    | SlotTaken
    | RequestSlot
    | ReleaseSlot
    | GrantSlot
    | RejectSlot
    | PreemptSlot
    | SlotQueued
    | ReportLoad
    | ReportSilence
    | StoreCall
    | StoreReply
    | FeedRows
    | FeedChange
    | FeedHeartbeat
    | ReadJob
    | JobPage
    | TargetLeaving
    | OpenTunnel
    | TunnelOpened
    | TunnelData
    | TunnelEnded
    | TunnelLeaving
)
_encode = msgspec.msgpack.Encoder().encode
_decode: Callable[[bytes], Message] = make_msgpack_decoder(Message)


def pack_message(message: Message) -> bytes:
    """Return a message as a length-prefixed frame."""
    data = _encode(message)
    return HEADER.pack(len(data)) + data


class FrameReader:
    """Splits a byte stream into messages."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Any]:
        """Return the messages that the data completes.

        Raises ValueError if a frame is too large or can't be decoded.
        """
        self._buffer += data
        messages = []
        while len(self._buffer) >= HEADER.size:
            (size,) = HEADER.unpack_from(self._buffer)
            if size > FRAME_MAX_BYTES:
                raise ValueError(f"frame of {size} bytes exceeds {FRAME_MAX_BYTES} bytes")
            end = HEADER.size + size
            if len(self._buffer) < end:
                break
            messages.append(_decode(self._buffer[HEADER.size : end]))
            self._buffer = self._buffer[end:]
        return messages


class MessageSender:
    """Writes messages to one connection; messages queued together are sent in one write."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._pending: list[bytes] = []
        self._sending = False

    def send(self, message: Message) -> None:
        """Queue a message. If the connection breaks, it is closed and its reader ends."""
        self._pending.append(pack_message(message))
        if not self._sending:
            self._sending = True
            gevent.spawn(self._flush)

    def close(self) -> None:
        """Shut the connection down; its reader gets end of file."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError as err:
            logger.bind(error=str(err)).debug("slot_link_already_closed")

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
