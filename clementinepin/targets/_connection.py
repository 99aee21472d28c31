"""TCP connections to one target, with proof of what was written on each."""

from __future__ import annotations

from typing import Final

from gevent import socket

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


class Connection:
    """One connection; ``written`` counts the bytes that the kernel took for this request."""

    def __init__(self, sock: socket.socket, clock: Clock) -> None:
        self._sock = sock
        self._clock = clock
        self.written = 0
        self.idle_since = clock.monotonic()

    def write(self, data: bytes, deadline: float) -> None:
        """Write all; raises TargetNotReachedError only while no byte was written."""
        view = memoryview(data)
        while view:
            try:
                self._limit_wait(deadline)
                sent = self._sock.send(view)
            except OSError as err:
                raise self._judge_write_failure(err) from err
            self.written += sent
            view = view[sent:]

    def read(self, size: int, deadline: float) -> bytes:
        """Return the next bytes, empty at the end of the connection."""
        try:
            self._limit_wait(deadline)
            return self._sock.recv(size)
        except TimeoutError as err:
            raise TargetTimeoutError("target sent nothing before the deadline") from err
        except OSError as err:
            raise TargetLostError(f"connection broke: {err}") from err

    def is_idle(self) -> bool:
        """Return whether the connection may carry another request.

        An idle connection has nothing to read: data or an end of file means that the target
        closed it or sent bytes that belong to no request.
        """
        if self._clock.monotonic() - self.idle_since > IDLE_MAX_S:
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
        self._sock.close()

    def _limit_wait(self, deadline: float) -> None:
        wait_s = deadline - self._clock.monotonic()
        if wait_s <= 0 and self.written == 0:
            raise TimeoutError
        self._sock.settimeout(max(wait_s, WAIT_MIN_S))

    def _judge_write_failure(self, err: OSError) -> TargetNotReachedError | TargetLostError:
        if self.written == 0:
            return TargetNotReachedError(f"nothing was written: {err or 'timeout'}")
        if isinstance(err, TimeoutError):
            return TargetTimeoutError("target took the request too slowly")
        return TargetLostError(f"connection broke after {self.written} bytes: {err}")


class ConnectionPool:
    """Idle connections to one target; the most recently used goes first."""

    def __init__(self, address: TargetAddress, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._idle: list[Connection] = []

    def connect(self, deadline: float) -> Connection:
        """Open a connection; raises TargetNotReachedError."""
        wait_s = min(deadline - self._clock.monotonic(), CONNECT_TIMEOUT_S)
        if wait_s <= 0:
            raise TargetNotReachedError("the deadline passed before connecting")
        peer = (self._address.address, self._address.port)
        try:
            sock = socket.create_connection(peer, timeout=wait_s)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as err:
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
        connection.idle_since = self._clock.monotonic()
        self._idle.append(connection)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()
