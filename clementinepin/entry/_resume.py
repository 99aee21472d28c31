"""Resume tokens, with which a caller can continue a broken stream at any instance.

The first event of a stream is a comment, ``: resume TOKEN``, which readers of server-sent
events skip; the header ``X-Resume-Token`` of the response carries the same token. When the
stream moves to another target, another comment with a new token follows. A caller whose
connection broke sends the same request to any instance with the header ``X-Resume-Token: TOKEN``
and, in the body, ``"resume": {"text": TEXT, "tokens": N}``: the text that it received and the
number of events that carried it. The response continues after that text.

The token is signed with a key that all instances derive from the peer secret, so they need no
shared state. It names the target and the request id of the broken stream, which is cancelled
there when the caller resumes.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import msgspec

from clementinepin.entry.exceptions import ResumeTokenInvalidError
from clementinepin.helpers.decoding import guard_decoder, make_msgpack_decoder
from clementinepin.targets import TargetAddress

KEY_CONTEXT: Final = b"clementinepin resume token 1"
SIGNATURE_BYTES: Final = 16
TOKEN_MAX_CHARS: Final = 1024
# A new token expires after this time.
TOKEN_VALID_S: Final = 600.0


class ResumeToken(NamedTuple):
    """The content of a token. ``expires_at`` is in wall-clock seconds."""

    request_id: str
    account: str
    fingerprint: str
    application: str
    target: TargetAddress
    expires_at: float


_decode_base64 = guard_decoder(base64.b64decode)
_decode_token: Callable[[bytes], ResumeToken] = make_msgpack_decoder(ResumeToken)


class ResumePoint(NamedTuple):
    """The text that the caller already received, and the number of events that carried it."""

    text: str = ""
    tokens: int = 0


class ResumeSigner:
    """Signs and verifies tokens."""

    def __init__(self, peer_secret: str) -> None:
        self._key = hmac.digest(peer_secret.encode(), KEY_CONTEXT, hashlib.sha256)

    def sign(self, token: ResumeToken) -> str:
        """Return the token as signed text for a header."""
        payload = msgspec.msgpack.encode(token)
        return base64.urlsafe_b64encode(self._make_signature(payload) + payload).decode()

    def verify(self, text: str, account: str, fingerprint: str, wall_now: float) -> ResumeToken:
        """Return the content of a token.

        Raise ResumeTokenInvalidError if it is malformed, forged, expired, or was issued for
        another account or request. ``wall_now`` is in wall-clock seconds.
        """
        token = self._decode(text)
        if token.account != account or token.fingerprint != fingerprint:
            raise ResumeTokenInvalidError("the resume token belongs to another request")
        if token.expires_at < wall_now:
            raise ResumeTokenInvalidError("the resume token has expired")
        return token

    def _decode(self, text: str) -> ResumeToken:
        if len(text) > TOKEN_MAX_CHARS:
            raise ResumeTokenInvalidError("the resume token is too long")
        try:
            data = _decode_base64(text.encode("ascii", "replace"), altchars=b"-_", validate=True)
        except msgspec.DecodeError as err:
            raise ResumeTokenInvalidError("the resume token is not valid base64") from err
        payload = data[SIGNATURE_BYTES:]
        if not hmac.compare_digest(data[:SIGNATURE_BYTES], self._make_signature(payload)):
            raise ResumeTokenInvalidError("the signature of the resume token is invalid")
        try:
            return _decode_token(payload)
        except msgspec.DecodeError as err:
            raise ResumeTokenInvalidError("the resume token is of an unknown version") from err

    def _make_signature(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, payload, hashlib.sha256)[:SIGNATURE_BYTES]


def read_resume_point(value: Any, text_max_chars: int) -> ResumePoint:
    """Return the resume point in a request body; raise ResumeTokenInvalidError if it is invalid."""
    if not isinstance(value, dict):
        raise ResumeTokenInvalidError(
            "resume must be an object with text and tokens", param="resume"
        )
    text, tokens = value.get("text", ""), value.get("tokens", 0)
    if not isinstance(text, str) or len(text) > text_max_chars:
        raise ResumeTokenInvalidError(
            f"resume.text must be a string of at most {text_max_chars} characters",
            param="resume.text",
        )
    if not isinstance(tokens, int) or isinstance(tokens, bool) or not 0 <= tokens <= len(text):
        raise ResumeTokenInvalidError(
            "resume.tokens must count the events that carried resume.text",
            param="resume.tokens",
        )
    if text and not tokens:
        raise ResumeTokenInvalidError("resume.tokens is missing", param="resume.tokens")
    return ResumePoint(text, tokens)


def make_resume_event(token: str) -> bytes:
    """Return the event-stream comment that carries a token."""
    return f": resume {token}\n\n".encode()
