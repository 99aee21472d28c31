"""HTTP client that tries several entry instances in order."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Iterator
from http.client import HTTPException
from typing import Any, Final, NamedTuple
from urllib.parse import urlsplit

import msgspec
from geventhttpclient import HTTPClient

from clementinepin._cli.exceptions import (
    EntryUnreachableError,
    RemoteError,
    ResponseMissingError,
    ResponseUnreadableError,
    UsageError,
)
from clementinepin._cli.responses import ResponseReader, encode_chunks, send_request
from clementinepin.helpers.decoding import make_json_decoder

CONNECT_TIMEOUT_S: Final = 3.0
RESPONSE_TIMEOUT_S: Final = 60.0
TLS_PORT: Final = 443
PLAIN_PORT: Final = 80
SAFE_METHODS: Final = ("GET", "HEAD")
HTTP_ERRORS: Final = (HTTPException,)
ERROR_STATUS_MIN: Final = 400
UNAVAILABLE_STATUS: Final = 503
BODY_SHOWN_BYTES: Final = 80


Body = bytes | Callable[[], Iterator[bytes]]


class Entry(NamedTuple):
    """Address of one entry instance."""

    host: str
    port: int
    tls: bool


_decode_json: Callable[[bytes], Any] = make_json_decoder()


class EntryResponse(NamedTuple):
    """A complete response of an entry."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the JSON body decoded, None for an empty body.

        Raise ResponseUnreadableError if the body is not JSON.
        """
        try:
            return _decode_json(self.body or b"null")
        except msgspec.DecodeError as err:
            start = self.body[:BODY_SHOWN_BYTES].decode("utf-8", "replace")
            raise ResponseUnreadableError(
                f"a response with status {self.status} is not JSON: {start!r}"
            ) from err


def parse_entry(text: str) -> Entry:
    """Parse an address such as ``10.0.0.1:8080`` or ``https://10.0.0.1``.

    Raise UsageError if it is not one.
    """
    try:
        parts = urlsplit(text if "//" in text else f"http://{text}")
    except ValueError as err:
        raise UsageError(f"{text} is not an address: {err}", param="--entry") from err
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise UsageError(f"{text} is not the address of an entry (IP:PORT or URL)", param="--entry")
    if not parts.hostname.isprintable():
        raise UsageError(f"{text!r} is not an address", param="--entry")
    tls = parts.scheme == "https"
    try:
        port = parts.port or (TLS_PORT if tls else PLAIN_PORT)
    except ValueError as err:
        raise UsageError(f"{text} has no valid port", param="--entry") from err
    return Entry(parts.hostname, port, tls)


class EntryClient:
    """Sends requests to the first entry that accepts a connection.

    A request whose response was lost is sent again only if it is safe to repeat. If an entry
    rejects a request with proof that it did not run, as when the entry drains or is at its limit,
    the next entry is tried.
    """

    def __init__(self, entries: list[Entry], key: str, ca_file: str | None = None) -> None:
        self._entries = entries
        self._key = key
        self._ca_file = ca_file

    @property
    def uses_tls(self) -> bool:
        """Return whether any entry uses TLS."""
        return any(entry.tls for entry in self._entries)

    def restrict_to(self, entry: Entry) -> EntryClient:
        """Return a client with the same key that uses only this entry."""
        return EntryClient([entry], self._key, self._ca_file)

    def fetch(self, path: str) -> Any:
        """Send a GET and return the decoded JSON response."""
        return self.send("GET", path).json()

    def post(
        self,
        path: str,
        value: object,
        headers: dict[str, str] | None = None,
        *,
        repeatable: bool = False,
    ) -> Any:
        """Send ``value`` as JSON by POST and return the decoded JSON response."""
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        body = msgspec.json.encode(value)
        return self.send("POST", path, body, all_headers, repeatable=repeatable).json()

    def send(
        self,
        method: str,
        path: str,
        body: Body = b"",
        headers: dict[str, str] | None = None,
        *,
        repeatable: bool = False,
    ) -> EntryResponse:
        """Send a request and return the complete response.

        ``repeatable`` allows a call that is not a GET or HEAD to be sent to the next entry after
        its response was lost. Raise RemoteError for a status of 400 or more, EntryUnreachableError
        if no entry accepts a connection and ResponseMissingError if the response was lost.
        """
        failure: EntryUnreachableError | ResponseMissingError | RemoteError
        failure = EntryUnreachableError("no entry address was given")
        for entry in self._entries:
            try:
                return self._send_to(entry, method, path, body, headers or {})
            except EntryUnreachableError as err:
                failure = err
            except ResponseMissingError as err:
                failure = err
                if method not in SAFE_METHODS and not repeatable:
                    break
            except RemoteError as err:
                if err.remote_status != UNAVAILABLE_STATUS or err.remote_outcome != "not_run":
                    raise
                failure = err
        raise failure

    def stream(self, path: str) -> Iterator[bytes]:
        """Yield the body of a GET in chunks, from the first entry that responds.

        Raise ResponseMissingError if the body ends early: it cannot be continued at another entry.
        """
        failure: EntryUnreachableError | ResponseMissingError = EntryUnreachableError()
        for entry in self._entries:
            client = self._open(entry)
            try:
                response = self._request(client, entry, "GET", path, b"", {})
            except (EntryUnreachableError, ResponseMissingError) as err:
                failure = err
                client.close()
                continue
            try:
                yield from iter(response.read, b"")
            except (OSError, *HTTP_ERRORS) as err:
                raise ResponseMissingError(f"the response ended early: {err}") from err
            finally:
                response.close()
                client.close()
            return
        raise failure

    def _send_to(
        self, entry: Entry, method: str, path: str, body: Body, headers: dict[str, str]
    ) -> EntryResponse:
        client = self._open(entry)
        try:
            response = self._request(client, entry, method, path, body, headers)
            try:
                return EntryResponse(response.status, response.headers, response.read_all())
            finally:
                response.close()
        except (OSError, *HTTP_ERRORS) as err:
            raise ResponseMissingError(
                f"no response from {entry.host}:{entry.port}: {err}"
            ) from err
        finally:
            client.close()

    def _open(self, entry: Entry) -> HTTPClient:
        options: dict[str, Any] = {}
        if entry.tls:
            options = {"ssl": True, "ssl_context_factory": self._create_tls_context}
        return HTTPClient(
            entry.host,
            entry.port,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=RESPONSE_TIMEOUT_S,
            **options,
        )

    def _create_tls_context(self, *_: Any, **__: Any) -> ssl.SSLContext:
        return ssl.create_default_context(cafile=self._ca_file)

    def _request(
        self,
        client: HTTPClient,
        entry: Entry,
        method: str,
        path: str,
        body: Body,
        headers: dict[str, str],
    ) -> ResponseReader:
        """Send one request and return the response with its body unread.

        The connection is opened first, so that a failure to connect proves that nothing was sent.
        """
        try:
            sock = client._connection_pool.get_socket()
        except OSError as err:
            raise EntryUnreachableError(
                f"cannot connect to {entry.host}:{entry.port}: {err}"
            ) from err
        all_headers = dict(headers)
        if self._key:
            all_headers["Authorization"] = f"Bearer {self._key}"
        try:
            pieces = _encode_request(client, method, path, body, all_headers)
            response = send_request(sock, method, pieces)
            if response.status < ERROR_STATUS_MIN:
                return response
            try:
                error = _read_error(response.read_all())
            finally:
                response.close()
        except (OSError, *HTTP_ERRORS) as err:
            raise ResponseMissingError(
                f"no response from {entry.host}:{entry.port}: {err}"
            ) from err
        raise RemoteError(response.status, error)


def _encode_request(
    client: HTTPClient, method: str, path: str, body: Body, headers: dict[str, str]
) -> Iterator[bytes]:
    """Yield the bytes of a request; a body of unknown length is sent in chunks."""
    is_chunked = callable(body)
    known = b"" if callable(body) else body
    head = client._build_request(method, path, known, headers, chunked=is_chunked)
    yield head.encode("latin-1") + known
    if callable(body):
        yield from encode_chunks(body())


def _read_error(body: bytes) -> dict[str, Any]:
    try:
        error = _decode_json(body)["error"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return {}
    return error if isinstance(error, dict) else {}
