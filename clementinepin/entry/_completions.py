"""Resources ``/v1/completions`` and ``/v1/chat/completions``."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

import gevent
import voluptuous as vol
from loguru import logger

from clementinepin.const import HEADER_REQUEST_ID, HEADER_RESUME_TOKEN
from clementinepin.entry._attempts import OnlineAttempts
from clementinepin.entry._calls import (
    CHAT_SCHEMA,
    COMPLETION_SCHEMA,
    HEADER_IDEMPOTENT,
    OnlineCall,
    check_body,
    find_application,
    find_service,
    is_idempotent,
    make_call,
)
from clementinepin.entry._collect import collect_response
from clementinepin.entry._context import EntryContext
from clementinepin.entry._envelope import make_error_event
from clementinepin.entry._http import EVENTS_TYPE, JSON_TYPE, Request, Response
from clementinepin.entry._idempotency import run_once
from clementinepin.entry._resume import (
    TOKEN_VALID_S,
    ResumeToken,
    make_resume_event,
    read_resume_point,
)
from clementinepin.entry.exceptions import NotResumableError
from clementinepin.exceptions import ClementinepinError
from clementinepin.targets import StreamChunk, TargetAddress

COMPLETIONS_PATH: Final = "/v1/completions"
CHAT_PATH: Final = "/v1/chat/completions"
LOG_PREFIX: Final = "entry:"


class Completions:
    """Handles model calls, with a streamed or a complete response."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def complete(self, request: Request) -> Response:
        """Return the completion of a prompt."""
        return self._respond(request, COMPLETIONS_PATH, COMPLETION_SCHEMA)

    def chat(self, request: Request) -> Response:
        """Return the completion of a chat."""
        return self._respond(request, CHAT_PATH, CHAT_SCHEMA)

    def _respond(self, request: Request, path: str, schema: vol.Schema) -> Response:
        body = request.read_json()
        check_body(body, schema)
        call = self._apply_resume_token(request, body, self._make_call(request, body, path))
        digest = call.info.fingerprint + ("s" if call.stream else "w")
        return run_once(
            self._context,
            request,
            digest,
            call.info.deadline,
            lambda: self._run(request, call, body["model"]),
        )

    def _make_call(self, request: Request, body: dict[str, Any], path: str) -> OnlineCall:
        configuration = self._context.get_configuration()
        application = find_application(configuration, request.account, body["model"])
        service = find_service(configuration, application)
        deadline = self._context.compute_deadline(request, service.request_timeout_s)
        idempotent = is_idempotent(service, "POST", path)
        if request.get_header(HEADER_IDEMPOTENT).lower() == "false":
            idempotent = False
        return make_call(
            body, path, request.account, application, service, deadline, idempotent=idempotent
        )

    def _apply_resume_token(
        self, request: Request, body: dict[str, Any], call: OnlineCall
    ) -> OnlineCall:
        """Return the call with the caller's resume point if it sent a resume token.

        The previous stream is cancelled at its target. Raise ResumeTokenInvalidError or
        NotResumableError.
        """
        text = request.get_header(HEADER_RESUME_TOKEN)
        if not text:
            return call
        wall = self._context.core.clock.wall()
        token = self._context.signer.verify(text, call.info.account, call.info.fingerprint, wall)
        if not call.resumable:
            raise NotResumableError("this request can't be resumed")
        point = read_resume_point(body.get("resume", {}), self._body_max_bytes)
        gevent.spawn(self._cancel_previous_stream, token)
        return call._replace(resume=point)

    @property
    def _body_max_bytes(self) -> int:
        return self._context.core.settings.limits.body_max_bytes

    def _cancel_previous_stream(self, token: ResumeToken) -> None:
        try:
            self._context.targets.get_engine(token.target).cancel(token.request_id)
        except ClementinepinError as err:
            logger.debug("{} Failed to cancel the previous stream: {}.", LOG_PREFIX, err.code)

    def _run(self, request: Request, call: OnlineCall, model: str) -> Response:
        started = self._context.core.clock.monotonic()
        attempts = OnlineAttempts(self._context, call)
        chunks = attempts.run()
        headers = [(HEADER_REQUEST_ID, echo_request_id(request, call))]
        if not call.stream:
            body = collect_response(chunks, call, model, self._context.core.clock.wall())
            self._record_duration("entry.answer_ms", started)
            return Response(200, [("Content-Type", JSON_TYPE), *headers], body)
        first = next(chunks)
        self._record_duration("entry.first_token_ms", started)
        headers += [("Content-Type", EVENTS_TYPE), ("Cache-Control", "no-store")]
        token = ""
        if call.resumable and attempts.target is not None:
            token = self._sign_resume_token(call, attempts.target)
            headers.append((HEADER_RESUME_TOKEN, token))
        return Response(200, headers, self._relay(call, attempts, first, chunks, token))

    def _relay(
        self,
        call: OnlineCall,
        attempts: OnlineAttempts,
        first: StreamChunk,
        chunks: Iterator[StreamChunk],
        token: str,
    ) -> Iterator[bytes]:
        """Yield the bytes of a stream.

        A resume event precedes the chunks of each new target. A stream that can't be continued
        ends with an error event.
        """
        target = attempts.target
        try:
            yield (make_resume_event(token) if token else b"") + first.data
            for chunk in chunks:
                if attempts.target is not target and call.resumable:
                    target = attempts.target
                    if target is not None:
                        yield make_resume_event(self._sign_resume_token(call, target))
                yield chunk.data
        except ClementinepinError as err:
            logger.info("{} Stream failed: {}.", LOG_PREFIX, err.code)
            self._context.core.metrics.incr("entry.streams_cut")
            yield make_error_event(err)
        finally:
            chunks.close()  # type: ignore[attr-defined]

    def _record_duration(self, name: str, started: float) -> None:
        elapsed_s = self._context.core.clock.monotonic() - started
        self._context.core.metrics.timing(name, elapsed_s * 1000.0)

    def _sign_resume_token(self, call: OnlineCall, target: TargetAddress) -> str:
        return self._context.signer.sign(
            ResumeToken(
                request_id=call.info.request_id,
                account=call.info.account,
                fingerprint=call.info.fingerprint,
                application=call.info.application,
                target=target,
                expires_at=self._context.core.clock.wall() + TOKEN_VALID_S,
            )
        )


def echo_request_id(request: Request, call: OnlineCall) -> str:
    """Return the caller's request id if it is short, printable ASCII, else our own.

    Targets only get our own ids, because two callers may choose the same one.
    """
    caller_id = request.get_header(HEADER_REQUEST_ID)
    if 0 < len(caller_id) <= 128 and caller_id.isascii() and caller_id.isprintable():
        return caller_id
    return call.info.request_id
