"""Loopback proxy that delays, resets, cuts one way or silences what passes through it."""

from __future__ import annotations

from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

READ_SIZE_BYTES = 65_536
POLL_S = 0.02


class Proxy:
    """Forwards one port and harms what passes.

    ``delay_s`` holds each piece; ``deaf`` holds what comes from callers until it is lifted,
    ``mute`` what goes to them; ``refusing`` resets new connections.
    """

    def __init__(self, upstream: tuple[str, int]) -> None:
        self.upstream = upstream
        self.delay_s = 0.0
        self.deaf = False
        self.mute = False
        self.refusing = False
        self._pairs: set[tuple[Any, Any]] = set()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.port: int = self._server.server_port

    def reset_all(self) -> None:
        """Break all connections."""
        for pair in list(self._pairs):
            for sock in pair:
                sock.close()

    def clear(self) -> None:
        """Lift all faults."""
        self.delay_s, self.deaf, self.mute, self.refusing = 0.0, False, False, False

    def stop(self) -> None:
        """Close the port and all connections."""
        self._server.stop(timeout=0)
        self.reset_all()

    def _serve(self, sock: Any, _peer: Any) -> None:
        if self.refusing:
            sock.close()
            return
        try:
            other = socket.create_connection(self.upstream, timeout=2.0)
            other.settimeout(None)
        except OSError:
            sock.close()
            return
        pair = (sock, other)
        self._pairs.add(pair)
        back = gevent.spawn(self._pump, other, sock, "mute")
        try:
            self._pump(sock, other, "deaf")
        finally:
            back.kill()
            self._pairs.discard(pair)
            sock.close()
            other.close()

    def _pump(self, source: Any, sink: Any, fault: str) -> None:
        try:
            while data := source.recv(READ_SIZE_BYTES):
                if self.delay_s:
                    gevent.sleep(self.delay_s)
                while getattr(self, fault):
                    gevent.sleep(POLL_S)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            sink.close()
