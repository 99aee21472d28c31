"""TCP connections to one target and the pool that reuses them.

Each connection counts the bytes written for the current request, because a request of which no
byte was written is known not to have run.
"""

from __future__ import annotations

from typing import Any, Final, Protocol

import gevent
from gevent import socket
from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.targets.exceptions import (
    RelayLostError,
    TargetLinkLostError,
    TargetLostError,
    TargetNotReachedError,
    TargetTimeoutError,
)
from clementinepin.targets.models import Channel, TargetAddress

REPLACE_TIMEOUT_S: Final = 0.25  # the end of a whole response waits for it
IDLE_MAX_S: Final = 2.0
IDLE_CONNECTIONS_MAX: Final = 64
TIMEOUT_MIN_S: Final = 0.001
KEEPALIVE_IDLE_S: Final = 2
KEEPALIVE_INTERVAL_S: Final = 1
# Ends connections with unacknowledged data. It also decides when keep-alive probes give up, for
# which a number of probes would have no effect.
USER_TIMEOUT_MS: Final = 3000
STALL_CHECK_S: Final = 2.5


class Connection:
    """One connection; ``written`` counts the bytes that the kernel accepted for this request.

    ``relay`` names the instance through which it goes, empty for a direct connection.

    The first write has its own timeout. The rest of a long request is written in the background
    while the response is read, because a target may respond before it has read the whole request.
    All reads share one timer that shuts the connection down at the deadline: a timeout for each
    read would cost more than the read itself.
    """

    def __init__(self, sock: Channel, clock: Clock, relay: str = "") -> None:
        self._sock = sock
        self._clock = clock
        self.relay = relay
        self._timer: Any = None
        self._deadline = 0.0
        self._watches_stalls = False
        self._reads = 0
        self._reads_seen = 0
        self._expired = False
        self._aborted = False
        self._writer: gevent.Greenlet | None = None
        self.written = 0
        self.exchange_count = 0
        self.idle_max_s = IDLE_MAX_S
        self.idle_since = clock.monotonic()

    def write(self, data: bytes, deadline: float) -> None:
        """Write a first part and leave the rest to a background greenlet.

        Raises TargetNotReachedError if no byte was written before the monotonic deadline.
        """
        view = memoryview(data)
        try:
            self._set_timeout(deadline)
            sent = self._sock.send(view)
        except OSError as err:
            raise TargetNotReachedError(f"nothing was written: {err or 'timeout'}") from err
        self.written += sent
        if sent < len(view):
            self._sock.settimeout(None)
            self._writer = gevent.spawn(self._write_remaining, view[sent:])

    @property
    def is_writing(self) -> bool:
        """Return whether a part of the request is still to be written."""
        return self._writer is not None

    def _write_remaining(self, view: memoryview) -> None:
        """Write the rest of the request, until done or until the connection fails.

        A failure is only logged: the greenlet that reads the response raises the error.
        """
        try:
            while view:
                sent = self._sock.send(view)
                self.written += sent
                view = view[sent:]
            self._writer = None
        except OSError as err:
            logger.bind(written=self.written, left=len(view), error=str(err)).debug(
                "request_write_incomplete"
            )

    def set_read_deadline(self, deadline: float) -> None:
        """Shut the connection down at the monotonic deadline unless it is released before."""
        self._stop_timer()
        self._sock.settimeout(None)
        self._deadline = deadline
        self._start_timer()

    def watch_stalls(self, deadline: float) -> None:
        """Replace the deadline, and shut down earlier if nothing arrives for STALL_CHECK_S."""
        self._watches_stalls = True
        self._reads_seen = self._reads
        self.set_read_deadline(deadline)

    def read(self, size: int) -> bytes:
        """Return at most ``size`` bytes, none at the end of the connection.

        Raises TargetTimeoutError after the deadline or a stall, TargetLostError on other failures.
        An end of file after ``abort`` says nothing about the target and is such a failure.
        """
        try:
            data = self._sock.recv(size)
            self._reads += 1
        except OSError as err:
            self._raise_if_expired()
            is_link = isinstance(err, RelayLostError) and not self._aborted
            kind = TargetLinkLostError if is_link else TargetLostError
            raise kind(f"connection failed: {err}") from err
        if not data:
            self._raise_if_expired()
            if self._aborted:
                raise TargetLostError("the exchange was aborted")
        return data

    def is_reusable(self) -> bool:
        """Return whether the connection may carry another request.

        An idle connection has nothing to read. Data or an end of file means that the target sent
        bytes that belong to no request or closed the connection.
        """
        if self._clock.monotonic() - self.idle_since > self.idle_max_s:
            return False
        self._sock.settimeout(0.0)
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close the socket; a second call has no effect."""
        self._stop_timer()
        if self._writer is not None:
            self._writer.kill(block=False)
            self._writer = None
        self._sock.close()

    def abort(self) -> None:
        """Shut the connection down from another greenlet, so that its reader fails."""
        self._aborted = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def mark_idle(self) -> None:
        """Mark the connection as idle from now on."""
        self._stop_timer()
        self.exchange_count += 1
        self._watches_stalls = False
        self.idle_since = self._clock.monotonic()

    def _raise_if_expired(self) -> None:
        if self._expired:
            raise TargetTimeoutError("target did not complete its response in time")

    def _start_timer(self) -> None:
        wait_s = max(self._deadline - self._clock.monotonic(), TIMEOUT_MIN_S)
        if self._watches_stalls:
            wait_s = min(wait_s, STALL_CHECK_S)
        self._timer = gevent.get_hub().loop.timer(wait_s)
        self._timer.start(self._check_progress)

    def _check_progress(self) -> None:
        """Expire at the deadline or if no read returned during a whole period. Runs in the hub."""
        self._stop_timer()
        stalled = self._watches_stalls and self._reads == self._reads_seen
        if stalled or self._clock.monotonic() >= self._deadline:
            self._expire()
            return
        self._reads_seen = self._reads
        self._start_timer()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()
            self._timer = None

    def _expire(self) -> None:
        """Wake the reader with an end of file. Runs in the hub, so it must not block."""
        self._expired = True
        self.abort()

    def _set_timeout(self, deadline: float) -> None:
        wait_s = deadline - self._clock.monotonic()
        if wait_s <= 0:
            raise TimeoutError
        self._sock.settimeout(max(wait_s, TIMEOUT_MIN_S))


class Abort:
    """Lets another greenlet abort an exchange at any time."""

    def __init__(self) -> None:
        self.triggered = False
        self._connection: Connection | None = None

    @property
    def relay(self) -> str:
        """Return the instance through which the exchange goes, empty for the own link."""
        return self._connection.relay if self._connection is not None else ""

    def bind(self, connection: Connection) -> None:
        """Set the connection that carries the exchange; shut it down if already triggered."""
        self._connection = connection
        if self.triggered:
            connection.abort()

    def trigger(self) -> None:
        """Abort the exchange; has no effect when repeated or late."""
        self.triggered = True
        if self._connection is not None:
            self._connection.abort()

    def unbind(self) -> None:
        """Remove the connection, which may carry another exchange from now on."""
        self._connection = None


class Dialer(Protocol):
    """Opens connections to targets."""

    def dial(self, address: TargetAddress, deadline: float) -> Connection:
        """Return a new connection. Raises TargetNotReachedError if none opens in time."""

    def may_use(self, address: TargetAddress, connection: Connection) -> bool:
        """Return whether an idle connection still goes the right way."""

    def check_link(self, address: TargetAddress, since: float) -> bool:
        """Return whether only other instances reach the target.

        Waits for a check unless the own link worked ``since`` then, in monotonic seconds.
        """

    def list_relayed(self) -> list[str]:
        """Return the names of the targets that only other instances reach."""

    def add(self, pool: ConnectionPool) -> None:
        """Look after the idle connections of a pool until it is removed."""

    def remove(self, pool: ConnectionPool) -> None:
        """Forget a pool, and what is known of its target."""


class ConnectionPool:
    """Idle connections to one target; the most recently used one is reused first."""

    def __init__(self, address: TargetAddress, clock: Clock, dialer: Dialer) -> None:
        self.address = address
        self._clock = clock
        self._dialer = dialer
        self._idle: list[Connection] = []
        self.idle_max_s = IDLE_MAX_S
        dialer.add(self)

    def connect(self, deadline: float) -> Connection:
        """Open a connection. Raises TargetNotReachedError if that fails before the deadline."""
        return self._dialer.dial(self.address, deadline)

    def acquire(self, deadline: float) -> Connection:
        """Return an idle connection that is still open, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if self._dialer.may_use(self.address, connection) and connection.is_reusable():
                connection.written = 0
                return connection
            connection.close()
        return self.connect(deadline)

    def release(self, connection: Connection) -> None:
        """Put back a connection whose last response was complete."""
        if len(self._idle) >= IDLE_CONNECTIONS_MAX:
            connection.close()
            return
        connection.mark_idle()
        connection.idle_max_s = self.idle_max_s
        self._idle.append(connection)
        self._close_expired()

    def replace(self) -> None:
        """Open an idle connection in place of one that the target closed to end a response.

        Raises TargetLostError if the target refuses it: then it has crashed, and its response may
        be incomplete. Other failures prove nothing and are only logged.
        """
        try:
            connection = self.connect(self._clock.monotonic() + REPLACE_TIMEOUT_S)
        except TargetNotReachedError as err:
            if err.refused:
                raise TargetLostError("target crashed at the end of its response") from err
            logger.bind(target=self.address.name, error=str(err)).info("connection_not_replaced")
            return
        self.release(connection)

    def sweep(self) -> None:
        """Close the idle connections that must not be used any more."""
        kept = []
        for connection in self._idle:
            if self._dialer.may_use(self.address, connection) and connection.is_reusable():
                kept.append(connection)
            else:
                connection.close()
        self._idle = kept

    def check_link(self, since: float) -> bool:
        """Return whether only other instances reach the target.

        Waits for a check unless the own link worked ``since`` then, in monotonic seconds.
        """
        return self._dialer.check_link(self.address, since)

    def _close_expired(self) -> None:
        """Close the oldest connection if it was idle too long to be reused."""
        oldest = self._idle[0]
        if self._clock.monotonic() - oldest.idle_since > oldest.idle_max_s:
            self._idle.pop(0).close()

    @property
    def idle(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    def close(self) -> None:
        """Close all idle connections."""
        self._dialer.remove(self)
        while self._idle:
            self._idle.pop().close()


def set_options(sock: socket.socket) -> None:
    """Disable Nagle's algorithm and detect a peer that stops responding."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
