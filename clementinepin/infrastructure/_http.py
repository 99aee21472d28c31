"""One bounded HTTP read from a platform service."""

from __future__ import annotations

from typing import NamedTuple

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from clementinepin.infrastructure.exceptions import PlatformUnavailableError

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 3.0
CONNECTIONS_MAX = 2
ANSWER_MAX_BYTES = 16_000_000


class HttpAnswer(NamedTuple):
    """Status, the header ``Retry-After`` and the body of an answer."""

    status: int
    retry_after: str | None
    body: bytes


def create_http_reader(address: str) -> HTTPClient:
    """Return a client of ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return HTTPClient(
        host.strip("[]"),
        int(port),
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=READ_TIMEOUT_S,
        concurrency=CONNECTIONS_MAX,
    )


def fetch_answer(client: HTTPClient, method: str, path: str) -> HttpAnswer:
    """Send a request without side effects; raises PlatformUnavailableError."""
    try:
        with gevent.Timeout(READ_TIMEOUT_S, TimeoutError):
            response = client.request(method, path)
            body = b"" if method == "HEAD" else bytes(response.read(ANSWER_MAX_BYTES + 1))
            headers = {name.lower(): value for name, value in response.headers}
            status = response.status_code
            response.release()
    except (OSError, HTTPParseError) as err:
        raise PlatformUnavailableError(f"{method} {path}: {err}") from err
    if len(body) > ANSWER_MAX_BYTES:
        raise PlatformUnavailableError(f"{method} {path}: answer too long")
    return HttpAnswer(status, headers.get("retry-after"), body)
