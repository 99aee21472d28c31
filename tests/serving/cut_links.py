"""Links between one instance and one target that fail while the target goes on for others."""

from __future__ import annotations

import struct
from enum import StrEnum
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

from tests.ports import find_port

BACKLOG_FILLED_S = 0.1  # a connection that takes longer on loopback is held up by a full backlog


class Manner(StrEnum):
    """How a cut link treats new connections."""

    HANG = "hang"
    REFUSE = "refuse"


class Effect(StrEnum):
    """What a cut does to open connections."""

    HANG = "hang"
    RESET = "reset"
    NONE = "none"


class CutLink:
    """An address that one instance knows for a target, and at which it never reaches it."""

    def __init__(self, manner: Manner, port: int = 0) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(("127.0.0.1", port or find_port()))
        self.port: int = self._listener.getsockname()[1]
        self._fillers: list[socket.socket] = []
        if manner is Manner.HANG:
            self._listener.listen(0)
            self._fill_backlog()

    def _fill_backlog(self) -> None:
        """Connect until the kernel leaves further connections unanswered."""
        while True:
            filler = socket.socket()
            self._fillers.append(filler)
            with gevent.Timeout(BACKLOG_FILLED_S, False):
                filler.connect(("127.0.0.1", self.port))
                continue
            return

    def stop(self) -> None:
        for sock in (*self._fillers, self._listener):
            sock.close()


class Link:
    """A link from one instance to one target that works until it is cut."""

    def __init__(self, target_port: int, effect: Effect) -> None:
        self._target_port = target_port
        self._effect = effect
        self._is_cut = False
        self._sockets: list[Any] = []
        self._cut_link: CutLink | None = None
        self._server = StreamServer(("127.0.0.1", find_port()), self._serve)
        self._server.start()
        self.port: int = self._server.server_port

    def cut(self, manner: Manner) -> None:
        """Fail open connections, and new ones in the given manner. The target notices nothing."""
        self._is_cut = True
        self._server.close()
        self._cut_link = CutLink(manner, self.port)
        if self._effect is Effect.RESET:
            for sock in self._sockets:
                reset(sock)

    def stop(self) -> None:
        self._server.stop(timeout=0)
        if self._cut_link is not None:
            self._cut_link.stop()
        for sock in self._sockets:
            sock.close()

    def _serve(self, sock: Any, _peer: Any) -> None:
        upstream = socket.create_connection(("127.0.0.1", self._target_port))
        self._sockets.append(sock)
        back = gevent.spawn(self._copy, upstream, sock)
        self._copy(sock, upstream)
        back.join()

    def _copy(self, source: Any, sink: Any) -> None:
        try:
            while data := source.recv(65_536):
                if self._is_cut and self._effect is not Effect.NONE:
                    return
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            return


def reset(sock: Any) -> None:
    """Close a connection with a reset, also under another greenlet that reads from it."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
