"""Connections to targets on behalf of other instances, by this instance's own links."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent.event import Event
from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.peers import PeerNetwork
from clementinepin.targets import TargetAddress, TargetSocket, connect_directly
from clementinepin.targets.exceptions import TargetNotReachedError
from clementinepin.tunnels import _messages as messages

LOG_PREFIX: Final = "tunnels:"
READ_SIZE_BYTES: Final = 65_536
HELD_MAX_BYTES: Final = 262_144  # read from a target ahead of its reader
TUNNELS_MAX: Final = 128  # each keeps one of the 256 handlers of the peer network waiting
WAIT_MAX_S: Final = 2.0
UNUSED_MAX_S: Final = 3.0  # a reader asks again at once, so its instance is lost
SWEEP_PERIOD_S: Final = 0.5


class _Tunnel:
    """The far end of a tunnel: a connection to a target and what was read from it."""

    def __init__(self, sock: TargetSocket, peer: str, now: float) -> None:
        self.sock = sock
        self.peer = peer
        self.used_at = now
        self.held = bytearray()
        self.ended = False
        self.broken = False
        self.changed = Event()
        self.taken = Event()
        self._reader = gevent.spawn(self._read)

    def _read(self) -> None:
        """Read ahead, up to HELD_MAX_BYTES, until the connection ends."""
        try:
            while data := self.sock.recv(READ_SIZE_BYTES):
                self.held += data
                self.changed.set()
                while len(self.held) >= HELD_MAX_BYTES:
                    self.taken.clear()
                    self.taken.wait()
        except OSError as err:
            logger.debug("{} The connection of a target broke: {}.", LOG_PREFIX, err)
            self.broken = True
        self.ended = True
        self.changed.set()

    def take(self, wait_s: float) -> messages.ReceiveReply:
        """Return what was read, waiting for it if there is nothing."""
        if not self.held and not self.ended:
            self.changed.clear()
            self.changed.wait(wait_s)
        data = bytes(self.held)
        self.held.clear()
        self.taken.set()
        return messages.ReceiveReply(data=data, ended=self.ended, broken=self.broken)

    def close(self) -> None:
        """Close the connection, so that the target stops its work."""
        self._reader.kill(block=False)
        self.sock.close()


class TunnelServer:
    """Serves the tunnels of other instances. ``find_target`` returns the address of a target."""

    def __init__(
        self,
        peers: PeerNetwork,
        clock: Clock,
        find_target: Callable[[str], TargetAddress | None],
    ) -> None:
        self._clock = clock
        self._find_target = find_target
        self._numbers = itertools.count(1)
        self._tunnels: dict[int, _Tunnel] = {}
        peers.register(messages.METHOD_OPEN, self._open)
        peers.register(messages.METHOD_SEND, self._send)
        peers.register(messages.METHOD_RECEIVE, self._receive)
        peers.register(messages.METHOD_CLOSE, self._close)

    @property
    def open_count(self) -> int:
        """Return the number of open tunnels."""
        return len(self._tunnels)

    def sweep(self) -> None:
        """Close tunnels whose instance asks for nothing any more, as it is lost."""
        now = self._clock.monotonic()
        for number, tunnel in list(self._tunnels.items()):
            if now - tunnel.used_at >= UNUSED_MAX_S + WAIT_MAX_S:
                logger.info("{} The tunnel of {} is unused, closing it.", LOG_PREFIX, tunnel.peer)
                del self._tunnels[number]
                tunnel.close()

    def close(self) -> None:
        """Close all tunnels."""
        for tunnel in self._tunnels.values():
            tunnel.close()
        self._tunnels.clear()

    def _open(self, sender: str, message: dict[str, Any]) -> messages.OpenReply:
        target = self._find_target(message["target"])
        if target is None or len(self._tunnels) >= TUNNELS_MAX:
            failure = "no such target is known" if target is None else "too many tunnels are open"
            return messages.OpenReply(tunnel=0, failure=failure, refused=False)
        deadline = self._clock.monotonic() + message["timeout_s"]
        try:
            sock = connect_directly(target, deadline, self._clock)
        except TargetNotReachedError as err:
            return messages.OpenReply(tunnel=0, failure=err.message, refused=err.refused)
        sock.settimeout(None)
        number = next(self._numbers)
        self._tunnels[number] = _Tunnel(sock, sender, self._clock.monotonic())
        return messages.OpenReply(tunnel=number, failure="", refused=False)

    def _send(self, sender: str, message: dict[str, Any]) -> messages.SendReply:
        tunnel = self._use(sender, message["tunnel"])
        if tunnel is None:
            return messages.SendReply(sent=False)
        try:
            tunnel.sock.sendall(message["data"])
        except OSError as err:
            logger.debug("{} A target took no bytes: {}.", LOG_PREFIX, err)
            return messages.SendReply(sent=False)
        return messages.SendReply(sent=True)

    def _receive(self, sender: str, message: dict[str, Any]) -> messages.ReceiveReply:
        tunnel = self._use(sender, message["tunnel"])
        if tunnel is None:
            return messages.ReceiveReply(data=b"", ended=True, broken=True)
        return tunnel.take(min(message["wait_s"], WAIT_MAX_S))

    def _close(self, sender: str, message: dict[str, Any]) -> dict[str, Any]:
        tunnel = self._use(sender, message["tunnel"])
        if tunnel is not None:
            del self._tunnels[message["tunnel"]]
            tunnel.close()
        return {}

    def _use(self, sender: str, number: int) -> _Tunnel | None:
        """Return a tunnel of the sender, or None if it has no such tunnel."""
        tunnel = self._tunnels.get(number)
        if tunnel is None or tunnel.peer != sender:
            return None
        tunnel.used_at = self._clock.monotonic()
        return tunnel
