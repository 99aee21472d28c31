"""HTTP of the stand-in engine on gevent's WSGI server."""

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
ABANDONED_CHECK_S: Final = 0.05
DONE_EVENT: Final = b"data: [DONE]\n\n"
ORDER_KINDS: Final = ("load_model", "load_adapter", "change_role")

Tokens = Any  # gevent.queue.Queue of Token: gevent ships no type for it


class EngineServer:
    """Runs the steps of an engine and serves its resources."""

    def __init__(
        self, state: EngineState, *, blast: bool = False, journal: Path | None = None
    ) -> None:
        self._state = state
        self._blast = blast
        self._journal = journal
        self._queues: dict[int, Tokens] = {}
        self._work = Event()

    def run_steps(self) -> None:
        """Step for ever; each step lasts as long as the state says."""
        state = self._state
        while True:
            if state.hanging or not (state.running or state.waiting):
                self._work.clear()
                self._work.wait(IDLE_WAIT_S)
                continue
            prefill_s = state.fill_slots(time.monotonic())
            if state.find_poison():
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
            return self._complete(request)
        if method == "GET":
            return self._get(request)
        if method == "POST" and path.startswith("/orders/"):
            return self._order(path.removeprefix("/orders/"), request)
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

    def _get(self, request: Request) -> Response:
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

    def _order(self, kind: str, request: Request) -> Response:
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
        self._work.set()
        return Response.from_json({})

    def _complete(self, request: Request) -> Response:
        body = request.json()
        state = self._state
        refusal = state.check_admission(str(body.get("model", "")))
        if refusal is not None:
            return Response(503, b"{}", headers=[("X-Not-Admitted", refusal.value)])
        request_id = request.headers.get("x-request-id") or f"r{time.monotonic_ns()}"
        chat = request.path.endswith("/chat/completions")
        if self._blast:
            return Response(200, _blast(request_id, body, chat), "text/event-stream")
        sequence = state.admit(request_id, body)
        self._record(sequence)
        tokens: Tokens = Queue()
        self._queues[id(sequence)] = tokens
        self._work.set()
        items = self._drain(request, sequence, tokens)
        if body.get("stream"):
            return Response(200, _stream(request_id, items, chat), "text/event-stream")
        return Response(200, _collect(request_id, body, items, chat), "application/json")

    def _record(self, sequence: Sequence) -> None:
        """Write one line for an admission, so that counts survive a killed process."""
        if self._journal is None:
            return
        with self._journal.open("a") as file:
            file.write(f"{sequence.request_id} {make_prompt_hash(sequence.prompt)}\n")

    def _drain(self, request: Request, sequence: Sequence, tokens: Tokens) -> Iterator[Token]:
        """Yield a sequence's tokens; closing the iterator cancels the generation."""
        cut_after = self._state.take_truncation()
        count = 0
        try:
            if self._state.late_s:
                gevent.sleep(self._state.late_s)
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
    def _get_token(request: Request, tokens: Tokens) -> Token:
        """Return the next token; a closed connection counts as a cancel."""
        while not request.is_abandoned():
            try:
                return tokens.get(timeout=ABANDONED_CHECK_S)
            except Empty:
                continue
        raise StreamCutError


def _format_event(request_id: str, token: Token, chat: bool) -> bytes:
    choice: dict[str, Any] = {"index": 0, "finish_reason": token.finish_reason}
    if chat:
        choice["delta"] = {"content": token.text}
    else:
        choice["text"] = token.text
    kind = "chat.completion.chunk" if chat else "text_completion"
    event = {"id": f"cmpl-{request_id}", "object": kind, "created": 0, "choices": [choice]}
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def _stream(request_id: str, items: Iterator[Token], chat: bool) -> Iterator[bytes]:
    try:
        for token in items:
            yield _format_event(request_id, token, chat)
        yield DONE_EVENT
    finally:
        items.close()  # type: ignore[attr-defined]


def _collect(
    request_id: str, body: dict[str, Any], items: Iterator[Token], chat: bool
) -> Iterator[bytes]:
    tokens = list(items)
    text = "".join(t.text for t in tokens)
    choice: dict[str, Any] = {"index": 0, "finish_reason": tokens[-1].finish_reason}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    yield msgspec.json.encode(
        {
            "id": f"cmpl-{request_id}",
            "object": "chat.completion" if chat else "text_completion",
            "created": 0,
            "model": body.get("model"),
            "choices": [choice],
            "usage": {"completion_tokens": len([t for t in tokens if t.text])},
        }
    )


def _blast(request_id: str, body: dict[str, Any], chat: bool) -> Iterator[bytes]:
    """Yield pre-built events as fast as the reader takes them."""
    total = int(body.get("max_tokens") or BLAST_EVENTS_PER_WRITE)
    event = _format_event(request_id, Token("w00000 ", None), chat)
    batch = event * BLAST_EVENTS_PER_WRITE
    writes, rest = divmod(total - 1, BLAST_EVENTS_PER_WRITE)
    for number in range(writes):
        yield batch
        if number % 4 == 0:
            gevent.sleep(0)
    last = _format_event(request_id, Token("w00000 ", "length"), chat)
    yield event * rest + last + DONE_EVENT
