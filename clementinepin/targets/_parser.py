"""Parses the bytes on a connection to a target into the response to one request."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from geventhttpclient.response import HTTPProtocolViolationError, HTTPResponse

STATUSES: Final = range(100, 600)  # all others are invalid (RFC 9110, section 15)
STATUS_FINAL_MIN: Final = 200
HTTP_VERSIONS: Final = ("HTTP/1.0", "HTTP/1.1")
SHOWN_MAX_BYTES: Final = 60  # of what can't be a response, in an error


class ResponseParser(HTTPResponse):
    """Response parser that returns the body in pieces and detects trailing messages.

    ``status`` and the headers are those of the first final response that matches the request.
    Bytes after that response don't change them.
    """

    def __init__(
        self, method: str, is_mismatched: Callable[[dict[str, str]], bool] | None = None
    ) -> None:
        super().__init__(method=method)
        self._is_mismatched = is_mismatched
        self._skips_body = False
        self.pieces: list[bytes] = []
        self.status = 0
        self.ended = False
        self.has_trailing_message = False
        self.mismatched_responses = 0

    @property
    def has_headers(self) -> bool:
        """Return whether the headers of the matching final response are complete."""
        return self.headers_complete and self.status >= STATUS_FINAL_MIN and not self._skips_body

    def list_headers(self) -> dict[str, str]:
        """Return the headers with lower-cased names."""
        return {name.lower(): value for name, value in self.items()}

    def take_body(self) -> bytes:
        """Return the body bytes parsed since the last call."""
        if len(self.pieces) == 1:
            return self.pieces.pop()
        data = b"".join(self.pieces)
        self.pieces.clear()
        return data

    def feed(self, data: str | bytes) -> None:
        """Parse a piece of the response, none at the end of the connection.

        Raises HTTPParseError, also if the protocol is RTSP or ICE, which the base class takes.
        """
        if isinstance(data, bytes) and not self.message_begun:
            first = data.lstrip(b"\r\n")[:1]
            if first not in (b"", b"H"):
                start = data[:SHOWN_MAX_BYTES]
                raise HTTPProtocolViolationError(f"{start!r} is no start of a response")
        super().feed(data)

    def _on_message_begin(self) -> None:
        if self.ended:
            self.has_trailing_message = True
            return
        super()._on_message_begin()

    def _on_header_field(self, string: str) -> None:
        if not self._is_behind_head:
            super()._on_header_field(string)

    def _on_header_value(self, string: str) -> None:
        if not self._is_behind_head:
            super()._on_header_value(string)

    @property
    def _is_behind_head(self) -> bool:
        """Return whether a field is that of a trailer or of a trailing message."""
        return self.headers_complete or self.has_trailing_message

    def _on_headers_complete(self) -> int | bool | None:
        if self.has_trailing_message:
            return None
        self.status = self.get_code()
        self._check_status_line()
        result = super()._on_headers_complete()
        if self._is_mismatched is not None and self.status >= STATUS_FINAL_MIN:
            self._skips_body = self._is_mismatched(self.list_headers())
        return result

    def _check_status_line(self) -> None:
        version = self.get_http_version()
        if self.status not in STATUSES or version not in HTTP_VERSIONS:
            raise HTTPProtocolViolationError(
                f"a response of {version} with status {self.status:03}"
            )

    def _on_message_complete(self) -> None:
        if self.has_trailing_message:
            return
        super()._on_message_complete()
        if self._skips_body:
            # A mismatched response has ended; the next message may be the matching one.
            self._skips_body = False
            self.status = 0
            self.mismatched_responses += 1
        else:
            self.ended = self.status >= STATUS_FINAL_MIN

    def _on_body(self, buf: bytearray) -> None:
        if self.status < STATUS_FINAL_MIN:
            # The parser takes a length or chunks of an interim response for those of a body.
            raise HTTPProtocolViolationError(f"an interim response {self.status:03} has a body")
        if not self.has_trailing_message and not self._skips_body:
            self.pieces.append(bytes(buf))
