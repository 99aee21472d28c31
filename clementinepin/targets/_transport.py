"""Sends requests to one target over its pool of connections."""

from __future__ import annotations

from typing import Final

from clementinepin.helpers.clock import Clock
from clementinepin.systems.reach import SILENCE_S
from clementinepin.targets._connection import Connection, ConnectionPool, Dialer
from clementinepin.targets._dialing import DirectDialer
from clementinepin.targets._exchange import HttpExchange, HttpRequest
from clementinepin.targets.exceptions import (
    TargetLinkLostError,
    TargetLostError,
    TargetNotReachedError,
    TargetProtocolError,
)
from clementinepin.targets.models import TargetAddress

SKIPPED_HEADERS: Final = frozenset({"host", "content-length", "transfer-encoding", "connection"})


class Transport:
    """Sends requests to one target."""

    def __init__(self, address: TargetAddress, clock: Clock, dialer: Dialer | None = None) -> None:
        self.address = address
        self._clock = clock
        self._pool = ConnectionPool(address, clock, dialer or DirectDialer(clock))

    def send(self, request: HttpRequest) -> HttpExchange:
        """Send the request once on one connection, without retries.

        Returns after the headers of the response arrived. Raises TargetNotReachedError only if
        no byte was written, else TargetLostError.
        """
        connection = self._start(request)
        try:
            connection.set_read_deadline(request.deadline)
            return HttpExchange(self._pool, connection, request, self._clock)
        except BaseException:
            connection.close()
            raise

    def _start(self, request: HttpRequest) -> Connection:
        """Return a connection on which the first bytes of the request were written.

        An idle connection that turns out to be closed is replaced by a new one.
        """
        is_fresh = request.fresh
        while True:
            pool = self._pool
            connection = (
                pool.connect(request.deadline) if is_fresh else pool.acquire(request.deadline)
            )
            if request.abort is not None:
                request.abort.bind(connection)
            try:
                connection.write(self._serialize(request), request.deadline)
                return connection
            except TargetNotReachedError:
                connection.close()
                is_aborted = request.abort is not None and request.abort.triggered
                if not connection.exchange_count or is_aborted:
                    raise
                is_fresh = True
            except BaseException:
                connection.close()
                raise

    def is_link_lost(self, err: TargetLostError) -> bool:
        """Return whether a request was lost on the way to the target, not by the target.

        May wait for a check of the link. A broken response proves nothing about the target if only
        other instances reach it.
        """
        if isinstance(err, TargetLinkLostError):
            return True
        if isinstance(err, TargetProtocolError) or err.relay:
            return False
        return self._pool.check_link(self._clock.monotonic())

    def is_link_silent(self) -> bool:
        """Return whether a silence of the target is one of the own link; may wait for a check."""
        return self._pool.check_link(self._clock.monotonic() - SILENCE_S)

    @property
    def idle(self) -> int:
        """Return the number of idle connections in the pool."""
        return self._pool.idle

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def _serialize(self, request: HttpRequest) -> bytes:
        host = request.host or f"{self.address.address}:{self.address.port}"
        lines = [f"{request.method} {request.path} HTTP/1.1", f"Host: {host}"]
        for name, value in request.headers:
            if name.lower() not in SKIPPED_HEADERS:
                lines.append(f"{name}: {value}")
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(request.body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("latin-1") + request.body
