"""Caller of the system that reads streamed and plain responses and reports what arrived."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from http.client import HTTPException
from typing import Any, Final, NamedTuple

import msgspec
from geventhttpclient import HTTPClient

TIMEOUT_S: Final = 30.0
CONNECT_TIMEOUT_S: Final = 2.0
DONE: Final = b"[DONE]"
RESUME_COMMENT: Final = b": resume "
CONNECTION_ERRORS: Final = (OSError, HTTPException)


class Response(NamedTuple):
    """Response to one call, or what arrived of it; ``status`` is 0 if no status line arrived.

    ``whole`` is True only if the response ended properly and holds no error. ``sent`` is False if
    no connection was made. ``outcome``, ``code`` and ``retry_at`` come from the error in the
    response; without one ``code`` is the text of the connection error. ``first_token_s`` and
    ``seconds`` count from the start of the call.
    """

    status: int
    text: str
    tokens: int
    whole: bool
    sent: bool
    outcome: str
    code: str
    retry_at: float | None
    resume_token: str
    first_token_s: float
    seconds: float


class Caller:
    """Sends the calls of one account to instances on loopback."""

    def __init__(self, key: str, *, timeout_s: float = TIMEOUT_S) -> None:
        self._key = key
        self._timeout_s = timeout_s

    def complete(
        self,
        port: int,
        body: dict[str, Any],
        headers: dict[str, str] | None = None,
        on_token: Callable[[int, str], None] | None = None,
    ) -> Response:
        """Call ``/v1/completions``; ``on_token`` gets the count of tokens so far and each text."""
        reader = _Reader(on_token)
        self._send_request(
            port, "POST", "/v1/completions", msgspec.json.encode(body), headers, reader
        )
        return reader.make_response(streamed=bool(body.get("stream")))

    def call(
        self,
        port: int,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Call any resource; ``text`` is the body, or empty if the body is an error."""
        reader = _Reader(None)
        self._send_request(port, method, path, body, headers, reader)
        return reader.make_response(streamed=False)

    def _send_request(
        self,
        port: int,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None,
        reader: _Reader,
    ) -> None:
        client = HTTPClient(
            "127.0.0.1",
            port,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=self._timeout_s,
        )
        own_headers = {"Authorization": f"Bearer {self._key}", "Content-Type": "application/json"}
        try:
            pool = client._connection_pool
            pool.return_socket(pool.get_socket())
            reader.sent = True
            response = client.request(method, path, body, own_headers | (headers or {}))
            reader.status = response.status_code
            reader.consume(_read_pieces(response))
        except CONNECTION_ERRORS as err:
            reader.failure = str(err)
        finally:
            client.close()


class _Reader:
    """Parses one response as it arrives."""

    def __init__(self, on_token: Callable[[int, str], None] | None) -> None:
        self.status = 0
        self.sent = False
        self.failure = ""
        self._on_token = on_token
        self._started_at = time.monotonic()
        self._first_token_s = 0.0
        self._buffer = bytearray()
        self._texts: list[str] = []
        self._done_seen = False
        self._end_reached = False
        self._error: dict[str, Any] = {}
        self._resume_token = ""

    def consume(self, pieces: Iterator[bytes]) -> None:
        """Read a response to its end: parse events, keep all else in the buffer."""
        for piece in pieces:
            self._buffer += piece
            while self.status == 200 and b"\n\n" in self._buffer:
                event, _, rest = bytes(self._buffer).partition(b"\n\n")
                if not event.startswith((b"data: ", b":")):
                    break
                self._buffer = bytearray(rest)
                self._read_event(event)
        self._end_reached = True

    def make_response(self, *, streamed: bool) -> Response:
        """Return the result of the call."""
        body = bytes(self._buffer)
        if not streamed or self.status != 200:
            self._read_body(body)
        whole = self._done_seen if streamed else self._end_reached and self.status == 200
        error = self._error
        return Response(
            status=self.status,
            text="".join(self._texts),
            tokens=len(self._texts),
            whole=whole and not error,
            sent=self.sent,
            outcome=str(error.get("outcome", "")),
            code=str(error.get("code", self.failure)),
            retry_at=error.get("retry_at"),
            resume_token=self._resume_token,
            first_token_s=self._first_token_s,
            seconds=time.monotonic() - self._started_at,
        )

    def _read_event(self, event: bytes) -> None:
        if event.startswith(RESUME_COMMENT):
            self._resume_token = event.removeprefix(RESUME_COMMENT).decode()
        if not event.startswith(b"data: "):
            return
        data = event.removeprefix(b"data: ")
        if data == DONE:
            self._done_seen = True
            return
        message = msgspec.json.decode(data)
        if "error" in message:
            self._error = message["error"]
            return
        self._add_text(message["choices"][0].get("text", ""))

    def _add_text(self, text: str) -> None:
        if not text:
            return
        if not self._texts:
            self._first_token_s = time.monotonic() - self._started_at
        self._texts.append(text)
        if self._on_token is not None:
            self._on_token(len(self._texts), text)

    def _read_body(self, body: bytes) -> None:
        try:
            message = msgspec.json.decode(body)
        except msgspec.DecodeError:
            self._texts = [body.decode(errors="replace")] if body else []
            return
        if isinstance(message, dict) and "error" in message:
            self._error = message["error"]
        elif isinstance(message, dict) and message.get("choices"):
            self._add_text(message["choices"][0].get("text", ""))
        else:
            self._texts = [body.decode()]


def _read_pieces(response: Any) -> Iterator[bytes]:
    while piece := response.readline(b"\n"):
        yield bytes(piece)
    if rest := response.read():
        yield bytes(rest)
