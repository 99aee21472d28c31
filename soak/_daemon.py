"""Runs one daemon of a soak, with links to targets that fail as a file says.

Usage: python soak/_daemon.py LINKS_FILE

A link can't be cut from outside for one process alone, so connections to the listed ports fail
inside it: new ones are refused or hang, open ones hang or are reset.
"""

from __future__ import annotations

import errno
import faulthandler
import json
import sys
from pathlib import Path
from typing import Any

import gevent
from gevent import socket

POLL_S = 0.02


class LinkFaults:
    """What the file says: the ``ports`` that are cut off, and how.

    ``new`` connections refuse or hang, for ``open`` ones it is reset, hang or none.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._text = ""
        self.ports: frozenset[int] = frozenset()
        self.new = self.open = ""
        self.sockets: set[FaultySocket] = set()

    def run(self) -> None:
        """Follow the file."""
        while True:
            text = self._path.read_text() if self._path.exists() else ""
            if text != self._text:
                self._text = text
                self._apply(json.loads(text or "{}"))
            gevent.sleep(POLL_S)

    def _apply(self, row: dict[str, Any]) -> None:
        self.ports = frozenset(row.get("ports", ()))
        self.new, self.open = row.get("new", ""), row.get("open", "")
        for sock in list(self.sockets):
            if self.open == "reset" and sock.port in self.ports:
                sock.break_off()
            elif not sock.hangs:
                sock.send_held()


class FaultySocket(socket.socket):
    """A socket whose connection to a cut-off port fails."""

    faults: LinkFaults

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.port = 0
        self._held = b""
        self._broken = False

    @property
    def hangs(self) -> bool:
        return self.faults.open == "hang" and self.port in self.faults.ports

    def connect(self, address: Any) -> None:
        if address[1] in self.faults.ports:
            if self.faults.new == "refuse":
                raise ConnectionRefusedError(errno.ECONNREFUSED, "the link is cut")
            self._wait_while(lambda: address[1] in self.faults.ports)
        super().connect(address)
        self.port = address[1]
        self.faults.sockets.add(self)

    def recv(self, *args: Any) -> bytes:
        if self._broken:
            raise ConnectionResetError(errno.ECONNRESET, "the link is cut")
        data = super().recv(*args)
        if self._broken:
            raise ConnectionResetError(errno.ECONNRESET, "the link is cut")
        if data and self.hangs:
            self._wait_while(lambda: self.hangs)
        return data

    def send(self, data: Any, *args: Any, **kwargs: Any) -> int:
        if self._broken:
            raise BrokenPipeError(errno.EPIPE, "the link is cut")
        if self.hangs or self._held:
            self._held += bytes(data)
            return len(data)
        return super().send(data, *args, **kwargs)

    def close(self) -> None:
        self.faults.sockets.discard(self)
        super().close()

    def break_off(self) -> None:
        """Reset the connection as its link would."""
        self._broken = True
        self.faults.sockets.discard(self)
        try:
            self.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def send_held(self) -> None:
        """Send what was held up."""
        held, self._held = self._held, b""
        if held and not self._broken:
            gevent.spawn(self._send_all, held)

    def _send_all(self, data: bytes) -> None:
        try:
            super().sendall(data)
        except OSError:
            return

    def _wait_while(self, is_held: Any) -> None:
        """Wait while a condition holds, at most for the time-out of the socket."""
        with gevent.Timeout(self.gettimeout(), TimeoutError("timed out")):
            while is_held() and not self.closed:
                gevent.sleep(POLL_S)


def main() -> int:
    """Install the faults and run the daemon. SIGABRT logs where all its threads are."""
    faulthandler.enable()
    FaultySocket.faults = LinkFaults(Path(sys.argv[1]))
    socket.socket = FaultySocket  # type: ignore[misc]
    gevent.spawn(FaultySocket.faults.run)
    sys.argv = sys.argv[:1]
    from clementinepin.serve import main as serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
