"""HTTP client that tries one entry after the other."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Iterator
from http.client import HTTPException
from typing import Any, Final, NamedTuple
from urllib.parse import urlsplit

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPSocketPoolResponse

from clementinepin._cli.exceptions import (
    EntryUnreachableError,
    RemoteError,
    ReplyMissingError,
    UsageError,
)

CONNECT_TIMEOUT_S: Final = 3.0
REPLY_TIMEOUT_S: Final = 60.0
CHUNK_BYTES: Final = 65_536
TLS_PORT: Final = 443
PLAIN_PORT: Final = 80
SAFE_METHODS: Final = ("GET", "HEAD")
PARSE_ERRORS: Final = (HTTPException,)
ERROR_STATUS_MIN: Final = 400
UNAVAILABLE_STATUS: Final = 503


Body = bytes | Callable[[], Iterator[bytes]]


class Entry(NamedTuple):
    """Address of one entry."""

    host: str
    port: int
    tls: bool


class Reply(NamedTuple):
    """A whole reply of an entry."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return msgspec.json.decode(self.body or b"null")


def parse_entry(text: str) -> Entry:
    """Return the entry of an address such as ``10.0.0.1:8080`` or ``https://10.0.0.1``."""
    parts = urlsplit(text if "//" in text else f"http://{text}")
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise UsageError(f"{text} is not an address of an entry", param="--entry")
    tls = parts.scheme == "https"
    try:
        port = parts.port or (TLS_PORT if tls else PLAIN_PORT)
    except ValueError as err:
        raise UsageError(f"{text} has no valid port", param="--entry") from err
    return Entry(parts.hostname, port, tls)


class EntryClient:
    """Sends requests to the first entry that accepts a connection.

    A request that was sent and got no reply is sent again only if it is safe to repeat.
    A proven refusal of a leaving or limited entry moves on to the next one.
    """

    def __init__(self, entries: list[Entry], key: str, ca_file: str | None = None) -> None:
        self._entries = entries
        self._key = key
        self._ca_file = ca_file

    @property
    def uses_tls(self) -> bool:
        """Return whether the entries speak TLS."""
        return any(entry.tls for entry in self._entries)

    def narrow(self, entry: Entry) -> EntryClient:
        """Return a client with the same key for one entry alone."""
        return EntryClient([entry], self._key, self._ca_file)

    def fetch(self, path: str) -> Any:
        """Return the decoded answer of a GET."""
        return self.send("GET", path).json()

    def post(
        self,
        path: str,
        value: object,
        headers: dict[str, str] | None = None,
        *,
        repeatable: bool = False,
    ) -> Any:
        """Return the decoded answer of a POST of JSON."""
        sent = {"Content-Type": "application/json", **(headers or {})}
        body = msgspec.json.encode(value)
        return self.send("POST", path, body, sent, repeatable=repeatable).json()

    def send(
        self,
        method: str,
        path: str,
        body: Body = b"",
        headers: dict[str, str] | None = None,
        *,
        repeatable: bool = False,
    ) -> Reply:
        """Return a whole reply; raises RemoteError for a status of 400 or more.

        ``repeatable`` lets a call go to the next entry after its reply was lost.
        """
        failure: EntryUnreachableError | ReplyMissingError | RemoteError
        failure = EntryUnreachableError("no entry is given")
        for entry in self._entries:
            try:
                return self._send_to(entry, method, path, body, headers or {})
            except EntryUnreachableError as err:
                failure = err
            except ReplyMissingError as err:
                failure = err
                if method not in SAFE_METHODS and not repeatable:
                    break
            except RemoteError as err:
                if err.remote_status != UNAVAILABLE_STATUS or err.remote_outcome != "not_run":
                    raise
                failure = err
        raise failure

    def stream(self, path: str) -> Iterator[bytes]:
        """Yield the pieces of a GET's answer from the first entry that gives one."""
        failure: EntryUnreachableError | ReplyMissingError = EntryUnreachableError()
        for entry in self._entries:
            client = self._open(entry)
            try:
                response = self._request(client, entry, "GET", path, b"", {})
            except (EntryUnreachableError, ReplyMissingError) as err:
                failure = err
                client.close()
                continue
            try:
                yield from _read_pieces(response)
            except (OSError, *PARSE_ERRORS) as err:
                raise ReplyMissingError(f"the answer broke off: {err}") from err
            finally:
                client.close()
            return
        raise failure

    def _send_to(
        self, entry: Entry, method: str, path: str, body: Body, headers: dict[str, str]
    ) -> Reply:
        client = self._open(entry)
        try:
            response = self._request(client, entry, method, path, body, headers)
            return Reply(response.status_code, _read_headers(response), bytes(response.read()))
        except (OSError, *PARSE_ERRORS) as err:
            raise ReplyMissingError(f"{entry.host}:{entry.port} gave no reply: {err}") from err
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
            network_timeout=REPLY_TIMEOUT_S,
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
    ) -> HTTPSocketPoolResponse:
        """Send one request; a connection that cannot be opened proves that nothing was sent."""
        try:
            client._connection_pool.return_socket(client._connection_pool.get_socket())
        except OSError as err:
            raise EntryUnreachableError(f"{entry.host}:{entry.port}: {err}") from err
        sent = dict(headers)
        if self._key:
            sent["Authorization"] = f"Bearer {self._key}"
        try:
            response = client.request(method, path, body() if callable(body) else body, sent)
        except (OSError, *PARSE_ERRORS) as err:
            raise ReplyMissingError(f"{entry.host}:{entry.port} gave no reply: {err}") from err
        if response.status_code >= ERROR_STATUS_MIN:
            raise RemoteError(response.status_code, _read_error(bytes(response.read())))
        return response


def _read_headers(response: HTTPSocketPoolResponse) -> dict[str, str]:
    return {str(name).lower(): str(value) for name, value in response.items()}


def _read_pieces(response: HTTPSocketPoolResponse) -> Iterator[bytes]:
    while piece := response.read(CHUNK_BYTES):
        yield bytes(piece)


def _read_error(body: bytes) -> dict[str, Any]:
    try:
        error = msgspec.json.decode(body)["error"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return {}
    return error if isinstance(error, dict) else {}
