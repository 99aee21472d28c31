"""Loopback proxy with faults: delays, resets and data held back in either direction."""

from __future__ import annotations

import struct
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

READ_SIZE_BYTES = 65_536
POLL_S = 0.02
BUFFER_BYTES = 65_536  # a proxy that holds up data must not take a long request by itself
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset(sock: Any) -> None:
    """Close a connection with a reset; has no effect on a closed one."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError:
        return
    sock.close()


class Proxy:
    """Forwards connections of one port to ``upstream`` and injects faults.

    A connection that breaks on one side is reset on the other one.

    ``delay_s`` delays each piece of data. ``hold_requests`` holds back data from clients,
    ``hold_replies`` data to clients; ``refusing`` closes new connections at once.
    """

    def __init__(self, upstream: tuple[str, int]) -> None:
        self.upstream = upstream
        self.delay_s = 0.0
        self.hold_requests = False
        self.hold_replies = False
        self.refusing = False
        self._connections: set[tuple[Any, Any]] = set()
        self.port = 0
        self._server: StreamServer
        self.open_port()

    @property
    def is_open(self) -> bool:
        """Return whether the port is open."""
        return bool(self._server.started)

    def open_port(self) -> None:
        """Listen on the port, on a free one for the first time."""
        self._server = StreamServer(("127.0.0.1", self.port), self._serve)
        self._server.init_socket()
        self._server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self._server.start()
        self.port = self._server.server_port

    def close_port(self) -> None:
        """Refuse new connections; open ones stay."""
        self._server.close()

    def reset_connections(self) -> None:
        """Close all connections on both sides."""
        for pair in list(self._connections):
            for sock in pair:
                sock.close()

    def clear(self) -> None:
        """End all faults; data that was held back goes on."""
        self.delay_s, self.hold_requests, self.hold_replies, self.refusing = (
            0.0,
            False,
            False,
            False,
        )

    def stop(self) -> None:
        """Close the port and all connections."""
        self._server.stop(timeout=0)
        self.reset_connections()

    def _serve(self, sock: Any, _peer: Any) -> None:
        if self.refusing:
            sock.close()
            return
        try:
            upstream_socket = socket.create_connection(self.upstream, timeout=2.0)
            upstream_socket.settimeout(None)
            upstream_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        except OSError:
            sock.close()
            return
        pair = (sock, upstream_socket)
        self._connections.add(pair)
        reply_forwarder = gevent.spawn(self._forward, upstream_socket, sock, "hold_replies")
        try:
            self._forward(sock, upstream_socket, "hold_requests")
        finally:
            reply_forwarder.kill()
            self._connections.discard(pair)
            sock.close()
            upstream_socket.close()

    def _forward(self, source: Any, sink: Any, fault: str) -> None:
        """Forward data one way; hold it back while the attribute named ``fault`` is set."""
        try:
            while data := source.recv(READ_SIZE_BYTES):
                if self.delay_s:
                    gevent.sleep(self.delay_s)
                while getattr(self, fault):
                    gevent.sleep(POLL_S)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # The other direction may get an end of file behind the failure that this one got.
            reset(source)
            reset(sink)
