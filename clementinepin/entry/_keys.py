"""Idempotency keys: a durable claim before the send, the outcome after it."""

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
KEY_MAX_CHARS: Final = 255
STORED_MAX_BYTES: Final = 256_000
SUCCESS: Final = "success"


def run_once(
    context: EntryContext,
    request: Request,
    digest: str,
    deadline: float,
    run: Callable[[], Response],
) -> Response:
    """Run a call; with an idempotency key, run it once and answer resends from the store.

    The claim is durable before ``run`` is called. Without a claim nothing is sent.
    """
    key = read_key(request)
    if not key:
        return run()
    claim = context.claims.claim(request.account.name, key, digest, deadline=deadline)
    if not claim.fresh:
        return _replay(claim)
    settler = _Settler(context, claim)
    try:
        response = run()
    except ClementinepinError as err:
        settler.settle_failure(err)
        raise
    except BaseException:
        settler.settle_failure(OutcomeUnknownError("the call was abandoned"))
        raise
    if isinstance(response.body, bytes):
        settler.settle_success(response, response.body)
        return response
    return response._replace(body=settler.follow(response, response.body))


def read_key(request: Request) -> str:
    """Return the idempotency key, empty if absent; raises InvalidInputError."""
    key = request.get_header(HEADER_IDEMPOTENCY_KEY)
    if len(key) > KEY_MAX_CHARS or not key.isprintable():
        raise InvalidInputError(
            f"the key must have at most {KEY_MAX_CHARS} printable characters",
            param=HEADER_IDEMPOTENCY_KEY,
        )
    return key


class _KeptBody:
    """What is kept of a streamed body, up to the bound."""

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.size = 0
        self.cut = False

    def add(self, piece: bytes) -> None:
        """Keep a piece."""
        self.size += len(piece)
        if self.size <= STORED_MAX_BYTES:
            self.pieces.append(piece)

    def is_whole(self, response: Response) -> bool:
        """Return whether this is an answer: a failed stream lacks its end marker."""
        if self.cut or self.size > STORED_MAX_BYTES:
            return False
        if dict(response.headers).get("Content-Type") != EVENTS_TYPE:
            return True
        return bool(self.pieces) and self.pieces[-1].endswith(DONE_EVENT)


class _Settler:
    """Settles one fresh claim once."""

    def __init__(self, context: EntryContext, claim: Claim) -> None:
        self._context = context
        self._claim = claim

    def settle_success(self, response: Response, body: bytes) -> None:
        """Store an answer, or that it is too large to be stored."""
        if len(body) > STORED_MAX_BYTES:
            self.settle_failure(AnswerTooLargeError("the answer ran and is too large to store"))
            return
        content_type = dict(response.headers).get("Content-Type", JSON_TYPE)
        self._settle(StoredOutcome(SUCCESS, response.status, content_type, body))

    def settle_failure(self, err: ClementinepinError) -> None:
        """Store a failure; one proven not to have run frees the key."""
        response = make_error_response(err, self._context.core.clock.wall())
        body = response.body if isinstance(response.body, bytes) else b""
        self._settle(StoredOutcome(str(err.outcome), response.status, JSON_TYPE, body))

    def follow(self, response: Response, body: Iterator[bytes]) -> Iterator[bytes]:
        """Pass a streamed body on and settle at its end.

        When the caller leaves, the call runs on to its end without it, so that a resend with
        the key finds the answer.
        """
        kept = _KeptBody()
        try:
            for piece in body:
                kept.add(piece)
                yield piece
        except GeneratorExit:
            self._context.background.spawn(self._finish, response, body, kept)
            raise
        self._settle_kept(response, kept)

    def _finish(self, response: Response, body: Iterator[bytes], kept: _KeptBody) -> None:
        try:
            for piece in body:
                kept.add(piece)
        except ClementinepinError as err:
            logger.info("{} Call without its caller ended: {}.", LOG_PREFIX, err.code)
            kept.cut = True
        self._settle_kept(response, kept)

    def _settle_kept(self, response: Response, kept: _KeptBody) -> None:
        if kept.is_whole(response):
            self.settle_success(response, b"".join(kept.pieces))
        else:
            self.settle_failure(OutcomeUnknownError("the former answer was not kept whole"))

    def _settle(self, outcome: StoredOutcome) -> None:
        try:
            self._context.claims.settle(self._claim, outcome)
        except ClementinepinError as err:
            logger.warning("{} Outcome not stored: {}.", LOG_PREFIX, err.code)
            self._context.core.metrics.incr("entry.settle_failed")


def _replay(claim: Claim) -> Response:
    stored = claim.stored
    if stored is None:
        raise OutcomeUnknownError("a former call with this key has no known outcome")
    headers = [("Content-Type", stored.content_type), ("X-Replayed", "true")]
    if stored.outcome != SUCCESS:
        headers.append((HEADER_OUTCOME, stored.outcome))
        headers.append(("X-Should-Retry", "true" if stored.outcome == Outcome.NOT_RUN else "false"))
    return Response(stored.status, headers, stored.body)
