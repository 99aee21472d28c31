"""Tunnels to targets through other instances, for an instance whose own links to them fail.

The bytes of a connection to a target travel in frames, and its end is a message of its own: an
instance that is lost ends its connections as a target ends a response without framing.
"""

from __future__ import annotations

from typing import Any, Final

import gevent
from gevent import socket
from gevent.lock import BoundedSemaphore
from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.serving import _messages as messages
from clementinepin.serving._fleet import FleetView
from clementinepin.serving._links import CONNECT_TIMEOUT_S, LinkServer, set_options
from clementinepin.tables.leaving import TargetStart
from clementinepin.targets import Relay, TargetAddress, TargetSocket, connect_directly
from clementinepin.targets.exceptions import RelayLostError, TargetNotReachedError

READ_SIZE_BYTES: Final = 65_536
KEEPALIVE_S: Final = 1
NEAR_TIMEOUT_MS: Final = 3_000  # as on connections to targets
# A caller that reads slowly holds up the bytes on their way to it, and is no lost instance.
FAR_TIMEOUT_MS: Final = 15_000


class _Tunnel:
    """The far end of a tunnel. Its messages are written one after the other."""

    def __init__(self, sock: Any, target_id: str) -> None:
        self.target_id = target_id
        self._sock = sock
        self._write_lock = BoundedSemaphore(1)

    def send(self, message: messages.Message) -> None:
        """Send a message. Raises OSError if the other instance is gone."""
        with self._write_lock:
            self._sock.sendall(messages.pack_message(message))

    def announce_leaving(self) -> None:
        """Let the user close the tunnel after its request."""
        try:
            self.send(messages.TunnelLeaving())
        except OSError as err:
            logger.bind(error=str(err)).info("tunnel_broke")

    def send_responses(self, target_sock: TargetSocket) -> None:
        """Pass the target's bytes on, and how they end."""
        try:
            while (data := _read_target(target_sock)) is not None:
                if not data:
                    self.send(messages.TunnelEnded(broken=False))
                    return
                self.send(messages.TunnelData(data))
            self.send(messages.TunnelEnded(broken=True))
        except OSError as err:
            logger.bind(error=str(err)).info("tunnel_broke")

    def close(self) -> None:
        """Close the tunnel."""
        self._sock.close()


class TunnelServer:
    """Connects other instances to targets by this instance's own links."""

    def __init__(self, links: LinkServer, fleet: FleetView, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._leaving = False
        self._tunnels: set[_Tunnel] = set()
        links.take_over(messages.OpenTunnel, self._serve)
        fleet.targets.leaving_listeners.append(self._leave_target)

    @property
    def open_count(self) -> int:
        """Return the number of open tunnels."""
        return len(self._tunnels)

    def leave(self) -> None:
        """Open no more tunnels, and let the users of open ones close them after their requests."""
        self._leaving = True
        for tunnel in list(self._tunnels):
            gevent.spawn(tunnel.announce_leaving)

    def _leave_target(self, start: TargetStart) -> None:
        """Let the users of tunnels to a target that leaves close them after their requests."""
        for tunnel in list(self._tunnels):
            if tunnel.target_id == start.target_id:
                gevent.spawn(tunnel.announce_leaving)

    def _serve(self, sock: Any, reader: messages.FrameReader, request: messages.OpenTunnel) -> None:
        """Connect to the target and pass bytes on until one side closes its connection."""
        try:
            target_sock = self._connect(request)
        except TargetNotReachedError as err:
            log = logger.bind(target=request.target_id, error=str(err))
            log.info("tunnel_refused")
            sock.sendall(messages.pack_message(messages.TunnelOpened(err.message, err.refused)))
            return
        set_tunnel_options(sock, FAR_TIMEOUT_MS)
        tunnel = _Tunnel(sock, request.target_id)
        self._tunnels.add(tunnel)
        backward = None
        try:
            tunnel.send(messages.TunnelOpened())
            backward = gevent.spawn(tunnel.send_responses, target_sock)
            _send_requests(sock, reader, target_sock)
        finally:
            self._tunnels.discard(tunnel)
            target_sock.close()
            if backward is not None:
                backward.kill(block=False)

    def _connect(self, request: messages.OpenTunnel) -> TargetSocket:
        """Return a connected socket. Raises TargetNotReachedError."""
        target = self._fleet.targets.find_usable(request.target_id, "")
        if target is None or self._leaving:
            reason = "this instance is leaving" if self._leaving else "no such target is known here"
            raise TargetNotReachedError(reason)
        address = TargetAddress(target.target_id, target.host, target.port)
        deadline = self._clock.monotonic() + request.timeout_s
        sock = connect_directly(address, deadline, self._clock)
        sock.settimeout(None)
        return sock


def _send_requests(sock: Any, reader: messages.FrameReader, target_sock: TargetSocket) -> None:
    """Pass bytes on to the target until the other instance closes the tunnel."""
    while data := sock.recv(READ_SIZE_BYTES):
        for message in reader.feed(data):
            if isinstance(message, messages.TunnelData):
                target_sock.sendall(message.data)


def _read_target(target_sock: TargetSocket) -> bytes | None:
    """Return bytes of a target, none at the end of its connection, and None if that broke."""
    try:
        return target_sock.recv(READ_SIZE_BYTES)
    except OSError as err:
        logger.bind(error=str(err)).info("tunnel_target_broke")
        return None


def set_tunnel_options(sock: Any, timeout_ms: int) -> None:
    """Detect an instance that stops responding, also while no bytes are on their way."""
    set_options(sock)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)


class TunnelChannel:
    """The near end of a tunnel, with the methods of a socket that connections use.

    After the relay announced that it leaves, the channel has something to read, so that it is not
    used for another request.
    """

    def __init__(self, sock: Any, reader: messages.FrameReader) -> None:
        self._sock = sock
        self._reader = reader
        self._received = bytearray()
        self._end: messages.TunnelEnded | None = None
        self._is_leaving = False

    def send(self, data: memoryview) -> int:
        """Send a first part of the data; a frame that was not sent whole is never passed on."""
        piece = bytes(data[:READ_SIZE_BYTES])
        self._sock.sendall(messages.pack_message(messages.TunnelData(piece)))
        return len(piece)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return bytes of the target, none at the end of its connection.

        Raises ConnectionResetError if that broke, and RelayLostError if the tunnel did.
        """
        if flags & socket.MSG_PEEK:
            return self._peek()
        while not self._received:
            if self._end is not None:
                if self._end.broken:
                    raise ConnectionResetError("the target's connection broke")
                return b""
            self._receive()
        data = bytes(self._received[:size])
        del self._received[:size]
        return data

    def settimeout(self, timeout_s: float | None) -> None:
        """Limit the time of each later call."""
        self._sock.settimeout(timeout_s)

    def shutdown(self, how: int) -> None:
        """End the tunnel, so that a reader in another greenlet wakes up."""
        self._sock.shutdown(how)

    def close(self) -> None:
        """Close the tunnel; the relay then closes its connection to the target."""
        self._sock.close()

    def _peek(self) -> bytes:
        """Return something if the channel can't carry another request, else raise OSError."""
        if self._received or self._end is not None or self._is_leaving:
            return b"-"
        return bytes(self._sock.recv(1, socket.MSG_PEEK))

    def _receive(self) -> None:
        data = self._sock.recv(READ_SIZE_BYTES)
        if not data:
            raise RelayLostError("the relay closed the tunnel")
        try:
            received = self._reader.feed(data)
        except ValueError as err:
            raise RelayLostError(f"the relay sent an invalid frame: {err}") from err
        for message in received:
            if isinstance(message, messages.TunnelData):
                self._received += message.data
            elif isinstance(message, messages.TunnelEnded):
                self._end = message
            elif isinstance(message, messages.TunnelLeaving):
                self._is_leaving = True


class TunnelClient:
    """Opens tunnels through other instances."""

    def __init__(self, fleet: FleetView, own_name: str, clock: Clock) -> None:
        self._fleet = fleet
        self._own_name = own_name
        self._clock = clock

    def list_relays(self) -> list[Relay]:
        """Return the other instances.

        Job runners are asked first: links are mostly lost by entries, and by a whole data centre
        of them.
        """
        members = self._fleet.list_relays()
        return [Relay(m.name, not m.runs_jobs) for m in members if m.name != self._own_name]

    def open(self, name: str, target: TargetAddress, deadline: float) -> TunnelChannel:
        """Return a tunnel through one instance. Raises TargetNotReachedError."""
        relay = self._fleet.members.rows.get(name)
        if relay is None:
            raise TargetNotReachedError(f"instance {name!r} is gone")
        sock = socket.socket()
        try:
            timeout_s = max(0.0, deadline - self._clock.monotonic())
            sock.settimeout(min(CONNECT_TIMEOUT_S, timeout_s))
            sock.connect((relay.host, relay.link_port))
            set_tunnel_options(sock, NEAR_TIMEOUT_MS)
            sock.settimeout(timeout_s)
            sock.sendall(messages.pack_message(messages.OpenTunnel(target.name, timeout_s)))
            reader = messages.FrameReader()
            reply = _read_reply(sock, reader)
        except (OSError, ValueError) as err:
            sock.close()
            raise TargetNotReachedError(str(err)) from err
        if reply.failure:
            sock.close()
            raise TargetNotReachedError(reply.failure, refused=reply.refused)
        sock.settimeout(None)
        return TunnelChannel(sock, reader)


def _read_reply(sock: Any, reader: messages.FrameReader) -> messages.TunnelOpened:
    """Return the relay's reply. Raises OSError or ValueError if there is none."""
    while True:
        data = sock.recv(READ_SIZE_BYTES)
        if not data:
            raise RelayLostError("closed without a reply")
        for reply in reader.feed(data):
            if not isinstance(reply, messages.TunnelOpened):
                raise ValueError(f"unexpected reply {reply!r}")
            return reply
