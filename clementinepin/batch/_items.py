"""Runs one item of a shard on a slot and keeps its progress when it is preempted."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import gevent
import msgspec
from gevent.event import Event
from loguru import logger

from clementinepin.batch._lines import InputLine
from clementinepin.batch._results import STATUS_OK, build_error, build_response, build_result
from clementinepin.config import Configuration
from clementinepin.const import Priority
from clementinepin.exceptions import ClementinepinError, NotRunError
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.decoding import check_nesting, make_json_decoder
from clementinepin.helpers.fingerprint import list_prompt_parts
from clementinepin.scheduling import (
    CallInfo,
    CallResult,
    Placement,
    Scheduler,
    classify_refusal,
)
from clementinepin.targets import (
    Engine,
    GenerateRequest,
    StreamChunk,
    TargetAddress,
    is_streamable_body,
    make_engine_body,
)
from clementinepin.targets.exceptions import (
    TargetLinkLostError,
    TargetLostError,
    TargetNotReachedError,
    TargetRefusedError,
    TargetRejectedError,
)

LOG_PREFIX = "batch:"
ATTEMPTS_MAX = 5
NO_SLOT_PAUSE_S = 1.0
NO_SLOT_PAUSE_MAX_S = 30.0
MODEL_PAUSE_S = 30.0
RETRY_PAUSE_S = 0.5
STATUS_TOO_MANY = 429
STATUS_SERVER_ERROR = 500
CODE_ATTEMPTS = "attempts_exhausted"
CODE_MODEL = "model_not_found"
TOKENS_MAX = 1_000_000
CODE_LINE = "invalid_line"
CreateEngine = Callable[[TargetAddress], Engine]


_decode_json: Callable[[bytes], Any] = make_json_decoder()


class ItemWork:
    """A claimed item without a result: its request and the output generated so far.

    ``not_before`` is monotonic seconds, ``due_at`` wall-clock seconds. ``attempts`` counts runs
    that the target rejected with an error that may be temporary. A lost target doesn't count,
    as it may crash under any item.
    """

    def __init__(
        self, index: int, request_id: str, line: InputLine, attempts: int, due_at: float
    ) -> None:
        self.index = index
        self.request_id = request_id
        self.line = line
        self.attempts = attempts
        self.due_at = due_at
        self.not_before = 0.0
        self.text = ""
        self.tokens = 0
        self.finish_reason: str | None = None
        self.resumed = False
        self.usage = b""
        self.whole = b""
        self.stop = Event()


class ItemResult(NamedTuple):
    """The result line to commit; ``failed`` adds it to the job's failed items."""

    line: bytes
    failed: bool


class _RunEnd(NamedTuple):
    """How a run ended; ``rejection`` is set when the target responded with an error."""

    result: CallResult
    rejection: TargetRejectedError | None = None


class ItemRunner:
    """Runs items on the scheduler's slots. A run ends with a result or leaves its progress."""

    def __init__(self, scheduler: Scheduler, create_engine: CreateEngine, clock: Clock) -> None:
        self._scheduler = scheduler
        self._create_engine = create_engine
        self._clock = clock

    def run(
        self,
        work: ItemWork,
        account: str,
        configuration: Configuration,
        on_placed: Callable[[], None],
    ) -> ItemResult | None:
        """Run once and return the result, or None if another run is needed.

        The next run may start at ``work.not_before``. ``on_placed`` is called as soon as a slot is
        granted.
        """
        if work.attempts >= ATTEMPTS_MAX:
            return fail_item(
                work, CODE_ATTEMPTS, f"{work.attempts} attempts were rejected by the target"
            )
        call = build_call(work, account, configuration, self._clock.monotonic())
        if call is None:
            return self._postpone_or_fail(work)
        try:
            placement = self._scheduler.acquire(call)
        except NotRunError as err:
            self._postpone(work, err)
            return None
        on_placed()
        run_end = self._run_placed(work, call, placement, configuration)
        return self._handle_run_end(work, call, run_end)

    def _run_placed(
        self, work: ItemWork, call: CallInfo, placement: Placement, configuration: Configuration
    ) -> _RunEnd:
        """Run until the stream ends or the item is preempted or stopped, and release the slot."""
        request = build_request(work, call, configuration)
        run_end = _RunEnd(CallResult.CANCELLED)
        reader = gevent.spawn(self._generate, work, request, placement)
        try:
            gevent.wait([reader, placement.preempted, work.stop], count=1)
            if reader.ready():
                run_end = reader.get()
            elif not work.stop.is_set():
                run_end = _RunEnd(CallResult.PREEMPTED)
        finally:
            reader.kill()
            self._scheduler.finish(placement.ticket, run_end.result)
        return run_end

    def _generate(self, work: ItemWork, request: GenerateRequest, placement: Placement) -> _RunEnd:
        """Read the stream into ``work``; killing this greenlet cancels the request."""
        stream: Iterator[StreamChunk] = iter(())
        try:
            stream = self._create_engine(placement.target).generate(request)
            return self._read_stream(work, request, stream, placement.ticket)
        except TargetNotReachedError:
            return _RunEnd(CallResult.NOT_REACHED)
        except TargetRefusedError as err:
            return _RunEnd(classify_refusal(err))
        except TargetLinkLostError:
            work.not_before = self._clock.monotonic() + RETRY_PAUSE_S
            return _RunEnd(CallResult.CANCELLED)
        except TargetLostError:
            return _RunEnd(CallResult.LOST)
        except TargetRejectedError as err:
            return _RunEnd(CallResult.REJECTED, err)
        except ClementinepinError as err:
            logger.warning("{} Stream of an item failed: {}.", LOG_PREFIX, err.code)
            return _RunEnd(CallResult.LOST)
        finally:
            close_stream(stream)

    def _read_stream(
        self,
        work: ItemWork,
        request: GenerateRequest,
        stream: Iterator[StreamChunk],
        ticket: int,
    ) -> _RunEnd:
        """Append chunks to ``work``; a stream that ends without its last chunk counts as lost."""
        first = True
        for chunk in stream:
            if first and chunk.tokens:
                first = False
                self._scheduler.report_first_token(ticket)
            work.text += chunk.text
            work.tokens += chunk.tokens
            self._scheduler.report_tokens(ticket, chunk.tokens)
            work.finish_reason = chunk.finish_reason or work.finish_reason
            work.usage = chunk.usage or work.usage
            if chunk.done:
                work.whole = chunk.data if request.whole else b""
                return _RunEnd(CallResult.SUCCESS)
        return _RunEnd(CallResult.LOST)

    def _handle_run_end(
        self, work: ItemWork, call: CallInfo, run_end: _RunEnd
    ) -> ItemResult | None:
        """Return the result, or count the attempt, set the time of the next run and return None.

        An item is run again even if the scheduler allows no retry, then after RETRY_PAUSE_S.
        """
        if run_end.result is CallResult.SUCCESS:
            return _succeed(work)
        if run_end.rejection is not None and is_final_rejection(run_end.rejection.target_status):
            return _reject(work, run_end.rejection)
        if run_end.result is CallResult.REJECTED:
            work.attempts += 1
        if run_end.result not in (CallResult.PREEMPTED, CallResult.CANCELLED):
            scheduler_retry_at = self._scheduler.allow_retry(call, run_end.result)
            default_retry_at = self._clock.monotonic() + RETRY_PAUSE_S
            work.not_before = default_retry_at if scheduler_retry_at is None else scheduler_retry_at
        return None

    def _postpone_or_fail(self, work: ItemWork) -> ItemResult | None:
        """Postpone an item whose model is not configured; fail it once it is due.

        The model may have been removed by mistake, so the item does not fail at once.
        """
        if self._clock.wall() >= work.due_at:
            return fail_item(work, CODE_MODEL, "the model is not configured")
        work.not_before = self._clock.monotonic() + MODEL_PAUSE_S
        return None

    def _postpone(self, work: ItemWork, err: NotRunError) -> None:
        """Set the time of the next run of an item that got no slot."""
        pause_s = NO_SLOT_PAUSE_S
        if err.retry_at is not None:
            pause_s = max(0.0, err.retry_at - self._clock.wall())
        work.not_before = self._clock.monotonic() + min(pause_s, NO_SLOT_PAUSE_MAX_S)


def close_stream(stream: Iterator[StreamChunk]) -> None:
    """Close the stream now, not at its garbage collection, so that the engine cancels at once."""
    close = getattr(stream, "close", None)
    if close is not None:
        close()


def build_call(
    work: ItemWork, account: str, configuration: Configuration, now: float
) -> CallInfo | None:
    """Return the call for the scheduler, or None if the model is not configured."""
    application = configuration.applications.get(str(work.line.body["model"]))
    if application is None:
        return None
    service = configuration.services[configuration.models[application.model].service]
    body = work.line.body
    tokens_max = body.get("max_completion_tokens") or body.get("max_tokens")
    return CallInfo(
        request_id=work.request_id,
        account=account,
        service=service.name,
        application=application.name,
        priority=Priority.BATCH,
        deadline=now + service.request_timeout_s,
        fingerprint="",  # items are never what crashes targets
        parts=list_prompt_parts(body),
        tokens_max=min(max(0, tokens_max), TOKENS_MAX) if isinstance(tokens_max, int) else 0,
    )


def build_request(work: ItemWork, call: CallInfo, configuration: Configuration) -> GenerateRequest:
    """Return the request that makes the engine continue after the output so far."""
    work.resumed = work.resumed or work.tokens > 0
    body = make_engine_body(work.line.body, configuration.applications[call.application])
    return GenerateRequest(
        request_id=work.request_id,
        path=work.line.url,
        body=body,
        priority=call.priority,
        deadline=call.deadline,
        resume_text=work.text,
        resume_tokens=work.tokens,
        whole=not is_streamable_body(body),
    )


def is_final_rejection(status: int) -> bool:
    """Return whether the status blames the request, so that a retry would fail as well."""
    return status < STATUS_SERVER_ERROR and status != STATUS_TOO_MANY


def _succeed(work: ItemWork) -> ItemResult:
    """Return the result of a complete response.

    The body is the engine's own if it was requested as a whole, else it is built from the chunks.
    """
    body: Any = msgspec.Raw(work.whole)
    if not work.whole:
        body = build_response(
            work.request_id,
            work.line.url,
            str(work.line.body["model"]),
            work.text,
            b"" if work.resumed else work.usage,
            work.tokens,
            work.finish_reason,
        )
    line = build_result(work.request_id, work.line.custom_id, STATUS_OK, body)
    return ItemResult(line, failed=False)


def _reject(work: ItemWork, rejection: TargetRejectedError) -> ItemResult:
    try:
        body = _decode_json(rejection.body)
        check_nesting(body)
    except msgspec.DecodeError:
        body = {"error": {"message": rejection.body.decode(errors="replace")}}
    line = build_result(work.request_id, work.line.custom_id, rejection.target_status, body)
    return ItemResult(line, failed=True)


def fail_item(work: ItemWork, code: str, message: str) -> ItemResult:
    """Return the result of an item that failed without a response from a target."""
    line = build_error(work.request_id, work.line.custom_id, code, message)
    return ItemResult(line, failed=True)
