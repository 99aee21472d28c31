"""TCP connections to one target, with proof of what was written on each."""

from __future__ import annotations

from typing import Any, Final

import gevent
from gevent import socket
from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.targets.exceptions import (
    TargetLostError,
    TargetNotReachedError,
    TargetTimeoutError,
)
from clementinepin.targets.models import TargetAddress

CONNECT_TIMEOUT_S: Final = 1.0
IDLE_MAX_S: Final = 2.0
IDLE_CONNECTIONS_MAX: Final = 64
WAIT_MIN_S: Final = 0.001
KEEPALIVE_IDLE_S: Final = 2  # a silent peer is found out within four seconds
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
USER_TIMEOUT_MS: Final = 3000  # unacknowledged bytes end the connection in about the same time
STALL_CHECK_S: Final = 2.5


class Connection:
    """One connection; ``written`` counts the bytes that the kernel took for this request.

    The first write waits with a timeout of its own. What it leaves of a long request is written
    while the answer is read: a target may answer before it has read all. Reads share one timer,
    which ends the connection at the deadline: a timeout for each read would cost more than the
    read.
    """

    def __init__(self, sock: socket.socket, clock: Clock) -> None:
        self._sock = sock
        self._clock = clock
        self._timer: Any = None
        self._deadline = 0.0
        self._watches_stalls = False
        self._reads = 0
        self._reads_seen = 0
        self._expired = False
        self._writer: gevent.Greenlet | None = None
        self.written = 0
        self.carried = 0
        self.idle_max_s = IDLE_MAX_S
        self.idle_since = clock.monotonic()

    def write(self, data: bytes, deadline: float) -> None:
        """Write, the rest in the background; raises TargetNotReachedError if nothing was."""
        view = memoryview(data)
        try:
            self._limit_wait(deadline)
            sent = self._sock.send(view)
        except OSError as err:
            raise TargetNotReachedError(f"nothing was written: {err or 'timeout'}") from err
        self.written += sent
        if sent < len(view):
            self._sock.settimeout(None)
            self._writer = gevent.spawn(self._write_rest, view[sent:])

    @property
    def is_writing(self) -> bool:
        """Tell whether a part of the request is still due at the target."""
        return self._writer is not None

    def _write_rest(self, view: memoryview) -> None:
        """Write until done or until the connection ends; what that means, its reader finds out."""
        try:
            while view:
                sent = self._sock.send(view)
                self.written += sent
                view = view[sent:]
            self._writer = None
        except OSError as err:
            logger.bind(written=self.written, left=len(view), error=str(err)).debug(
                "request_not_taken_whole"
            )

    def limit_reads(self, deadline: float) -> None:
        """End the connection at the monotonic deadline unless it is released before."""
        self._stop_timer()
        self._sock.settimeout(None)
        self._deadline = deadline
        self._start_timer()

    def watch_stalls(self, deadline: float) -> None:
        """Move the deadline, and end the connection earlier when it brings nothing for long."""
        self._watches_stalls = True
        self._reads_seen = self._reads
        self.limit_reads(deadline)

    def read(self, size: int) -> bytes:
        """Return the next bytes, empty at the end of the connection."""
        try:
            data = self._sock.recv(size)
            self._reads += 1
        except OSError as err:
            self._check_expired()
            raise TargetLostError(f"connection broke: {err}") from err
        if not data:
            self._check_expired()
        return data

    def is_idle(self) -> bool:
        """Return whether the connection may carry another request.

        An idle connection has nothing to read: data or an end of file means that the target
        closed it or sent bytes that belong to no request.
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
        """Close the socket; closing twice is harmless."""
        self._stop_timer()
        if self._writer is not None:
            self._writer.kill(block=False)
            self._writer = None
        self._sock.close()

    def abort(self) -> None:
        """End the connection from another greenlet; its reader sees an end of file."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def rest(self) -> None:
        """Note that the connection is idle from now on."""
        self._stop_timer()
        self.carried += 1
        self._watches_stalls = False
        self.idle_since = self._clock.monotonic()

    def _check_expired(self) -> None:
        if self._expired:
            raise TargetTimeoutError("target did not end its answer before the deadline")

    def _start_timer(self) -> None:
        wait_s = max(self._deadline - self._clock.monotonic(), WAIT_MIN_S)
        if self._watches_stalls:
            wait_s = min(wait_s, STALL_CHECK_S)
        self._timer = gevent.get_hub().loop.timer(wait_s)
        self._timer.start(self._check_progress)

    def _check_progress(self) -> None:
        """Expire at the deadline, or when a whole period brought nothing. Runs in the hub."""
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
        """Wake the reader with an end of file; must not block."""
        self._expired = True
        self.abort()

    def _limit_wait(self, deadline: float) -> None:
        wait_s = deadline - self._clock.monotonic()
        if wait_s <= 0:
            raise TimeoutError
        self._sock.settimeout(max(wait_s, WAIT_MIN_S))


class Abort:
    """Lets another greenlet give up an exchange at any step of it."""

    def __init__(self) -> None:
        self.triggered = False
        self._connection: Connection | None = None

    def bind(self, connection: Connection) -> None:
        """Name the connection that carries the exchange."""
        self._connection = connection
        if self.triggered:
            connection.abort()

    def trigger(self) -> None:
        """Give up; harmless when repeated or late."""
        self.triggered = True
        if self._connection is not None:
            self._connection.abort()

    def unbind(self) -> None:
        """Forget the connection, which may carry another exchange now."""
        self._connection = None


class ConnectionPool:
    """Idle connections to one target; the most recently used goes first."""

    def __init__(self, address: TargetAddress, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._idle: list[Connection] = []
        self.idle_max_s = IDLE_MAX_S

    def connect(self, deadline: float) -> Connection:
        """Open a connection; raises TargetNotReachedError."""
        wait_s = min(deadline - self._clock.monotonic(), CONNECT_TIMEOUT_S)
        if wait_s <= 0:
            raise TargetNotReachedError("the deadline passed before connecting")
        host, port = self._address.address, self._address.port
        # An IP number needs no resolver, which would cost a switch to a native thread.
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        try:
            _set_options(sock)
            sock.settimeout(wait_s)
            sock.connect((host, port))
        except OSError as err:
            sock.close()
            raise TargetNotReachedError(f"{self._address.name} can't be reached: {err}") from err
        return Connection(sock, self._clock)

    def acquire(self, deadline: float) -> Connection:
        """Return an idle connection that still stands, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_idle():
                connection.written = 0
                return connection
            connection.close()
        return self.connect(deadline)

    def release(self, connection: Connection) -> None:
        """Keep a connection whose last answer ended cleanly."""
        if len(self._idle) >= IDLE_CONNECTIONS_MAX:
            connection.close()
            return
        connection.rest()
        connection.idle_max_s = self.idle_max_s
        self._idle.append(connection)
        self._close_old()

    def _close_old(self) -> None:
        """Close the oldest connection once it idled too long to be used again."""
        oldest = self._idle[0]
        if self._clock.monotonic() - oldest.idle_since > oldest.idle_max_s:
            self._idle.pop(0).close()

    @property
    def idle(self) -> int:
        """Return how many connections are kept."""
        return len(self._idle)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()


def _set_options(sock: socket.socket) -> None:
    """Send small writes at once and notice a peer that fell silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
