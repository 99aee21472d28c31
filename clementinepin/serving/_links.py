"""Connections between instances: a server that passes messages on, and persistent clients."""

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
from clementinepin.helpers.containment import contain_failure, report_failure
from clementinepin.infrastructure.exceptions import PlatformUnavailableError, ReplyLostError
from clementinepin.serving import _messages as messages
from clementinepin.serving.models import Member

READ_SIZE_BYTES: Final = 65_536
CONNECT_TIMEOUT_S: Final = 0.3  # some round trips between data centres
UNRESPONSIVE_S: Final = 2.0  # how long an instance that did not reply ranks behind others
PEER_TIMEOUT_MS: Final = 1500  # about as long as an instance trusts a feed without heartbeats
M = TypeVar("M")


def set_options(sock: Any) -> None:
    """Disable Nagle's algorithm, and close a connection whose peer stops acknowledging data."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, PEER_TIMEOUT_MS)


class Link(messages.MessageSender):
    """The server side of a connection from another instance; its hello sets ``name``."""

    def __init__(self, sock: Any) -> None:
        super().__init__(sock)
        self.name = ""


class LinkServer:
    """Accepts connections of other instances and passes their messages to the handlers.

    ``links`` holds the connections that sent a hello, by instance name.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._handlers: dict[type, list[Callable[[Link, Any], None]]] = {}
        self._close_handlers: list[Callable[[str], None]] = []
        self._takeovers: dict[type, Callable[[Any, messages.FrameReader, Any], None]] = {}
        self._server = StreamServer(address, self._serve)
        self.links: dict[str, Link] = {}

    def handle(self, kind: type[M], handler: Callable[[Link, M], None]) -> None:
        """Call ``handler`` for each message of the type; handlers run in order of registration."""
        self._handlers.setdefault(kind, []).append(handler)

    def take_over(
        self, kind: type[M], handler: Callable[[Any, messages.FrameReader, M], None]
    ) -> None:
        """Leave a connection to ``handler(sock, reader, message)`` once it brings such a message.

        The connection is closed when the handler returns.
        """
        self._takeovers[kind] = handler

    def handle_close(self, handler: Callable[[str], None]) -> None:
        """Call ``handler`` with the name of each instance whose connection ended."""
        self._close_handlers.append(handler)

    def start(self) -> None:
        """Open the listener."""
        self._server.start()

    def stop(self) -> None:
        """Close the listener and all connections, so that clients choose another instance."""
        self._server.stop(timeout=0)
        for link in list(self.links.values()):
            link.close()

    def broadcast(self, message: messages.Message) -> None:
        """Send a message to all instances that sent a hello."""
        for link in self.links.values():
            link.send(message)

    def _serve(self, sock: Any, _peer: Any) -> None:
        set_options(sock)
        link = Link(sock)
        reader = messages.FrameReader()
        try:
            while data := sock.recv(READ_SIZE_BYTES):
                for message in reader.feed(data):
                    take_over = self._takeovers.get(type(message))
                    if take_over is not None:
                        take_over(sock, reader, message)
                        return
                    self._handle_message(link, message)
        except (OSError, ValueError) as err:
            logger.bind(member=link.name, error=str(err)).info("link_broke")
        except Exception as err:
            report_failure("link", err, member=link.name)
        finally:
            sock.close()
            if self.links.get(link.name) is link:
                del self.links[link.name]
                for handler in self._close_handlers:
                    with contain_failure("link_closed", member=link.name):
                        handler(link.name)

    def _handle_message(self, link: Link, message: Any) -> None:
        if isinstance(message, messages.Hello):
            link.name = message.name
            self.links[link.name] = link
        for handler in self._handlers.get(type(message), ()):
            with contain_failure("message", message=type(message).__name__, member=link.name):
                handler(link, message)


class InstanceLinks:
    """Persistent connections to other instances, shared by all parts that call them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._unresponsive_until: dict[str, float] = {}
        self._links: dict[str, _ClientLink] = {}
        self._numbers = itertools.count(1)

    def has_link(self, name: str) -> bool:
        """Return whether there is an open connection to the instance."""
        return name in self._links

    def is_unresponsive(self, name: str) -> bool:
        """Return whether a request to the instance failed within the last UNRESPONSIVE_S."""
        return self._clock.monotonic() < self._unresponsive_until.get(name, 0.0)

    def send_request(self, member: Member, message: Any, timeout_s: float) -> Any:
        """Send a message under a new number and return its reply.

        Raises PlatformUnavailableError if the message was not sent, and ReplyLostError if no reply
        came within ``timeout_s``.
        """
        try:
            link = self._links.get(member.name)
            if link is None:
                link = _ClientLink(member, lambda: self._links.pop(member.name, None))
                self._links[member.name] = link
            numbered = msgspec.structs.replace(message, number=next(self._numbers))
            reply = link.send_request(numbered, timeout_s)
        except (PlatformUnavailableError, ReplyLostError):
            self._unresponsive_until[member.name] = self._clock.monotonic() + UNRESPONSIVE_S
            raise
        self._unresponsive_until.pop(member.name, None)
        return reply

    def close_all(self) -> None:
        """Close all connections."""
        for link in list(self._links.values()):
            link.close()


class _ClientLink:
    """One persistent client connection; replies are matched to requests by number."""

    def __init__(self, member: Member, on_close: Callable[[], Any]) -> None:
        self._name = member.name
        self._on_close = on_close
        self._pending_replies: dict[int, AsyncResult] = {}
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

    def send_request(self, message: Any, timeout_s: float) -> Any:
        """Send a numbered message and return its reply.

        If none comes within ``timeout_s``, close the connection and raise ReplyLostError.
        """
        result: AsyncResult = AsyncResult()
        self._pending_replies[message.number] = result
        self._sender.send(message)
        try:
            with gevent.Timeout(timeout_s, False):
                reply = result.get()
                if reply is not None:
                    return reply
            self.close()
            raise ReplyLostError(f"{self._name} did not reply within {timeout_s} s")
        finally:
            self._pending_replies.pop(message.number, None)

    def close(self) -> None:
        """Close the connection and end all waits for replies."""
        if not self._closed:
            self._closed = True
            self._on_close()
            self._sender.close()
            self._sock.close()
            for pending_reply in self._pending_replies.values():
                if not pending_reply.ready():
                    pending_reply.set(None)

    def _read(self) -> None:
        reader = messages.FrameReader()
        try:
            while data := self._sock.recv(READ_SIZE_BYTES):
                for message in reader.feed(data):
                    pending_reply = self._pending_replies.get(getattr(message, "number", 0))
                    if pending_reply is not None and not pending_reply.ready():
                        pending_reply.set(message)
        except (OSError, ValueError) as err:
            logger.bind(member=self._name, error=str(err)).info("link_broke")
        self.close()
