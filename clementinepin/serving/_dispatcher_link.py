"""The link to the dispatcher: which instance is asked, and when it is doubted or given up."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent import socket
from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.serving import _messages as messages
from clementinepin.serving._fleet import FleetView
from clementinepin.serving.models import Member

SILENCE_MAX_S: Final = 0.9  # two beats of the feed missed
DOUBT_S: Final = 0.25  # with the wait before it, a lost packet is sent again and answered
CONNECT_TIMEOUT_S: Final = 0.3
HELLO_TIMEOUT_S: Final = 0.3  # a process that stands still accepts connections, but says nothing
RECONNECT_S: Final = 0.1
UNREACHED_S: Final = 2.0  # a dispatcher that did not answer is passed over; its lease ends at 3 s
READ_SIZE_BYTES: Final = 65_536


class DispatcherLink:
    """Keeps a connection to the oldest instance that runs jobs and answers.

    Load pattern: links that lose packets under steady load. A late reply puts the dispatcher in
    doubt, and nothing is asked of it meanwhile; only one that stays silent is given up, as two
    dispatchers at a time give the same slots away twice.
    """

    def __init__(
        self,
        fleet: FleetView,
        clock: Clock,
        make_hello: Callable[[], messages.Hello],
        take_message: Callable[[Any], None],
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._make_hello = make_hello
        self._take_message = take_message
        self._unreached: dict[str, float] = {}
        self._sender: messages.MessageSender | None = None
        self._greenlets: list[gevent.Greenlet] = []
        self._doubted = False
        self.dispatcher: Member | None = None
        self.heard_at = 0.0
        self.on_open: Callable[[str], None] = lambda _name: None
        self.on_closed: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Connect, and stay connected."""
        self._greenlets = [gevent.spawn(self._keep), gevent.spawn(self._watch_silence)]

    def stop(self) -> None:
        """Close the connection for good."""
        gevent.killall(self._greenlets)
        self.drop()

    @property
    def is_open(self) -> bool:
        """Tell whether there is a connection, in doubt or not."""
        return self._sender is not None

    @property
    def is_sure(self) -> bool:
        """Tell whether a dispatcher answers."""
        return self._sender is not None and not self._doubted

    @property
    def dispatcher_name(self) -> str:
        """Return the instance that is asked now, empty without a connection."""
        return self.dispatcher.name if self.dispatcher and self._sender is not None else ""

    def send(self, message: messages.Message) -> None:
        """Send to the dispatcher; without a connection the next hello tells what matters."""
        if self._sender is not None:
            self._sender.send(message)

    def doubt(self, reason: str) -> None:
        """Ask nothing until the dispatcher is heard again, and give it up unless that is soon."""
        if not self.is_sure:
            return
        self._doubted = True
        logger.bind(dispatcher=self.dispatcher_name, reason=reason).warning("dispatcher_silent")
        gevent.spawn_later(DOUBT_S, self._give_up, self._sender)

    def drop(self) -> None:
        """Close the connection; another one is opened at once."""
        if self._sender is not None:
            sender, self._sender = self._sender, None
            sender.close()
            self.on_closed()

    def check_choice(self) -> None:
        """Leave a dispatcher that is not the one to ask any more."""
        chosen = self._choose()
        if (chosen and chosen.name) != (self.dispatcher and self.dispatcher.name):
            self.drop()

    def _give_up(self, sender: messages.MessageSender) -> None:
        if self._sender is sender and self._doubted:
            self.drop()

    def _choose(self) -> Member | None:
        """Return the oldest instance that runs jobs and answers: joining ones change nothing."""
        now = self._clock.monotonic()
        runners = self._fleet.list_job_runners()
        reached = [m for m in runners if now >= self._unreached.get(m.name, 0.0)]
        return next(iter(reached or runners), None)

    def _keep(self) -> None:
        while True:
            chosen = self._choose()
            if chosen is None:
                gevent.sleep(RECONNECT_S)
                continue
            try:
                self._run(chosen)
            except (OSError, ValueError) as err:
                logger.bind(dispatcher=chosen.name, error=str(err)).info("dispatcher_lost")
            finally:
                self.drop()
            if chosen == self._choose():
                self._unreached[chosen.name] = self._clock.monotonic() + UNREACHED_S

    def _run(self, member: Member) -> None:
        sock = socket.socket()
        try:
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock.connect((member.host, member.link_port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sender, self.dispatcher = messages.MessageSender(sock), member
            self._doubted = True
            self.on_open(member.name)
            self.send(self._make_hello())
            reader = messages.FrameReader()
            sock.settimeout(HELLO_TIMEOUT_S)
            while data := sock.recv(READ_SIZE_BYTES):
                self.heard_at = self._clock.monotonic()
                if self._doubted:
                    self._doubted = False
                    sock.settimeout(None)
                    logger.bind(dispatcher=member.name).info("dispatcher_regained")
                for message in reader.feed(data):
                    self._take_message(message)
        finally:
            sock.close()

    def _watch_silence(self) -> None:
        while True:
            gevent.sleep(SILENCE_MAX_S / 3)
            if self.is_sure and self._clock.monotonic() - self.heard_at > SILENCE_MAX_S:
                self.doubt("no sign of life")
                self.drop()
            if self.is_sure:
                self.check_choice()
