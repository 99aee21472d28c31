"""Sockets to targets, on which one greenlet writes a request while another reads the response."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from gevent import socket


class TargetSocket:
    """A connected socket whose failure is seen by reads, whichever call the kernel told of it.

    The kernel reports a reset or a lost link to one call only. If that is a write, a later read
    gets an end of file, as if the target had closed its connection behind all of its response.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._failure: OSError | None = None

    def send(self, data: memoryview) -> int:
        """Write a first part of the data and return its size."""
        with self._keep_failure():
            return int(self._sock.send(data))

    def sendall(self, data: bytes) -> None:
        """Write all data."""
        with self._keep_failure():
            self._sock.sendall(data)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return at most ``size`` bytes, none at the end that the target gave the stream.

        Raises ConnectionAbortedError at the end if a write found the connection broken.
        """
        data = bytes(self._sock.recv(size, flags))
        if not data and self._failure is not None:
            raise ConnectionAbortedError(
                f"the connection broke while it was written to: {self._failure}"
            ) from self._failure
        return data

    def settimeout(self, timeout_s: float | None) -> None:
        """Limit the time of each later call; None waits without limit, 0 not at all."""
        self._sock.settimeout(timeout_s)

    def shutdown(self, how: int) -> None:
        """End the stream, so that a reader in another greenlet wakes up."""
        self._sock.shutdown(how)

    def close(self) -> None:
        """Close the socket; a second call has no effect."""
        self._sock.close()

    @contextmanager
    def _keep_failure(self) -> Iterator[None]:
        try:
            yield
        except BrokenPipeError:
            # The target, or this instance, had ended the stream before: its end was in order.
            raise
        except OSError as err:
            self._failure = self._failure or err
            raise
