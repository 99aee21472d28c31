"""Idempotency keys: claim the key before the call is sent, store the outcome afterwards."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final

from loguru import logger

from clementinepin.claims import Claim, StoredOutcome
from clementinepin.const import HEADER_IDEMPOTENCY_KEY, HEADER_OUTCOME
from clementinepin.entry._context import EntryContext
from clementinepin.entry._envelope import make_error_response
from clementinepin.entry._http import DONE_EVENT, EVENTS_TYPE, JSON_TYPE, Request, Response
from clementinepin.entry.exceptions import AnswerTooLargeError
from clementinepin.exceptions import (
    ClementinepinError,
    InvalidInputError,
    Outcome,
    OutcomeUnknownError,
)

LOG_PREFIX: Final = "entry:"
IDEMPOTENCY_KEY_MAX_CHARS: Final = 255
STORED_MAX_BYTES: Final = 256_000
SUCCESS: Final = "success"


def run_once(
    context: EntryContext,
    request: Request,
    digest: str,
    deadline: float,
    run: Callable[[], Response],
) -> Response:
    """Return the response of ``run``, or the stored one if the idempotency key was used before.

    Without an idempotency key, ``run`` is always called. With one, the claim is durable before
    ``run`` is called; if the claim fails, its error is raised and nothing is sent. ``deadline``
    is in monotonic seconds.
    """
    key = read_idempotency_key(request)
    if not key:
        return run()
    claim = context.claims.claim(request.account.name, key, digest, deadline=deadline)
    if not claim.fresh:
        return _replay(claim)
    settler = _ClaimSettler(context, claim)
    try:
        response = run()
    except ClementinepinError as err:
        settler.settle_failure(err)
        raise
    except BaseException:
        settler.settle_failure(OutcomeUnknownError("the call was interrupted"))
        raise
    if isinstance(response.body, bytes):
        settler.settle_success(response, response.body)
        return response
    return response._replace(body=settler.relay_body(response, response.body))


def read_idempotency_key(request: Request) -> str:
    """Return the idempotency key, empty if absent.

    Raise InvalidInputError if it is too long or not printable.
    """
    key = request.get_header(HEADER_IDEMPOTENCY_KEY)
    if len(key) > IDEMPOTENCY_KEY_MAX_CHARS or not key.isprintable():
        raise InvalidInputError(
            f"the idempotency key must have at most {IDEMPOTENCY_KEY_MAX_CHARS} printable "
            "characters",
            param=HEADER_IDEMPOTENCY_KEY,
        )
    return key


class _BodyCopy:
    """Copy of a streamed body, up to STORED_MAX_BYTES."""

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.size = 0
        self.truncated = False

    def add(self, piece: bytes) -> None:
        """Append a piece, unless the copy exceeds the limit."""
        self.size += len(piece)
        if self.size <= STORED_MAX_BYTES:
            self.pieces.append(piece)

    def is_complete(self, response: Response) -> bool:
        """Return whether the copy holds the complete body.

        A stream of events that failed lacks the end marker.
        """
        if self.truncated or self.size > STORED_MAX_BYTES:
            return False
        if dict(response.headers).get("Content-Type") != EVENTS_TYPE:
            return True
        return bool(self.pieces) and self.pieces[-1].endswith(DONE_EVENT)


class _ClaimSettler:
    """Stores the outcome of one fresh claim."""

    def __init__(self, context: EntryContext, claim: Claim) -> None:
        self._context = context
        self._claim = claim

    def settle_success(self, response: Response, body: bytes) -> None:
        """Store a response; one above STORED_MAX_BYTES is stored as AnswerTooLargeError."""
        if len(body) > STORED_MAX_BYTES:
            self.settle_failure(
                AnswerTooLargeError("the call ran, but its response is too large to store")
            )
            return
        content_type = dict(response.headers).get("Content-Type", JSON_TYPE)
        self._settle(StoredOutcome(SUCCESS, response.status, content_type, body))

    def settle_failure(self, err: ClementinepinError) -> None:
        """Store a failure. The outcome ``not_run`` frees the key."""
        response = make_error_response(err, self._context.core.clock.wall())
        body = response.body if isinstance(response.body, bytes) else b""
        self._settle(StoredOutcome(str(err.outcome), response.status, JSON_TYPE, body))

    def relay_body(self, response: Response, body: Iterator[bytes]) -> Iterator[bytes]:
        """Yield the pieces of a streamed body and store the outcome at its end.

        If the caller disconnects, the call continues in the background, so that a resend with the
        same key gets the response.
        """
        body_copy = _BodyCopy()
        try:
            for piece in body:
                body_copy.add(piece)
                yield piece
        except GeneratorExit:
            self._context.background.spawn(self._read_to_end, response, body, body_copy)
            raise
        self._settle_from_copy(response, body_copy)

    def _read_to_end(self, response: Response, body: Iterator[bytes], body_copy: _BodyCopy) -> None:
        try:
            for piece in body:
                body_copy.add(piece)
        except ClementinepinError as err:
            logger.info("{} Call of a disconnected caller failed: {}.", LOG_PREFIX, err.code)
            body_copy.truncated = True
        self._settle_from_copy(response, body_copy)

    def _settle_from_copy(self, response: Response, body_copy: _BodyCopy) -> None:
        if body_copy.is_complete(response):
            self.settle_success(response, b"".join(body_copy.pieces))
        else:
            self.settle_failure(
                OutcomeUnknownError("the earlier response was not stored completely")
            )

    def _settle(self, outcome: StoredOutcome) -> None:
        try:
            self._context.claims.settle(self._claim, outcome)
        except ClementinepinError as err:
            logger.warning("{} Failed to store an outcome: {}.", LOG_PREFIX, err.code)
            self._context.core.metrics.incr("entry.settle_failed")


def _replay(claim: Claim) -> Response:
    """Return the stored response; raise OutcomeUnknownError if there is none."""
    stored = claim.stored
    if stored is None:
        raise OutcomeUnknownError("an earlier call with this idempotency key has no known outcome")
    headers = [("Content-Type", stored.content_type), ("X-Replayed", "true")]
    if stored.outcome != SUCCESS:
        headers.append((HEADER_OUTCOME, stored.outcome))
        headers.append(("X-Should-Retry", "true" if stored.outcome == Outcome.NOT_RUN else "false"))
    return Response(stored.status, headers, stored.body)
