"""Attempts of one online call: send, and go on elsewhere where that is safe."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from clementinepin.entry._calls import OnlineCall
from clementinepin.entry._context import EntryContext
from clementinepin.entry._http import DONE_EVENT
from clementinepin.entry._retry import CallAttempts, classify_failure
from clementinepin.exceptions import ClementinepinError
from clementinepin.scheduling import CallResult, Placement
from clementinepin.targets import GenerateRequest, StreamChunk, TargetAddress
from clementinepin.targets.exceptions import (
    TargetLostError,
    TargetNotReachedError,
    TargetRefusedError,
)

REPORT_EVERY_TOKENS: Final = 16
PATIENCE_MIN_S: Final = 2.0
PATIENCE_TARGETS: Final = 4.0


class OnlineAttempts:
    """Runs one call over as many attempts as are allowed and safe."""

    def __init__(self, context: EntryContext, call: OnlineCall) -> None:
        self._context = context
        self._call = call
        self._attempts = CallAttempts(context, call.info)
        self._texts: list[str] = [call.resume.text] if call.resume.text else []
        self._tokens = call.resume.tokens
        self._delivered = False
        self._finish_reason: str | None = None
        self.target: TargetAddress | None = None

    def run(self) -> Iterator[StreamChunk]:
        """Yield the answer's chunks to its end.

        Raises a NotRunError only with proof for every attempt. An answer of which a part was
        delivered goes on from there, or ends as a failure.
        """
        while True:
            placement = self._attempts.acquire()
            self.target = placement.target
            try:
                yield from self._attempt(placement)
                return
            except (TargetNotReachedError, TargetRefusedError, TargetLostError) as err:
                if self._call.resumable and self._finish_reason is not None:
                    yield StreamChunk(DONE_EVENT, "", 0, done=True)
                    return
                if self._delivered and not self._call.resumable:
                    raise
                self._attempts.wait_for_retry(err, placement, started=self._delivered)

    def _attempt(self, placement: Placement) -> Iterator[StreamChunk]:
        scheduler, ticket = self._context.scheduler, placement.ticket
        chunks = self._context.targets.get_engine(placement.target).generate(self._make_request())
        result = CallResult.CANCELLED
        started = False
        unreported = 0
        try:
            for chunk in chunks:
                if not started:
                    started = True
                    scheduler.report_first_token(ticket)
                self._note(chunk)
                unreported += chunk.tokens
                if unreported >= REPORT_EVERY_TOKENS or chunk.done:
                    scheduler.report_tokens(ticket, unreported)
                    unreported = 0
                if chunk.done:
                    result = CallResult.SUCCESS
                yield chunk
        except ClementinepinError as err:
            result = classify_failure(err, started=started)
            raise
        finally:
            chunks.close()  # type: ignore[attr-defined]
            scheduler.finish(ticket, result)

    def _make_request(self) -> GenerateRequest:
        call = self._call
        return GenerateRequest(
            request_id=self._call.info.request_id,
            path=call.path,
            body=call.body,
            priority=self._call.info.priority,
            deadline=self._call.info.deadline,
            resume_text="".join(self._texts),
            resume_tokens=self._tokens,
            idempotent=self._call.info.idempotent,
            whole=call.whole,
            first_token_by=self._compute_first_token_by(),
        )

    def _compute_first_token_by(self) -> float:
        """Return when the first attempt is given up for another one; 0 for all others.

        Only the first: a request that needs long everywhere must end somewhere.
        """
        call = self._call
        if not call.resumable or self._attempts.info.tried:
            return 0.0
        patience_s = max(PATIENCE_MIN_S, PATIENCE_TARGETS * call.first_token_target_s)
        now = self._context.core.clock.monotonic()
        return now + patience_s if now + 2 * patience_s < call.info.deadline else 0.0

    def _note(self, chunk: StreamChunk) -> None:
        self._delivered = True
        if chunk.text:
            self._texts.append(chunk.text)
            self._tokens += chunk.tokens
        if chunk.finish_reason is not None:
            self._finish_reason = chunk.finish_reason
