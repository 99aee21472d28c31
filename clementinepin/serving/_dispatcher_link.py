"""The client connection to the dispatcher.

Chooses the instance that is the dispatcher, detects when it stops responding and replaces it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent import socket
from gevent.event import Event
from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.helpers.containment import contain_failure, keep_running
from clementinepin.serving import _messages as messages
from clementinepin.serving._fleet import FleetView
from clementinepin.serving.models import Member

SILENCE_MAX_S: Final = 0.9  # two missed heartbeats of the feed
# Time until a suspected dispatcher is dropped. Together with the reply timeout it is long enough
# for a lost packet to be retransmitted and answered.
SUSPECT_S: Final = 0.25
CONNECT_TIMEOUT_S: Final = 0.3
HELLO_TIMEOUT_S: Final = 0.3  # a suspended process accepts connections but sends nothing
RECONNECT_S: Final = 0.1
# How long a dispatcher that did not respond is skipped; the lease of a lost one ends after 3 s.
SKIP_UNREACHED_S: Final = 2.0
SILENCE_CHECK_S: Final = SILENCE_MAX_S / 3
STALLED_S: Final = 0.4  # a process whose checks are later than this was suspended
STALL_MEMORY_S: Final = 0.5  # until the end of a connection that was lost meanwhile is read
# A process that was suspended, or whose dispatcher is lost, is connected again within this time.
RECONNECTED_S: Final = 0.6
STALLED_RECONNECT_S: Final = 0.02
READ_SIZE_BYTES: Final = 65_536


class DispatcherLink:
    """Keeps a connection to the oldest job runner that responds.

    Load pattern: connections lose packets under steady load. A late reply makes the dispatcher
    suspected, and no slots are requested from it until it sends something. It is dropped only if
    it stays silent, because two dispatchers at a time grant the same slots twice.

    ``last_received_at`` is the monotonic time of the last data received, in seconds, ``_lost_at``
    when the last dispatcher stopped responding and ``_checked_at`` when this process last looked.
    ``_has_left`` is set from when a dispatcher was left for an older one until one responds.
    """

    def __init__(
        self,
        fleet: FleetView,
        clock: Clock,
        make_hello: Callable[[], messages.Hello],
        handle_message: Callable[[Any], None],
        suspect_s: float = SUSPECT_S,
    ) -> None:
        self._suspect_s = suspect_s
        self._fleet = fleet
        self._clock = clock
        self._make_hello = make_hello
        self._handle_message = handle_message
        self._skipped_until: dict[str, float] = {}
        self._sender: messages.MessageSender | None = None
        self._greenlets: list[gevent.Greenlet] = []
        self._is_suspected = False
        self._responsive = Event()
        self._checked_at = clock.monotonic()
        self._stalled_at = float("-inf")
        self._lost_at = float("-inf")
        self._has_left = False
        self.dispatcher: Member | None = None
        self.last_received_at = 0.0
        self.on_open: Callable[[str], None] = lambda _name: None
        self.on_closed: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Connect in the background, and reconnect after each loss."""
        runs = {"dispatcher_link": self._keep_connected, "dispatcher_silence": self._watch_silence}
        self._greenlets = [gevent.spawn(keep_running, *row) for row in runs.items()]

    def stop(self) -> None:
        """Close the connection and do not reconnect."""
        gevent.killall(self._greenlets)
        self.drop()

    @property
    def is_responsive(self) -> bool:
        """Return whether there is a connection to a dispatcher that is not suspected."""
        return self._sender is not None and not self._is_suspected

    @property
    def dispatcher_name(self) -> str:
        """Return the name of the connected dispatcher, empty without a connection."""
        return self.dispatcher.name if self.dispatcher and self._sender is not None else ""

    @property
    def responsive_name(self) -> str:
        """Return the name of the dispatcher that responds, empty without any."""
        return self.dispatcher_name if self.is_responsive else ""

    def await_reconnection(self, deadline: float) -> bool:
        """Wait until a dispatcher is responsive; return whether one is.

        If the connection was lost longer than RECONNECTED_S ago, none can be expected soon.
        """
        wait_until = min(deadline, self._lost_at + RECONNECTED_S)
        wait_s = max(0.0, wait_until - self._clock.monotonic())
        return self.is_responsive or bool(self._responsive.wait(wait_s))

    def send(self, message: messages.Message) -> None:
        """Send to the dispatcher, or discard the message if there is no connection.

        Discarding is safe: the hello of the next connection reports all slots in use.
        """
        if self._sender is not None:
            self._sender.send(message)

    def suspect(self, reason: str) -> None:
        """Suspect the dispatcher; drop it unless it sends something within ``suspect_s``."""
        if not self.is_responsive:
            return
        self._is_suspected = True
        self._record_lost()
        logger.bind(dispatcher=self.dispatcher_name, reason=reason).warning("dispatcher_silent")
        gevent.spawn_later(self._suspect_s, self._drop_if_suspected, self._sender)

    def drop(self) -> None:
        """Close the connection; the background task opens a new one at once."""
        if self._sender is not None:
            sender, self._sender = self._sender, None
            self._record_lost()
            sender.close()
            self.on_closed()

    def recheck_dispatcher(self) -> None:
        """Drop the connection if another instance should now be the dispatcher."""
        chosen = self._choose_dispatcher()
        if (chosen and chosen.name) != (self.dispatcher and self.dispatcher.name):
            self._has_left = self._sender is not None
            self.drop()

    def _drop_if_suspected(self, sender: messages.MessageSender) -> None:
        if self._sender is sender and self._is_suspected:
            self.drop()

    def _choose_dispatcher(self) -> Member | None:
        """Return the oldest job runner that responds, or the oldest if none does.

        The order by age keeps the choice stable when instances join.
        """
        now = self._clock.monotonic()
        runners = self._fleet.list_job_runners()
        responsive = [m for m in runners if now >= self._skipped_until.get(m.name, 0.0)]
        return next(iter(responsive or runners), None)

    def _keep_connected(self) -> None:
        while True:
            chosen = self._choose_dispatcher()
            if chosen is None:
                gevent.sleep(RECONNECT_S)
                continue
            if self._clock.monotonic() < self._skipped_until.get(chosen.name, 0.0):
                gevent.sleep(RECONNECT_S)  # all are skipped; they may refuse at once
            try:
                self._run_connection(chosen)
            except (OSError, ValueError) as err:
                logger.bind(dispatcher=chosen.name, error=str(err)).info("dispatcher_lost")
            finally:
                self.drop()
            # The choice is the same, so the connection was lost, not switched: skip it for a while,
            # unless it was lost by a suspension of this process.
            if self._has_stalled():
                gevent.sleep(STALLED_RECONNECT_S)
            elif chosen == self._choose_dispatcher():
                self._skipped_until[chosen.name] = self._clock.monotonic() + SKIP_UNREACHED_S

    def _run_connection(self, member: Member) -> None:
        sock = socket.socket()
        try:
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock.connect((member.host, member.link_port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sender, self.dispatcher = messages.MessageSender(sock), member
            self._is_suspected = True  # until its first data proves that it responds
            self.on_open(member.name)
            self.send(self._make_hello())
            reader = messages.FrameReader()
            sock.settimeout(HELLO_TIMEOUT_S)
            while data := sock.recv(READ_SIZE_BYTES):
                self.last_received_at = self._clock.monotonic()
                if self._is_suspected:
                    sock.settimeout(None)
                    self._record_regained(member)
                for message in reader.feed(data):
                    with contain_failure("dispatcher_message", message=type(message).__name__):
                        self._handle_message(message)
        finally:
            sock.close()

    def _record_lost(self) -> None:
        if self._responsive.is_set():
            self._responsive.clear()
            self._lost_at = self._clock.monotonic()

    def _record_regained(self, member: Member) -> None:
        """Record that a dispatcher responds.

        If none did for a while, this instance was cut off itself: the one that it had before is
        well, and only that one knows the streams of the other instances. If this instance has left
        a dispatcher for older ones that don't respond, these are skipped.
        """
        self._is_suspected = False
        self._responsive.set()
        self._skipped_until.pop(member.name, None)
        logger.bind(dispatcher=member.name).info("dispatcher_regained")
        has_left, self._has_left = self._has_left, False
        was_cut_off = self._clock.monotonic() - self._lost_at > RECONNECTED_S and not has_left
        if self._skipped_until and was_cut_off:
            self._skipped_until.clear()
            gevent.spawn(self.recheck_dispatcher)

    def _watch_silence(self) -> None:
        """Drop a dispatcher that sent nothing for SILENCE_MAX_S, or that is no longer chosen."""
        while True:
            gevent.sleep(SILENCE_CHECK_S)
            # Behind a suspension of this process, what the dispatcher sent meanwhile is read first.
            has_stalled, now = self._has_stalled(), self._clock.monotonic()
            self._checked_at = now
            is_silent = now - self.last_received_at > SILENCE_MAX_S and not has_stalled
            if self.is_responsive and is_silent:
                self.suspect("no data received")
                self.drop()
            if self.is_responsive:
                self.recheck_dispatcher()

    def _has_stalled(self) -> bool:
        """Return whether this process has just been suspended."""
        now = self._clock.monotonic()
        if now - self._checked_at > SILENCE_CHECK_S + STALLED_S:
            self._stalled_at = now
        return now - self._stalled_at < STALL_MEMORY_S
