"""Links between one instance and one target that fail while the target goes on for others."""

from __future__ import annotations

from enum import StrEnum

import gevent
from gevent import socket

BACKLOG_FILLED_S = 0.1  # a connection that takes longer on loopback is held up by a full backlog


class Manner(StrEnum):
    """How a cut link treats new connections."""

    HANG = "hang"
    REFUSE = "refuse"


class CutLink:
    """An address that one instance knows for a target, and at which it never reaches it."""

    def __init__(self, manner: Manner) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
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
