"""HTTP calls to the endpoints of the key-value service."""

from __future__ import annotations

import errno
from collections.abc import Iterator

import gevent
import gevent.socket
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPConnectionClosed, HTTPParseError

from clementinepin.infrastructure.exceptions import (
    LeaseLostError,
    PlatformUnavailableError,
    ReplyLostError,
)

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0
WATCH_IDLE_TIMEOUT_S = 60.0
CONNECTIONS_MAX = 16
WATCHES_MAX = 16
STATUS_OK = 200
STATUS_NOT_FOUND = 404
NOT_SENT_ERRNOS = frozenset({errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH})
HEADERS = {"Content-Type": "application/json"}
BROKEN = (OSError, HTTPConnectionClosed, HTTPParseError)


class Transport:
    """One connection pool an endpoint; a failed call moves on to the next endpoint."""

    def __init__(self, endpoints: tuple[str, ...]) -> None:
        self._callers = [_create_client(e, CALL_TIMEOUT_S, CONNECTIONS_MAX) for e in endpoints]
        self._watchers = [_create_client(e, WATCH_IDLE_TIMEOUT_S, WATCHES_MAX) for e in endpoints]
        self._current = 0

    def call(self, path: str, body: bytes) -> bytes:
        """Post once and return the answer.

        Raises PlatformUnavailableError (nothing was sent) or ReplyLostError.
        """
        client = self._callers[self._current]
        try:
            with gevent.Timeout(CALL_TIMEOUT_S, TimeoutError):
                response = client.request("POST", path, body=body, headers=HEADERS)
                answer = bytes(response.read())
        except BROKEN as err:
            self._move_on()
            raise _classify(err, path) from err
        if response.status_code == STATUS_NOT_FOUND and b"lease" in answer:
            raise LeaseLostError(path)
        if response.status_code != STATUS_OK:
            self._move_on()
            raise ReplyLostError(f"{path} answered {response.status_code}")
        return answer

    def stream(self, path: str, body: bytes) -> Iterator[bytes]:
        """Post and yield the lines of the answer; raises PlatformUnavailableError at its end."""
        client = self._watchers[self._current]
        try:
            response = client.request("POST", path, body=body, headers=HEADERS)
            try:
                if response.status_code != STATUS_OK:
                    raise PlatformUnavailableError(f"{path} answered {response.status_code}")
                while line := response.readline(b"\n"):
                    yield line
            finally:
                response.release()
        except BROKEN as err:
            self._move_on()
            raise PlatformUnavailableError(path) from err
        self._move_on()
        raise PlatformUnavailableError(path)

    def close(self) -> None:
        """Close the pools."""
        for client in self._callers + self._watchers:
            client.close()

    def _move_on(self) -> None:
        self._current = (self._current + 1) % len(self._callers)


def _create_client(endpoint: str, timeout_s: float, connections: int) -> HTTPClient:
    host, _, port = endpoint.removeprefix("http://").rstrip("/").rpartition(":")
    return HTTPClient(
        host,
        int(port),
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=timeout_s,
        concurrency=connections,
    )


def _classify(err: BaseException, path: str) -> PlatformUnavailableError | ReplyLostError:
    if isinstance(err, OSError) and err.errno in NOT_SENT_ERRNOS:
        return PlatformUnavailableError(path)
    return ReplyLostError(path)
