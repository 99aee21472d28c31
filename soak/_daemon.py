"""Runs one daemon of a soak, with links to targets and other instances that fail as a file says.

Usage: python soak/_daemon.py LINKS_FILE

A link can't be cut from outside for one process alone, so connections to the listed addresses fail
inside it: new ones are refused or hang, open ones hang or are reset.
"""

from __future__ import annotations

import errno
import faulthandler
import json
import sys
from pathlib import Path
from typing import Any, NamedTuple

import gevent
from gevent import socket

POLL_S = 0.02
INTERNAL_PORTS = range(7720, 7736)


class Cut(NamedTuple):
    """Links that are cut: all to the ``ports`` of ``hosts``.

    ``new`` connections refuse or hang, for ``open`` ones it is reset, hang or none. With
    ``accepted``, connections that others open to these ports of this process are cut too.
    """

    hosts: list[str]
    ports: list[int]
    new: str
    open: str
    accepted: bool


class LinkFaults:
    """What the file says."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._text = ""
        self._cuts: list[Cut] = []
        self.sockets: set[FaultySocket] = set()

    def run(self) -> None:
        """Follow the file."""
        while True:
            text = self._path.read_text() if self._path.exists() else ""
            if text != self._text:
                self._text = text
                self._apply([Cut(**row) for row in json.loads(text or "[]")])
            gevent.sleep(POLL_S)

    def find_cut(self, host: str, port: int) -> Cut | None:
        """Return the cut of the link to an address, or None."""
        return next((c for c in self._cuts if port in c.ports and host in c.hosts), None)

    def find_accepted_cut(self, port: int, peer: Any) -> Cut | None:
        """Return the cut of a connection that ``peer`` opened to this process, or None."""
        cut = next((c for c in self._cuts if c.accepted and port in c.ports), None)
        # The dispatcher is connected to itself.
        is_own = cut is not None and any(sock.own_address == peer for sock in self.sockets)
        return None if is_own else cut

    def _apply(self, cuts: list[Cut]) -> None:
        self._cuts = cuts
        for sock in list(self.sockets):
            cut = sock.find_cut()
            if cut is not None and cut.open == "reset":
                sock.break_off()
            elif not sock.hangs:
                sock.is_late = sock.is_late and cut is not None
                sock.send_held()


class FaultySocket(socket.socket):
    """A socket whose connection over a cut link fails; it ``is_late`` if accepted over one."""

    faults: LinkFaults

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.own_address: Any = None
        self.is_late = False
        self._link: tuple[str, int] | None = None
        self._accepted: tuple[int, Any] | None = None
        self._held = b""
        self._broken = False
        if kwargs.get("fileno") is not None:
            self._follow_accepted()

    def _follow_accepted(self) -> None:
        try:
            port, peer = self.getsockname()[1], self.getpeername()
        except OSError:
            return  # the peer has closed it already
        if port in INTERNAL_PORTS:
            self._accepted = (port, peer)
            self.faults.sockets.add(self)
            self.is_late = self.find_cut() is not None

    def find_cut(self) -> Cut | None:
        """Return the cut of this connection's link, or None."""
        if self._accepted is not None:
            return self.faults.find_accepted_cut(*self._accepted)
        return self.faults.find_cut(*self._link) if self._link is not None else None

    @property
    def hangs(self) -> bool:
        cut = self.find_cut()
        return cut is not None and (cut.new if self.is_late else cut.open) == "hang"

    def connect(self, address: Any) -> None:
        cut = self.faults.find_cut(*address)
        if cut is not None:
            if cut.new == "refuse":
                raise ConnectionRefusedError(errno.ECONNREFUSED, "the link is cut")
            self._wait_while(lambda: self.faults.find_cut(*address) is not None)
        super().connect(address)
        self.own_address, self._link = self.getsockname(), tuple(address)
        self.faults.sockets.add(self)

    def recv(self, *args: Any) -> bytes:
        if self._broken:
            raise ConnectionResetError(errno.ECONNRESET, "the link is cut")
        data = super().recv(*args)
        cut = self.find_cut() if self.is_late else None
        if cut is not None and cut.new == "refuse":
            self.break_off()
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
