"""Connections between instances: a server with handlers by message, and kept links that ask."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any, Final, TypeVar

import gevent
import msgspec
from gevent import socket
from gevent.event import AsyncResult
from gevent.server import StreamServer
from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure.exceptions import PlatformUnavailableError, ReplyLostError
from clementinepin.serving import _messages as messages
from clementinepin.serving.models import Member

READ_SIZE_BYTES: Final = 65_536
CONNECT_TIMEOUT_S: Final = 0.3  # some round trips between data centres
SILENT_S: Final = 2.0  # how long others are asked before an instance that did not answer
SILENT_MS: Final = 1500  # as long as others trust a feed without a beat
M = TypeVar("M")


def _set_options(sock: Any) -> None:
    """Send at once, and end a connection whose other end fell silent; beats are always due."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS)


class Link(messages.MessageSender):
    """The connection of one asking instance; its name stands in its hello."""

    def __init__(self, sock: Any) -> None:
        super().__init__(sock)
        self.name = ""


class LinkServer:
    """Takes connections of other instances and hands messages to those who handle them."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._handlers: dict[type, list[Callable[[Link, Any], None]]] = {}
        self._close_handlers: list[Callable[[str], None]] = []
        self._server = StreamServer(address, self._serve)
        self.links: dict[str, Link] = {}

    def handle(self, kind: type[M], handler: Callable[[Link, M], None]) -> None:
        """Call ``handler`` for each message of the kind, in the order of calls."""
        self._handlers.setdefault(kind, []).append(handler)

    def handle_close(self, handler: Callable[[str], None]) -> None:
        """Call ``handler`` with the name of each instance whose link ended."""
        self._close_handlers.append(handler)

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def stop(self) -> None:
        """Close the listener and all links, so that askers turn to another instance."""
        self._server.stop(timeout=0)
        for link in list(self.links.values()):
            link.close()

    def broadcast(self, message: messages.Message) -> None:
        """Send a message to all that said hello."""
        for link in self.links.values():
            link.send(message)

    def _serve(self, sock: Any, _peer: Any) -> None:
        _set_options(sock)
        link = Link(sock)
        reader = messages.FrameReader()
        try:
            while data := sock.recv(READ_SIZE_BYTES):
                for message in reader.feed(data):
                    self._take_message(link, message)
        except (OSError, ValueError) as err:
            logger.bind(member=link.name, error=str(err)).info("link_broke")
        finally:
            sock.close()
            if self.links.get(link.name) is link:
                del self.links[link.name]
                for handler in self._close_handlers:
                    handler(link.name)

    def _take_message(self, link: Link, message: Any) -> None:
        if isinstance(message, messages.Hello):
            link.name = message.name
            self.links[link.name] = link
        for handler in self._handlers.get(type(message), ()):
            handler(link, message)


class InstanceLinks:
    """Kept connections to other instances, shared by all that ask them something."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._silent_until: dict[str, float] = {}
        self._links: dict[str, _AskingLink] = {}
        self._numbers = itertools.count(1)

    def has_link(self, name: str) -> bool:
        """Tell whether a connection to the instance stands."""
        return name in self._links

    def is_silent(self, name: str) -> bool:
        """Tell whether the instance did not answer a moment ago."""
        return self._clock.monotonic() < self._silent_until.get(name, 0.0)

    def ask(self, member: Member, message: Any, timeout_s: float) -> Any:
        """Send a numbered message and return its reply.

        Raises PlatformUnavailableError when it was not sent, ReplyLostError without an answer.
        """
        try:
            link = self._links.get(member.name)
            if link is None:
                link = _AskingLink(member, lambda: self._links.pop(member.name, None))
                self._links[member.name] = link
            numbered = msgspec.structs.replace(message, number=next(self._numbers))
            reply = link.ask(numbered, timeout_s)
        except (PlatformUnavailableError, ReplyLostError):
            self._silent_until[member.name] = self._clock.monotonic() + SILENT_S
            raise
        self._silent_until.pop(member.name, None)
        return reply

    def close_all(self) -> None:
        """Close all connections."""
        for link in list(self._links.values()):
            link.close()


class _AskingLink:
    """One kept connection; replies are told apart by their number."""

    def __init__(self, member: Member, on_close: Callable[[], Any]) -> None:
        self._name = member.name
        self._on_close = on_close
        self._waiting: dict[int, AsyncResult] = {}
        self._closed = False
        self._sock = socket.socket()
        try:
            self._sock.settimeout(CONNECT_TIMEOUT_S)
            self._sock.connect((member.host, member.link_port))
            self._sock.settimeout(None)
        except OSError as err:
            self._sock.close()
            raise PlatformUnavailableError(f"{member.name} can't be reached: {err}") from err
        self._sender = messages.MessageSender(self._sock)
        gevent.spawn(self._read)

    def ask(self, message: Any, timeout_s: float) -> Any:
        """Return the reply; the connection of an unanswered message is given up."""
        result: AsyncResult = AsyncResult()
        self._waiting[message.number] = result
        self._sender.send(message)
        try:
            with gevent.Timeout(timeout_s, False):
                reply = result.get()
                if reply is not None:
                    return reply
            self.close()
            raise ReplyLostError(f"{self._name} did not answer")
        finally:
            self._waiting.pop(message.number, None)

    def close(self) -> None:
        """Close; all that wait are told."""
        if not self._closed:
            self._closed = True
            self._on_close()
            self._sender.close()
            self._sock.close()
            for waiting in self._waiting.values():
                if not waiting.ready():
                    waiting.set(None)

    def _read(self) -> None:
        reader = messages.FrameReader()
        try:
            while data := self._sock.recv(READ_SIZE_BYTES):
                for message in reader.feed(data):
                    waiting = self._waiting.get(getattr(message, "number", 0))
                    if waiting is not None and not waiting.ready():
                        waiting.set(message)
        except (OSError, ValueError) as err:
            logger.bind(member=self._name, error=str(err)).info("link_broke")
        self.close()
