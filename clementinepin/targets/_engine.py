"""HTTP client of one model engine."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, Final, NoReturn
from urllib.parse import quote

import msgspec

from clementinepin.const import HEADER_FENCING, HEADER_REQUEST_ID
from clementinepin.helpers.clock import Clock
from clementinepin.targets._events import EventDecoder, make_event_ids
from clementinepin.targets._exchange import HttpExchange, HttpRequest, Transport
from clementinepin.targets._metrics import parse_load_report
from clementinepin.targets.exceptions import (
    AnswerMixedUpError,
    OrderRefusedError,
    TargetLostError,
    TargetProtocolError,
    TargetRefusedError,
    TargetRejectedError,
    TargetStalledError,
    TargetTimeoutError,
)
from clementinepin.targets.models import (
    CacheEvent,
    GenerateRequest,
    LoadReport,
    StreamChunk,
    TargetAddress,
)

HEADER_NOT_ADMITTED: Final = "x-not-admitted"
REFUSED_STATUS: Final = 503
CONFLICT_STATUS: Final = 409
ERROR_STATUS_MIN: Final = 400
ANSWER_MAX_BYTES: Final = 8_000_000
ERROR_MAX_BYTES: Final = 65_536
REPORT_MAX_BYTES: Final = 1_000_000
CACHE_MAX_BYTES: Final = 64_000_000
REPORT_TIMEOUT_S: Final = 1.0
CANCEL_TIMEOUT_S: Final = 1.0
ORDER_TIMEOUT_S: Final = 10.0
CACHE_TIMEOUT_S: Final = 10.0
JSON_HEADER: Final = ("Content-Type", "application/json")


class _Identity(msgspec.Struct):
    id: str = ""


class HttpEngine:
    """A model engine behind the completions protocol."""

    def __init__(self, address: TargetAddress, clock: Clock) -> None:
        self._transport = Transport(address, clock)
        self._clock = clock

    def generate(self, request: GenerateRequest) -> Iterator[StreamChunk]:
        """Stream an answer; closing the iterator cancels at the engine."""
        try:
            exchange = self._start(request)
            try:
                if request.whole:
                    yield _read_whole(exchange, request.request_id)
                    return
                yield from _read_stream(exchange, request)
            finally:
                exchange.close()
        except TargetTimeoutError as err:
            if self._clock.monotonic() >= request.deadline:
                raise
            raise TargetStalledError("target sent nothing for too long") from err

    def cancel(self, request_id: str) -> None:
        """Stop a generation; unknown ids are ignored."""
        body = msgspec.json.encode({"request_id": request_id})
        self._call("POST", "/cancel", CANCEL_TIMEOUT_S, body=body)

    def fetch_load(self) -> LoadReport:
        """Return the latest load report."""
        data = self._call("GET", "/metrics", REPORT_TIMEOUT_S)
        return parse_load_report(data.decode("utf-8", "replace"), self._clock.monotonic())

    def fetch_cache_events(self, after_sequence: int) -> list[CacheEvent]:
        """Return cache events, late and with gaps."""
        data = self._call("GET", f"/cache_events?after={after_sequence}", REPORT_TIMEOUT_S)
        try:
            rows = msgspec.json.decode(data, type=list[_CacheEventRow])
        except msgspec.DecodeError as err:
            raise TargetProtocolError(f"cache events can't be parsed: {err}") from err
        return [CacheEvent(row.sequence, row.prefix_hash, row.stored) for row in rows]

    def load_model(self, model: str, version: str, weights: str, fencing_number: int) -> None:
        """Order: serve this version of a model."""
        row = {"model": model, "version": version, "weights": weights}
        self._order("load_model", row, fencing_number)

    def load_adapter(self, adapter: str, version: str, weights: str, fencing_number: int) -> None:
        """Order: serve this version of an adapter."""
        row = {"adapter": adapter, "version": version, "weights": weights}
        self._order("load_adapter", row, fencing_number)

    def change_role(self, role: str, fencing_number: int) -> None:
        """Order: take a role."""
        self._order("change_role", {"role": role}, fencing_number)

    def export_cache(self, prefix_hash: str) -> bytes:
        """Return a cached prefix as bytes."""
        path = f"/cache/{quote(prefix_hash, safe='')}"
        return self._call("GET", path, CACHE_TIMEOUT_S, size_max=CACHE_MAX_BYTES)

    def import_cache(self, prefix_hash: str, data: bytes) -> None:
        """Store a cached prefix."""
        self._call("PUT", f"/cache/{quote(prefix_hash, safe='')}", CACHE_TIMEOUT_S, body=data)

    def close(self) -> None:
        """Close idle connections."""
        self._transport.close()

    def _start(self, request: GenerateRequest) -> HttpExchange:
        body = dict(request.body)
        body["stream"] = not request.whole
        if request.resume_tokens:
            body["resume"] = {"text": request.resume_text, "tokens": request.resume_tokens}
        exchange = self._transport.send(
            HttpRequest(
                method="POST",
                path=request.path,
                headers=(JSON_HEADER, (HEADER_REQUEST_ID, request.request_id)),
                body=msgspec.json.encode(body),
                deadline=request.first_token_by or request.deadline,
                fresh=not request.idempotent,
            )
        )
        if exchange.status >= ERROR_STATUS_MIN:
            raise_refusal(exchange)
        return exchange

    def _order(self, kind: str, row: Mapping[str, Any], fencing_number: int) -> None:
        headers = ((HEADER_FENCING, str(fencing_number)),)
        body = msgspec.json.encode(row)
        self._call("POST", f"/orders/{kind}", ORDER_TIMEOUT_S, body=body, headers=headers)

    def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        *,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        size_max: int = REPORT_MAX_BYTES,
    ) -> bytes:
        deadline = self._clock.monotonic() + timeout_s
        request = HttpRequest(method, path, (JSON_HEADER, *headers), body, deadline)
        exchange = self._transport.send(request)
        try:
            if exchange.status == CONFLICT_STATUS and path.startswith("/orders/"):
                answer = exchange.read_all(ERROR_MAX_BYTES)
                raise OrderRefusedError(answer.decode("utf-8", "replace"))
            if exchange.status >= ERROR_STATUS_MIN:
                raise_refusal(exchange)
            return exchange.read_all(size_max)
        finally:
            exchange.close()


class _CacheEventRow(msgspec.Struct):
    sequence: int
    prefix_hash: str
    stored: bool


def create_engine(address: TargetAddress, clock: Clock) -> HttpEngine:
    """Return the client of one engine."""
    return HttpEngine(address, clock)


def raise_refusal(exchange: HttpExchange) -> NoReturn:
    """Raise what an error status proves: refused before admission, or rejected."""
    reason = exchange.headers.get(HEADER_NOT_ADMITTED, "")
    try:
        body = exchange.read_all(ERROR_MAX_BYTES)
    except TargetLostError:
        body = b""
    exchange.close()
    if exchange.status == REFUSED_STATUS and reason:
        message = f"target refused before admission: {reason}"
        raise TargetRefusedError(message, leaving=reason == "leaving")
    raise TargetRejectedError(exchange.status, body)


def _read_stream(exchange: HttpExchange, request: GenerateRequest) -> Iterator[StreamChunk]:
    decoder = EventDecoder(request.request_id)
    started = False
    while data := exchange.read():
        if not started:
            started = True
            exchange.watch_stalls(request.deadline)
        chunk = decoder.feed(data)
        if chunk is None:
            continue
        if chunk.done and exchange.ended:
            exchange.drain()
        yield chunk
        if chunk.done:
            exchange.drain()
            return
    if not decoder.done:
        raise TargetLostError("stream ended without its last event")


def _read_whole(exchange: HttpExchange, request_id: str) -> StreamChunk:
    data = exchange.read_all(ANSWER_MAX_BYTES)
    try:
        identity = msgspec.json.decode(data, type=_Identity)
    except msgspec.DecodeError as err:
        raise TargetProtocolError(f"answer can't be parsed: {err}") from err
    if identity.id not in make_event_ids(request_id):
        raise AnswerMixedUpError(f"answer carries the id {identity.id!r} of another request")
    return StreamChunk(data, "", 0, done=True)
