"""HTTP client for one model engine."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final, NoReturn
from urllib.parse import quote

import msgspec
from loguru import logger

from clementinepin.const import HEADER_FENCING, HEADER_REQUEST_ID
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.decoding import make_json_decoder
from clementinepin.targets._connection import Dialer
from clementinepin.targets._events import EventDecoder, make_event_ids
from clementinepin.targets._exchange import HttpExchange, HttpRequest
from clementinepin.targets._metrics import parse_load_report
from clementinepin.targets._transport import Transport
from clementinepin.targets.exceptions import (
    OrderRefusedError,
    RefusalReason,
    ResponseMismatchError,
    ResponseTooLargeError,
    TargetLinkLostError,
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
RESPONSE_MAX_BYTES: Final = 8_000_000
ERROR_MAX_BYTES: Final = 65_536
REPORT_MAX_BYTES: Final = 1_000_000
CACHE_MAX_BYTES: Final = 64_000_000
REPORT_TIMEOUT_S: Final = 1.0
CANCEL_TIMEOUT_S: Final = 1.0
ORDER_TIMEOUT_S: Final = 10.0
CACHE_TIMEOUT_S: Final = 10.0
JSON_HEADER: Final = ("Content-Type", "application/json")


class _ResponseId(msgspec.Struct):
    id: str = ""


class _CacheEventRow(msgspec.Struct):
    sequence: int
    prefix_hash: str
    stored: bool


_decode_response_id: Callable[[bytes], _ResponseId] = make_json_decoder(_ResponseId)
_decode_cache_events: Callable[[bytes], list[_CacheEventRow]] = make_json_decoder(
    list[_CacheEventRow]
)


class HttpEngine:
    """Client for an engine that serves the completions protocol."""

    def __init__(self, address: TargetAddress, clock: Clock, dialer: Dialer | None = None) -> None:
        self._transport = Transport(address, clock, dialer)
        self._clock = clock

    def generate(self, request: GenerateRequest) -> Iterator[StreamChunk]:
        """Return the chunks of a response; closing the iterator cancels at the engine.

        Raises TargetStalledError if the target stops sending before the deadline or has not started
        at ``first_token_by``, and the other types of targets/exceptions.py.
        """
        try:
            exchange = self._start(request)
            try:
                if request.whole:
                    yield _read_whole(exchange, request.request_id)
                    return
                yield from _read_stream(exchange, request)
            finally:
                exchange.close()
        except TargetLostError as err:
            if self._clock.monotonic() >= request.deadline:
                raise
            if self._transport.is_link_lost(err):
                raise TargetLinkLostError(f"the link failed: {err.message}") from err
            if isinstance(err, TargetTimeoutError):
                raise TargetStalledError("target stopped sending before the deadline") from err
            raise

    def cancel(self, request_id: str) -> None:
        """Cancel a generation. The engine ignores unknown ids."""
        body = msgspec.json.encode({"request_id": request_id})
        self._call("POST", "/cancel", CANCEL_TIMEOUT_S, body=body)

    def fetch_load(self) -> LoadReport:
        """Return the current load report."""
        data = self._call("GET", "/metrics", REPORT_TIMEOUT_S)
        return parse_load_report(data.decode("utf-8", "replace"), self._clock.monotonic())

    def fetch_cache_events(self, after_sequence: int) -> list[CacheEvent]:
        """Return the cache events after a sequence number; they may be late or have gaps."""
        data = self._call("GET", f"/cache_events?after={after_sequence}", REPORT_TIMEOUT_S)
        try:
            rows = _decode_cache_events(data)
        except msgspec.DecodeError as err:
            raise TargetProtocolError(f"cache events can't be parsed: {err}") from err
        return [CacheEvent(row.sequence, row.prefix_hash, row.stored) for row in rows]

    def load_model(self, model: str, version: str, weights: str, fencing_number: int) -> None:
        """Order the engine to serve this version of a model."""
        row = {"model": model, "version": version, "weights": weights}
        self._send_order("load_model", row, fencing_number)

    def load_adapter(self, adapter: str, version: str, weights: str, fencing_number: int) -> None:
        """Order the engine to serve this version of an adapter."""
        row = {"adapter": adapter, "version": version, "weights": weights}
        self._send_order("load_adapter", row, fencing_number)

    def change_role(self, role: str, fencing_number: int) -> None:
        """Order the engine to change its role."""
        self._send_order("change_role", {"role": role}, fencing_number)

    def export_cache(self, prefix_hash: str) -> bytes:
        """Return the cache content of a prefix as bytes."""
        path = f"/cache/{quote(prefix_hash, safe='')}"
        return self._call("GET", path, CACHE_TIMEOUT_S, size_max=CACHE_MAX_BYTES)

    def import_cache(self, prefix_hash: str, data: bytes) -> None:
        """Store the cache content of a prefix in the engine."""
        self._call("PUT", f"/cache/{quote(prefix_hash, safe='')}", CACHE_TIMEOUT_S, body=data)

    def close(self) -> None:
        """Close idle connections."""
        self._transport.close()

    def _start(self, request: GenerateRequest) -> HttpExchange:
        """Send a generation request and return its exchange. Raises for an error status."""
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
            raise_for_status(exchange)
        return exchange

    def _send_order(self, kind: str, row: Mapping[str, Any], fencing_number: int) -> None:
        """Send an order. Raises OrderRefusedError if its fencing number is out of date."""
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
        """Send a request and return the body of its response. Raises for an error status.

        The connection carries no other request, as the response names none.
        """
        deadline = self._clock.monotonic() + timeout_s
        request = HttpRequest(method, path, (JSON_HEADER, *headers), body, deadline, fresh=True)
        exchange = self._transport.send(request)
        exchange.retire_connection()
        try:
            if exchange.status == CONFLICT_STATUS and path.startswith("/orders/"):
                error = exchange.read_all(ERROR_MAX_BYTES)
                raise OrderRefusedError(error.decode("utf-8", "replace"))
            if exchange.status >= ERROR_STATUS_MIN:
                raise_for_status(exchange)
            return exchange.read_all(size_max)
        finally:
            exchange.close()


def create_engine(address: TargetAddress, clock: Clock, dialer: Dialer | None = None) -> HttpEngine:
    """Return the client for one engine; without ``dialer`` it uses the own links only."""
    return HttpEngine(address, clock, dialer)


def raise_for_status(exchange: HttpExchange) -> NoReturn:
    """Close the exchange and raise the error that its status stands for.

    Raises TargetRefusedError if the target refused before admission, TargetLostError if the body of
    the error breaks off, else TargetRejectedError. The connection carries no other request: an
    error names no request, and the target may write it once more.
    """
    exchange.retire_connection()
    reason = exchange.headers.get(HEADER_NOT_ADMITTED, "")
    if exchange.status == REFUSED_STATUS and reason:
        exchange.close()
        message = f"target refused before admission: {reason}"
        raise TargetRefusedError(message, _decode_reason(reason))
    try:
        body = exchange.read_all(ERROR_MAX_BYTES)
    except ResponseTooLargeError as err:
        log = logger.bind(target_status=exchange.status)
        log.info("targets: The body of an error is not passed on: {}.", err.message)
        body = b""
    exchange.close()
    raise TargetRejectedError(exchange.status, body)


def _decode_reason(text: str) -> RefusalReason:
    try:
        return RefusalReason(text)
    except ValueError:
        logger.debug("targets: Unknown reason {!r} of a refusal counts as full.", text)
        return RefusalReason.FULL


def _read_stream(exchange: HttpExchange, request: GenerateRequest) -> Iterator[StreamChunk]:
    decoder = EventDecoder(request.request_id)
    started = False
    size = 0
    while data := exchange.read():
        size += len(data)
        if size > RESPONSE_MAX_BYTES:
            raise TargetProtocolError(f"stream is larger than {RESPONSE_MAX_BYTES} bytes")
        if not started:
            # The limit for the first token no longer applies; from now on stalls are detected.
            started = True
            exchange.watch_stalls(request.deadline)
        chunk = decoder.feed(data)
        if chunk is None:
            continue
        if chunk.done and exchange.ended:
            # Nothing is left to read, so the connection is released before the last yield.
            exchange.drain()
        yield chunk
        if chunk.done:
            exchange.drain()
            return
    if not decoder.done:
        raise TargetLostError("stream ended before its last event")


def _read_whole(exchange: HttpExchange, request_id: str) -> StreamChunk:
    data = exchange.read_all(RESPONSE_MAX_BYTES)
    try:
        response = _decode_response_id(data)
    except msgspec.DecodeError as err:
        raise TargetProtocolError(f"response can't be parsed: {err}") from err
    if response.id not in make_event_ids(request_id):
        raise ResponseMismatchError(f"response has the id {response.id!r} of another request")
    return StreamChunk(data, "", 0, done=True)
