"""Requests and responses of the entry's resources."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final, NamedTuple

import gevent
import msgspec

from clementinepin.config import AccountSpec
from clementinepin.entry._budget import BodyBudget
from clementinepin.entry.exceptions import (
    AuthenticationError,
    BodyIncompleteError,
    BodyMemoryExhaustedError,
    BodyTimeoutError,
    BodyTooLargeError,
    HeadersRejectedError,
    JsonInvalidError,
)
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.decoding import check_nesting, make_json_decoder

JSON_TYPE: Final = "application/json"
EVENTS_TYPE: Final = "text/event-stream"
DONE_EVENT: Final = b"data: [DONE]\n\n"
JSON_LINES_TYPE: Final = "application/jsonl"
LINE_BREAKS: Final = frozenset("\r\n\0")
BODY_PIECE_BYTES: Final = 65_536
# A body may take BODY_GRACE_S plus its size divided by BODY_RATE_MIN_BYTES_S.
BODY_GRACE_S: Final = 20.0
BODY_RATE_MIN_BYTES_S: Final = 10_000


class Response(NamedTuple):
    """A response. An iterator as body is streamed and is closed if the caller disconnects."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes | Iterator[bytes]


class Request:
    """One request: WSGI environment, route parameters and account.

    Setting ``environ["clementinepin.close"]`` makes the server close the connection after the
    response. The server calls ``environ["clementinepin.finish"]`` after the response.
    """

    def __init__(
        self, environ: dict[str, Any], clock: Clock, body_max_bytes: int, budget: BodyBudget
    ) -> None:
        self.environ = environ
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ.get("PATH_INFO", "/")
        self.raw_path: str = environ.get("clementinepin.raw_path", self.path)
        self.query: str = environ.get("QUERY_STRING", "")
        self.params: dict[str, str] = {}
        self.is_operator = False
        self._account: AccountSpec | None = None
        self._clock = clock
        self._body_max_bytes = body_max_bytes
        self._budget = budget
        self._reserved = 0
        environ["clementinepin.finish"] = self.finish

    @property
    def account(self) -> AccountSpec:
        """Return the account of the caller; raise AuthenticationError if there is none."""
        if self._account is None:
            raise AuthenticationError("this resource requires an account key")
        return self._account

    def set_account(self, account: AccountSpec) -> None:
        """Set the account that the caller's key belongs to."""
        self._account = account

    def get_header(self, name: str) -> str:
        """Return the value of a header, empty if absent."""
        key = name.upper().replace("-", "_")
        if key in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            return str(self.environ.get(key) or "")
        return str(self.environ.get(f"HTTP_{key}") or "")

    def list_headers(self) -> list[tuple[str, str]]:
        """Return the headers with their names in title case.

        Raise HeadersRejectedError for a value with a line break, which would add a header to the
        request to a target.
        """
        headers = [
            (name.removeprefix("HTTP_").replace("_", "-").title(), str(value))
            for name, value in self.environ.items()
            if name.startswith("HTTP_")
        ]
        content_type = self.environ.get("CONTENT_TYPE")
        if content_type:
            headers.append(("Content-Type", str(content_type)))
        for name, value in headers:
            if not LINE_BREAKS.isdisjoint(value):
                raise HeadersRejectedError(f"the value of header {name} contains a line break")
        return headers

    def read_body(self) -> bytes:
        """Return the complete body.

        Raise BodyTooLargeError instead of reading beyond the limit, or BodyMemoryExhaustedError.
        """
        if self._get_content_length() > self._body_max_bytes:
            raise self._make_too_large_error()
        pieces: list[bytes] = []
        total = 0
        for piece in self.iter_body():
            total += len(piece)
            if total > self._body_max_bytes:
                raise self._make_too_large_error()
            self._reserve(len(piece))
            pieces.append(piece)
        return b"".join(pieces)

    def finish(self) -> None:
        """Release the memory of the body. The server calls this after the response."""
        self._budget.release(self._reserved)
        self._reserved = 0

    def iter_body(self) -> Iterator[bytes]:
        """Yield the body in pieces.

        Raise BodyTimeoutError if it arrives too slowly (see BODY_GRACE_S), or BodyIncompleteError
        if the connection or the framing breaks.
        """
        started = self._clock.monotonic()
        source = self.environ["wsgi.input"]
        total = 0
        while True:
            expected_s = BODY_GRACE_S + (total + BODY_PIECE_BYTES) / BODY_RATE_MIN_BYTES_S
            piece = self._read_piece(source, started + expected_s - self._clock.monotonic())
            if not piece:
                return
            total += len(piece)
            yield piece

    def read_json(self) -> dict[str, Any]:
        """Return the body as a JSON object; raise JsonInvalidError if it is not one."""
        return decode_object(self.read_body())

    def _reserve(self, size: int) -> None:
        try:
            self._budget.reserve(size)
        except BodyMemoryExhaustedError:
            self._close_after_response()
            raise
        self._reserved += size

    def _get_content_length(self) -> int:
        return int(self.environ.get("CONTENT_LENGTH") or 0)

    def _read_piece(self, source: Any, wait_s: float) -> bytes:
        timeout = gevent.Timeout.start_new(max(wait_s, 0.0), TimeoutError)
        try:
            return bytes(source.read(BODY_PIECE_BYTES))
        except TimeoutError as err:
            self._close_after_response()
            raise BodyTimeoutError("the body arrives too slowly") from err
        except OSError as err:
            self._close_after_response()
            raise BodyIncompleteError(f"the body is incomplete: {err}") from err
        finally:
            timeout.close()

    def _make_too_large_error(self) -> BodyTooLargeError:
        self._close_after_response()
        return BodyTooLargeError(f"the body is larger than {self._body_max_bytes} bytes")

    def _close_after_response(self) -> None:
        """Make the server close the connection without reading the rest of the body."""
        self.environ["clementinepin.close"] = True


_decode_json: Callable[[bytes], Any] = make_json_decoder()


def decode_object(data: bytes) -> dict[str, Any]:
    """Return a JSON object; raise JsonInvalidError for any other data."""
    try:
        value = _decode_json(data)
        # The body is encoded again for the target.
        check_nesting(value)
    except msgspec.DecodeError as err:
        raise JsonInvalidError(f"the body is not valid JSON: {err}") from err
    if not isinstance(value, dict):
        raise JsonInvalidError("the body must be a JSON object")
    return value


def make_json_response(
    value: object, status: int = 200, headers: Iterable[tuple[str, str]] = ()
) -> Response:
    """Return a JSON response. Values without a JSON representation become text."""
    body = msgspec.json.encode(value, enc_hook=str)
    return Response(status, [("Content-Type", JSON_TYPE), *headers], body)
