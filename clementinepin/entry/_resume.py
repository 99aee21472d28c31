"""Resume tokens: what lets a caller continue a stream at any instance.

The first event of a stream is a comment, ``: resume TOKEN``, which readers of server-sent
events skip; the header ``X-Resume-Token`` of the response carries the same token. When the
stream moves to another target, another comment follows. A caller whose connection broke
sends the same request to any instance with the header ``X-Resume-Token: TOKEN`` and, in the
body, ``"resume": {"text": TEXT, "tokens": N}``: the text that it has and the count of events
with text that it had. The answer starts behind that text. The token is signed with a key
that all instances derive from the peers' secret, so no state is shared; it names the target
and the stream, which is cancelled there before the answer goes on.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from typing import Any, Final, NamedTuple

import msgspec

from clementinepin.entry.exceptions import ResumeTokenInvalidError
from clementinepin.targets import TargetAddress

KEY_CONTEXT: Final = b"clementinepin resume token 1"
SIGNATURE_BYTES: Final = 16
TOKEN_MAX_CHARS: Final = 1024
VALID_S: Final = 600.0


class ResumeToken(NamedTuple):
    """What a token says. ``expires_at`` is wall-clock seconds."""

    request_id: str
    account: str
    fingerprint: str
    application: str
    target: TargetAddress
    expires_at: float


class ResumePoint(NamedTuple):
    """What the caller already has."""

    text: str = ""
    tokens: int = 0


class ResumeSigner:
    """Makes and checks tokens."""

    def __init__(self, peer_secret: str) -> None:
        self._key = hmac.digest(peer_secret.encode(), KEY_CONTEXT, hashlib.sha256)

    def sign(self, token: ResumeToken) -> str:
        """Return a token as text."""
        payload = msgspec.msgpack.encode(token)
        return base64.urlsafe_b64encode(self._make_signature(payload) + payload).decode()

    def verify(self, text: str, account: str, fingerprint: str, wall_now: float) -> ResumeToken:
        """Return what a token says; raises ResumeTokenInvalidError.

        The token must be of this account, for this request, and not expired.
        """
        token = self._decode(text)
        if token.account != account or token.fingerprint != fingerprint:
            raise ResumeTokenInvalidError("the token belongs to another request")
        if token.expires_at < wall_now:
            raise ResumeTokenInvalidError("the token has expired")
        return token

    def _decode(self, text: str) -> ResumeToken:
        if len(text) > TOKEN_MAX_CHARS:
            raise ResumeTokenInvalidError("the token is too long")
        try:
            data = base64.b64decode(text.encode("ascii"), altchars=b"-_", validate=True)
        except (binascii.Error, ValueError) as err:
            raise ResumeTokenInvalidError("the token can't be read") from err
        payload = data[SIGNATURE_BYTES:]
        if not hmac.compare_digest(data[:SIGNATURE_BYTES], self._make_signature(payload)):
            raise ResumeTokenInvalidError("the token's signature is wrong")
        try:
            return msgspec.msgpack.decode(payload, type=ResumeToken)
        except msgspec.MsgspecError as err:
            raise ResumeTokenInvalidError("the token is of another version") from err

    def _make_signature(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, payload, hashlib.sha256)[:SIGNATURE_BYTES]


def read_resume_point(value: Any, text_max_chars: int) -> ResumePoint:
    """Return the caller's resume point; raises ResumeTokenInvalidError."""
    if not isinstance(value, dict):
        raise ResumeTokenInvalidError("resume must hold text and tokens", param="resume")
    text, tokens = value.get("text", ""), value.get("tokens", 0)
    if not isinstance(text, str) or len(text) > text_max_chars:
        raise ResumeTokenInvalidError("resume.text must be a string", param="resume.text")
    if not isinstance(tokens, int) or isinstance(tokens, bool) or not 0 <= tokens <= len(text):
        raise ResumeTokenInvalidError(
            "resume.tokens must count the events of resume.text", param="resume.tokens"
        )
    if text and not tokens:
        raise ResumeTokenInvalidError("resume.tokens is missing", param="resume.tokens")
    return ResumePoint(text, tokens)


def make_resume_event(token: str) -> bytes:
    """Return the comment that carries a token."""
    return f": resume {token}\n\n".encode()
