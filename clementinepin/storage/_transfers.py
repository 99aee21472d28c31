"""Transfer of segment copies between instances, in chunks below the peer message limit."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NotRequired, TypedDict

import gevent
import msgspec
from loguru import logger

from clementinepin.core import Core
from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.decoding import guard_decoder
from clementinepin.peers import PeerNetwork
from clementinepin.storage._codec import SEGMENT_MAX_BYTES, StoredFile, decompress
from clementinepin.storage._folder import SegmentFolder
from clementinepin.storage.exceptions import SegmentLostError, StorageUnavailableError
from clementinepin.tables import HolderRow

LOG_PREFIX = "storage:"
METHOD_PUT = "storage.put"
METHOD_GET = "storage.get"
CHUNK_BYTES = 1_000_000
TRANSFER_TIMEOUT_S = 5.0
UPLOADS_MAX = 64


class PutMessage(TypedDict):
    """A chunk of a copy to store; the last chunk makes the copy durable.

    ``offset`` and ``size_bytes`` refer to the whole frame; ``keep_until`` is in wall-clock seconds.
    """

    name: str
    folder_id: str
    offset: int
    size_bytes: int
    holders: tuple[str, ...]
    keep_until: float
    data: bytes


class GetMessage(TypedDict):
    """Requests the chunk of a copy at ``offset``."""

    name: str
    folder_id: str
    offset: int


class GetReply(TypedDict):
    """A chunk of a copy; ``size_bytes`` is the size of the whole frame."""

    found: bool
    data: NotRequired[bytes]
    size_bytes: NotRequired[int]


_convert = guard_decoder(msgspec.convert)


class _Upload:
    """The part of a copy that has arrived; its sender gives up before ``expires_at``."""

    def __init__(self) -> None:
        self.frame = bytearray()
        self.expires_at = 0.0


class SegmentTransfers:
    """Sends copies to and fetches copies from folders, and serves the own folder to peers."""

    def __init__(self, core: Core, peers: PeerNetwork, folder: SegmentFolder | None) -> None:
        self._core = core
        self._peers = peers
        self._folder = folder
        self._uploads: dict[tuple[str, str], _Upload] = {}
        peers.register(METHOD_PUT, self._serve_put)
        peers.register(METHOD_GET, self._serve_get)

    def send_all(self, rows: Sequence[HolderRow], name: str, stored: StoredFile) -> list[HolderRow]:
        """Copy to several folders concurrently; return those where the copy is durable."""
        greenlets = [gevent.spawn(self._try_send, row, name, stored) for row in rows]
        gevent.joinall(greenlets)
        return [row for row, greenlet in zip(rows, greenlets, strict=True) if greenlet.value]

    def send(self, row: HolderRow, name: str, stored: StoredFile) -> None:
        """Copy to one folder.

        Raise StorageUnavailableError if the folder refuses the copy, and PeerUnavailableError if
        its instance can't be reached.
        """
        if self._is_own(row.folder_id):
            self._put_own(name, stored)
            return
        deadline = self._core.clock.monotonic() + TRANSFER_TIMEOUT_S
        for offset in range(0, len(stored.frame), CHUNK_BYTES):
            message: PutMessage = {
                "name": name,
                "folder_id": row.folder_id,
                "offset": offset,
                "size_bytes": len(stored.frame),
                "holders": stored.holders,
                "keep_until": stored.keep_until,
                "data": stored.frame[offset : offset + CHUNK_BYTES],
            }
            reply = self._peers.call(row.instance, METHOD_PUT, message, deadline=deadline)
            if not reply.get("accepted"):
                raise StorageUnavailableError(f"{row.instance} refused a copy of segment {name}")

    def fetch(self, row: HolderRow, name: str) -> bytes:
        """Return the frame of a segment from one folder, verified against the name.

        Raise SegmentLostError if the copy is missing or damaged, and PeerUnavailableError if the
        instance can't be reached.
        """
        if self._is_own(row.folder_id) and self._folder is not None:
            frame = self._folder.read(name).frame
        else:
            frame = self._fetch_chunks(row, name)
        decompress(name, frame)
        return frame

    def _fetch_chunks(self, row: HolderRow, name: str) -> bytes:
        deadline = self._core.clock.monotonic() + TRANSFER_TIMEOUT_S
        frame = bytearray()
        while True:
            message: GetMessage = {
                "name": name,
                "folder_id": row.folder_id,
                "offset": len(frame),
            }
            reply = self._peers.call(row.instance, METHOD_GET, message, deadline=deadline)
            try:
                chunk = _convert(reply, GetReply)
            except msgspec.DecodeError as err:
                raise SegmentLostError(f"{name}: {row.instance} sent {err}") from err
            data = chunk.get("data", b"")
            if not chunk["found"] or not data:
                raise SegmentLostError(name)
            frame += data
            if len(frame) >= chunk.get("size_bytes", 0):
                return bytes(frame)
            if len(frame) > SEGMENT_MAX_BYTES:
                raise SegmentLostError(f"{name}: {row.instance} sent more than a segment")

    def _try_send(self, row: HolderRow, name: str, stored: StoredFile) -> bool:
        try:
            self.send(row, name, stored)
        except ClementinepinError as err:
            self._core.metrics.incr(f"storage.copies_failed.{err.code}")
            return False
        return True

    def _serve_put(self, sender: str, raw: dict[str, Any]) -> dict[str, Any]:
        """Accept a chunk for the own folder; the last chunk stores the copy.

        A chunk for an earlier folder of this instance is refused, because that folder is gone
        with its other copies.
        """
        try:
            message = _convert(raw, PutMessage)
        except msgspec.DecodeError as err:
            logger.warning("{} Refused a copy of {}: {}.", LOG_PREFIX, sender, err)
            return {"accepted": False}
        if not self._is_own(message["folder_id"]):
            return {"accepted": False}
        now = self._core.clock.monotonic()
        self._uploads = {k: u for k, u in self._uploads.items() if now < u.expires_at}
        key = (sender, message["name"])
        upload = self._uploads.setdefault(key, _Upload())
        upload.expires_at = now + TRANSFER_TIMEOUT_S
        if message["offset"] == 0:
            upload.frame.clear()
        if message["offset"] != len(upload.frame) or len(self._uploads) > UPLOADS_MAX:
            del self._uploads[key]
            return {"accepted": False}
        upload.frame += message["data"]
        if len(upload.frame) < message["size_bytes"]:
            return {"accepted": True}
        del self._uploads[key]
        stored = StoredFile(bytes(upload.frame), message["holders"], message["keep_until"])
        try:
            decompress(message["name"], stored.frame)
            self._put_own(message["name"], stored)
        except ClementinepinError as err:
            return {"accepted": False, "code": err.code}
        return {"accepted": True}

    def _serve_get(self, sender: str, message: dict[str, Any]) -> dict[str, Any]:
        """Return a chunk of a copy; a missing or damaged copy is queued for replacement."""
        if self._folder is None:
            return {"found": False}
        try:
            frame = self._folder.read(message["name"]).frame
        except SegmentLostError:
            return {"found": False}
        offset = message["offset"]
        data = frame[offset : offset + CHUNK_BYTES]
        return {"found": True, "size_bytes": len(frame), "data": data}

    def _is_own(self, folder_id: str) -> bool:
        return self._folder is not None and self._folder.folder_id == folder_id != ""

    def _put_own(self, name: str, stored: StoredFile) -> None:
        if self._folder is None:
            raise StorageUnavailableError("this instance has no data folder")
        self._folder.put(name, stored)
