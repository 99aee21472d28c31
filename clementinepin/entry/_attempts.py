"""Attempts of one online call: sends it and retries on another target where that is safe."""

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

# Generated tokens are reported to the scheduler in groups of this size.
REPORT_INTERVAL_TOKENS: Final = 16
# The first attempt waits for its first token for the larger of the minimum and the factor times
# the service's first-token target.
FIRST_TOKEN_WAIT_MIN_S: Final = 2.0
FIRST_TOKEN_WAIT_FACTOR: Final = 4.0


class OnlineAttempts:
    """Runs one call, with as many attempts as are allowed and safe.

    ``target`` is the target of the latest attempt.
    """

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
        """Yield the chunks of the response.

        After a failure, a resumable call continues on another target after the last delivered
        chunk; a call that can't be continued raises the failure. NotRunError is raised only if it
        is certain that no attempt has run.
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
        """Send the call to one target, yield its chunks and release the slot."""
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
                self._record_chunk(chunk)
                unreported += chunk.tokens
                if unreported >= REPORT_INTERVAL_TOKENS or chunk.done:
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
        """Return the monotonic time by which the first token must arrive, 0 for no limit.

        Only the first attempt has this limit, so that a request that is slow on every target still
        completes. The limit applies only if the deadline leaves as much time again for another
        attempt.
        """
        call = self._call
        if not call.resumable or self._attempts.info.tried:
            return 0.0
        wait_s = max(FIRST_TOKEN_WAIT_MIN_S, FIRST_TOKEN_WAIT_FACTOR * call.first_token_target_s)
        now = self._context.core.clock.monotonic()
        return now + wait_s if now + 2 * wait_s < call.info.deadline else 0.0

    def _record_chunk(self, chunk: StreamChunk) -> None:
        self._delivered = True
        if chunk.text:
            self._texts.append(chunk.text)
            self._tokens += chunk.tokens
        if chunk.finish_reason is not None:
            self._finish_reason = chunk.finish_reason
