"""HTTP resources and the step loop of the stand-in engine."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Final

import gevent
import msgspec
from gevent.event import Event
from gevent.queue import Empty, Queue

from standins.engine._state import EngineState, Fault, Sequence, Token, make_prompt_hash
from standins.web import Request, Response, StreamCutError, create_app

CRASH_EXIT_CODE: Final = 70
BLAST_EVENTS_PER_WRITE: Final = 32
IDLE_WAIT_S: Final = 0.5
DISCONNECT_CHECK_S: Final = 0.05
DONE_EVENT: Final = b"data: [DONE]\n\n"
ORDER_KINDS: Final = ("load_model", "load_adapter", "change_role")

TokenQueue = Any  # gevent.queue.Queue of Token; gevent has no type for it


class EngineServer:
    """Runs the steps of an engine and serves its resources.

    With ``blast`` all completions are pre-built events without steps. ``journal`` is a file that
    gets a line for each admission.
    """

    def __init__(
        self, state: EngineState, *, blast: bool = False, journal: Path | None = None
    ) -> None:
        self._state = state
        self._blast = blast
        self._journal = journal
        self._queues: dict[int, TokenQueue] = {}
        self._work_event = Event()

    def run_steps(self) -> None:
        """Run steps forever; a running prompt with the poison marker ends the process."""
        state = self._state
        while True:
            if state.hanging or not (state.running or state.waiting):
                self._work_event.clear()
                self._work_event.wait(IDLE_WAIT_S)
                continue
            prefill_s = state.fill_slots(time.monotonic())
            if state.has_poisoned_prompt():
                os._exit(CRASH_EXIT_CODE)
            gevent.sleep(prefill_s + state.compute_step_s())
            for sequence, token in state.step():
                self._queues[id(sequence)].put(token)

    def create_app(self) -> Callable[..., Any]:
        """Return the WSGI application."""
        return create_app(self._route)

    def _route(self, request: Request) -> Response:
        method, path = request.method, request.path
        if method == "POST" and path in ("/v1/completions", "/v1/chat/completions"):
            return self._handle_completion(request)
        if method == "GET":
            return self._handle_get(request)
        if method == "POST" and path.startswith("/orders/"):
            return self._handle_order(path.removeprefix("/orders/"), request)
        if method == "POST" and path == "/cancel":
            for sequence in self._state.cancel(str(request.json()["request_id"])):
                self._queues[id(sequence)].put(Token("", "cancelled"))
            return Response.from_json({})
        if method == "PUT" and path.startswith("/cache/"):
            prefix_hash = path.removeprefix("/cache/")
            tokens = int(msgspec.json.decode(request.body)["tokens"])
            self._state.cache.store(prefix_hash, tokens, time.monotonic())
            return Response.from_json({})
        if method == "POST" and path == "/standin/fault":
            return self._set_fault(request.json())
        return Response(404)

    def _handle_get(self, request: Request) -> Response:
        state = self._state
        now = time.monotonic()
        if request.path == "/metrics":
            return Response(200, state.report(now).encode(), "text/plain; version=0.0.4")
        if request.path == "/cache_events":
            after = int(request.query.get("after", "0"))
            return Response.from_json(state.cache.list_events(after, now))
        if request.path.startswith("/cache/"):
            tokens = state.cache.read(request.path.removeprefix("/cache/"))
            return Response(404) if tokens is None else Response.from_json({"tokens": tokens})
        if request.path == "/standin/runs":
            return Response.from_json(
                {
                    "requests": state.admissions,
                    "cancelled": state.cancelled,
                    "tokens_total": state.tokens_total,
                    "orders": state.orders,
                }
            )
        return Response(404)

    def _handle_order(self, kind: str, request: Request) -> Response:
        if kind not in ORDER_KINDS:
            return Response(404)
        number = int(request.headers.get("x-fencing-number", "0"))
        if not self._state.accept_order(number):
            return Response.from_json({"fencing_number": self._state.fencing_number}, 409)
        self._state.apply_order(kind, request.json(), number)
        return Response.from_json({"fencing_number": number})

    def _set_fault(self, body: dict[str, Any]) -> Response:
        fault = Fault(body["kind"])
        if fault is Fault.CRASH:
            gevent.spawn_later(float(body.get("after_s", 0.0)), os._exit, CRASH_EXIT_CODE)
        self._state.set_fault(fault, body)
        self._work_event.set()
        return Response.from_json({})

    def _handle_completion(self, request: Request) -> Response:
        body = request.json()
        state = self._state
        refusal = state.check_admission(str(body.get("model", "")))
        if refusal is not None:
            return Response(503, b"{}", headers=[("X-Not-Admitted", refusal.value)])
        request_id = request.headers.get("x-request-id") or f"r{time.monotonic_ns()}"
        is_chat = request.path.endswith("/chat/completions")
        if self._blast:
            return Response(200, _blast(request_id, body, is_chat), "text/event-stream")
        sequence = state.admit(request_id, body)
        self._write_journal(sequence)
        tokens: TokenQueue = Queue()
        self._queues[id(sequence)] = tokens
        self._work_event.set()
        token_iterator = self._iterate_tokens(request, sequence, tokens)
        if body.get("stream"):
            return Response(200, _stream(request_id, token_iterator, is_chat), "text/event-stream")
        return Response(
            200, _collect(request_id, body, token_iterator, is_chat), "application/json"
        )

    def _write_journal(self, sequence: Sequence) -> None:
        """Append an admission to the journal, so that counts survive a killed process."""
        if self._journal is None:
            return
        with self._journal.open("a") as file:
            file.write(f"{sequence.request_id} {make_prompt_hash(sequence.prompt)}\n")

    def _iterate_tokens(
        self, request: Request, sequence: Sequence, tokens: TokenQueue
    ) -> Iterator[Token]:
        """Yield a sequence's tokens; closing the iterator cancels the generation.

        Raise StreamCutError if the stream is truncated or cancelled.
        """
        cut_after = self._state.consume_truncation()
        count = 0
        try:
            if self._state.first_token_delay_s:
                gevent.sleep(self._state.first_token_delay_s)
            while True:
                token = self._get_token(request, tokens)
                if token.finish_reason == "cancelled" or count == cut_after:
                    raise StreamCutError
                count += 1
                yield token
                if token.finish_reason:
                    return
        finally:
            self._state.remove(sequence)
            self._queues.pop(id(sequence), None)

    @staticmethod
    def _get_token(request: Request, tokens: TokenQueue) -> Token:
        """Return the next token; raise StreamCutError if the client has closed the connection."""
        while not request.is_disconnected():
            try:
                return tokens.get(timeout=DISCONNECT_CHECK_S)
            except Empty:
                continue
        raise StreamCutError


def _format_event(request_id: str, token: Token, is_chat: bool) -> bytes:
    choice: dict[str, Any] = {"index": 0, "finish_reason": token.finish_reason}
    if is_chat:
        choice["delta"] = {"content": token.text}
    else:
        choice["text"] = token.text
    kind = "chat.completion.chunk" if is_chat else "text_completion"
    event = {"id": f"cmpl-{request_id}", "object": kind, "created": 0, "choices": [choice]}
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def _stream(request_id: str, token_iterator: Iterator[Token], is_chat: bool) -> Iterator[bytes]:
    try:
        for token in token_iterator:
            yield _format_event(request_id, token, is_chat)
        yield DONE_EVENT
    finally:
        token_iterator.close()  # type: ignore[attr-defined]


def _collect(
    request_id: str, body: dict[str, Any], token_iterator: Iterator[Token], is_chat: bool
) -> Iterator[bytes]:
    tokens = list(token_iterator)
    text = "".join(t.text for t in tokens)
    choice: dict[str, Any] = {"index": 0, "finish_reason": tokens[-1].finish_reason}
    if is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    yield msgspec.json.encode(
        {
            "id": f"cmpl-{request_id}",
            "object": "chat.completion" if is_chat else "text_completion",
            "created": 0,
            "model": body.get("model"),
            "choices": [choice],
            "usage": {"completion_tokens": len([t for t in tokens if t.text])},
        }
    )


def _blast(request_id: str, body: dict[str, Any], is_chat: bool) -> Iterator[bytes]:
    """Yield pre-built events as fast as the client reads them."""
    total = int(body.get("max_tokens") or BLAST_EVENTS_PER_WRITE)
    event = _format_event(request_id, Token("w00000 ", None), is_chat)
    batch = event * BLAST_EVENTS_PER_WRITE
    writes, rest = divmod(total - 1, BLAST_EVENTS_PER_WRITE)
    for number in range(writes):
        yield batch
        if number % 4 == 0:
            gevent.sleep(0)
    last = _format_event(request_id, Token("w00000 ", "length"), is_chat)
    yield event * rest + last + DONE_EVENT
