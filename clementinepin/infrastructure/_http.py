"""HTTP reads from platform services, limited in time and size."""

from __future__ import annotations

from typing import NamedTuple

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from clementinepin.infrastructure.exceptions import PlatformUnavailableError

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 3.0
CONNECTIONS_MAX = 2
RESPONSE_MAX_BYTES = 16_000_000


class HttpResponse(NamedTuple):
    """Status, the header ``Retry-After`` (None if absent) and the body of a response."""

    status: int
    retry_after: str | None
    body: bytes


def create_http_client(address: str) -> HTTPClient:
    """Return a client of ``address``, which is ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return HTTPClient(
        host.strip("[]"),
        int(port),
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=READ_TIMEOUT_S,
        concurrency=CONNECTIONS_MAX,
    )


def fetch_response(client: HTTPClient, method: str, path: str) -> HttpResponse:
    """Send a GET or HEAD request and return the response.

    Raise PlatformUnavailableError if there is no response in time or it is too large.
    """
    try:
        with gevent.Timeout(READ_TIMEOUT_S, TimeoutError):
            response = client.request(method, path)
            body = b"" if method == "HEAD" else bytes(response.read(RESPONSE_MAX_BYTES + 1))
            headers = {name.lower(): value for name, value in response.headers}
            status = response.status_code
            response.release()
    except (OSError, HTTPParseError) as err:
        raise PlatformUnavailableError(f"{method} {path}: {err}") from err
    if len(body) > RESPONSE_MAX_BYTES:
        raise PlatformUnavailableError(
            f"{method} {path}: response is larger than {RESPONSE_MAX_BYTES} bytes"
        )
    return HttpResponse(status, headers.get("retry-after"), body)
