"""The near end of a tunnel, with the methods of a socket that connections to targets use."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.clock import Clock
from clementinepin.peers import PeerNetwork
from clementinepin.targets.exceptions import RelayLostError
from clementinepin.tunnels import _messages as messages

LOG_PREFIX: Final = "tunnels:"
WAIT_S: Final = 2.0
CALL_TIMEOUT_S: Final = 1.0  # for a call that waits for nothing
SEND_TIMEOUT_S: Final = 5.0  # a target may read a long request slowly
SEND_SIZE_BYTES: Final = 65_536
HELD_MAX_BYTES: Final = 262_144


class PeerChannel:
    """A tunnel through one peer.

    A greenlet reads ahead, so that an idle connection shows whether it was closed.
    """

    def __init__(self, peers: PeerNetwork, clock: Clock, peer: str, number: int) -> None:
        self._peers = peers
        self._clock = clock
        self._peer = peer
        self._number = number
        self._timeout_s: float | None = None
        self._held = bytearray()
        self._failure: OSError | None = None
        self._ended = False
        self._closed = False
        self._changed = Event()
        self._taken = Event()
        self._reader = gevent.spawn(self._read)

    def send(self, data: memoryview) -> int:
        """Send a first part of the data and return its size.

        Raises RelayLostError; the bytes may have been passed on then.
        """
        piece = bytes(data[:SEND_SIZE_BYTES])
        message = messages.SendMessage(tunnel=self._number, data=piece)
        timeout_s = SEND_TIMEOUT_S if self._timeout_s is None else self._timeout_s
        try:
            reply = messages.read_message(
                self._call(messages.METHOD_SEND, message, min(timeout_s, SEND_TIMEOUT_S)),
                messages.SendReply,
            )
        except (ClementinepinError, msgspec.DecodeError) as err:
            self._fail(RelayLostError(f"{self._peer}: {err}"))
        else:
            if not reply["sent"]:
                self._fail(ConnectionResetError("the target's connection broke"))
        # What was sent may have arrived, so that the next read reports the failure, not this call.
        return len(piece)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return bytes of the target, none at the end of its connection.

        Raises ConnectionResetError if that broke, and RelayLostError if the tunnel did.
        """
        if flags & socket.MSG_PEEK:
            if self._held or self._ended or self._failure is not None:
                return b"-"
            raise BlockingIOError
        while not self._held:
            if self._closed:
                return b""
            if self._failure is not None:
                raise self._failure
            if self._ended:
                return b""
            self._changed.clear()
            self._changed.wait()
        data = bytes(self._held[:size])
        del self._held[:size]
        self._taken.set()
        return data

    def settimeout(self, timeout_s: float | None) -> None:
        """Limit the time of each later send."""
        self._timeout_s = timeout_s

    def shutdown(self, _how: int) -> None:
        """End the tunnel, so that a reader in another greenlet wakes up."""
        self.close()

    def close(self) -> None:
        """Close the tunnel; the peer then closes its connection to the target."""
        if self._closed:
            return
        self._closed = True
        self._changed.set()
        self._taken.set()
        gevent.spawn(self._close_far_end)

    def _read(self) -> None:
        """Read ahead, up to HELD_MAX_BYTES, until the tunnel ends."""
        while not self._closed and not self._ended and self._failure is None:
            message = messages.ReceiveMessage(tunnel=self._number, wait_s=WAIT_S)
            try:
                reply = messages.read_message(
                    self._call(messages.METHOD_RECEIVE, message, WAIT_S + CALL_TIMEOUT_S),
                    messages.ReceiveReply,
                )
            except (ClementinepinError, msgspec.DecodeError) as err:
                self._fail(RelayLostError(f"{self._peer}: {err}"))
                return
            self._held += reply["data"]
            if reply["broken"]:
                self._fail(ConnectionResetError("the target's connection broke"))
            self._ended = bool(reply["ended"])
            self._changed.set()
            while len(self._held) >= HELD_MAX_BYTES and not self._closed:
                self._taken.clear()
                self._taken.wait()

    def _fail(self, failure: OSError) -> None:
        self._failure = self._failure or failure
        self._changed.set()

    def _close_far_end(self) -> None:
        try:
            message = messages.CloseMessage(tunnel=self._number)
            self._call(messages.METHOD_CLOSE, message, CALL_TIMEOUT_S)
        except ClementinepinError as err:
            logger.debug("{} {} was not told to close: {}.", LOG_PREFIX, self._peer, err)

    def _call(self, method: str, message: Mapping[str, Any], timeout_s: float) -> dict[str, Any]:
        deadline = self._clock.monotonic() + timeout_s
        return self._peers.call(self._peer, method, message, deadline=deadline)
