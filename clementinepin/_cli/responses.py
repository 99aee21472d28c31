"""Sends one request to an entry and reads its response."""

from __future__ import annotations

from collections.abc import Iterable
from http.client import HTTPException
from typing import Any, Final

from clementinepin.targets import ResponseParser

READ_SIZE_BYTES: Final = 65_536
BODYLESS_STATUSES: Final = (204, 304)


class ResponseReader:
    """The response to a request, whose body is read in pieces.

    It is complete only by its length or last chunk, as the end of a connection proves nothing: the
    write of the request may have got the news that the connection broke. ``write_failure`` is then
    that error. An entry may have answered before it had read the request.

    All methods raise OSError or HTTPException if the response is broken.
    """

    def __init__(self, sock: Any, method: str, write_failure: OSError | None) -> None:
        self._sock = sock
        self._write_failure = write_failure
        self._parser = ResponseParser(method)
        while not self._parser.has_headers:
            self._receive()
        self.status = self._parser.status
        self.headers = self._parser.list_headers()
        is_chunked = self.headers.get("transfer-encoding", "").lower() == "chunked"
        has_body = method != "HEAD" and self.status not in BODYLESS_STATUSES
        if has_body and not is_chunked and "content-length" not in self.headers:
            raise HTTPException(f"a response with status {self.status} has no length and no chunks")

    def read(self) -> bytes:
        """Return the next piece of the body, none at its end."""
        while not self._parser.pieces:
            if self._parser.ended:
                return b""
            self._receive()
        return self._parser.take_body()

    def read_all(self) -> bytes:
        """Return the rest of the body."""
        return b"".join(iter(self.read, b""))

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def _receive(self) -> None:
        data = self._sock.recv(READ_SIZE_BYTES)
        if not data and self._write_failure is not None:
            raise self._write_failure
        self._parser.feed(data)
        if not data and not self._parser.ended:
            raise HTTPException("the connection ended before the response")


def send_request(sock: Any, method: str, pieces: Iterable[bytes]) -> ResponseReader:
    """Write a request and return its response once the head is read.

    Closes the socket and raises OSError or HTTPException if there is none.
    """
    write_failure = None
    try:
        try:
            for piece in pieces:
                sock.sendall(piece)
        except OSError as err:
            write_failure = err
        return ResponseReader(sock, method, write_failure)
    except BaseException:
        sock.close()
        raise


def encode_chunks(pieces: Iterable[bytes]) -> Iterable[bytes]:
    """Yield pieces of a body as chunks, and the last chunk."""
    for piece in pieces:
        if piece:
            yield b"%x\r\n%s\r\n" % (len(piece), piece)
    yield b"0\r\n\r\n"
