"""HTTP server with the JSON gateway of the etcd v3 API, and a resource for faults."""

from __future__ import annotations

import base64
import json
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure import KeyValue, WatchEvent
from standins.key_value._state import KeyValueState

WATCH_POLL_S = 0.02
WATCH_PROGRESS_S = 5.0
Message = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class _Handler(WSGIHandler):
    """Give the application access to its connection, to lose a reply."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ["standin.socket"] = self.socket
        return environ

    def log_request(self) -> None:
        return


class Gateway:
    """The WSGI application; ``faults`` holds what is injected now."""

    def __init__(self, clock: Clock, state: KeyValueState | None = None) -> None:
        self.clock = clock
        self.state = state or KeyValueState()
        self.counts: Counter[str] = Counter()
        self.faults: Message = {"down": False, "delay_s": 0.0, "lose_replies": 0}
        self._watch_generation = 0
        self._routes: dict[str, Callable[[Message], Message]] = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep,
            "/v3/lease/revoke": self._revoke,
        }

    def __call__(self, environ: Message, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        if path == "/standin/counts":
            return _reply(start_response, 200, dict(self.counts))
        message = json.loads(environ["wsgi.input"].read() or b"{}")
        if path == "/standin/fault":
            return _reply(start_response, 200, self._inject(message))
        self.counts[path] += 1
        return self._serve(path, message, environ, start_response)

    def _serve(
        self, path: str, message: Message, environ: Message, start_response: StartResponse
    ) -> Iterable[bytes]:
        if self.faults["delay_s"]:
            gevent.sleep(self.faults["delay_s"])
        if self.faults["down"]:
            return _reply(start_response, 503, {"code": 14, "message": "unavailable"})
        self.state.expire_leases(self.clock.monotonic())
        if path == "/v3/watch":
            start_response("200 OK", [("Content-Type", "application/json")])
            return self._watch(message["create_request"])
        route = self._routes.get(path)
        if route is None:
            return _reply(start_response, 404, {"code": 5, "message": "not found"})
        answer = route(message)
        if path == "/v3/kv/txn" and self.faults["lose_replies"]:
            self.faults["lose_replies"] -= 1
            environ["standin.socket"].shutdown(2)
            return []
        return _reply(start_response, 404 if "code" in answer else 200, answer)

    def _inject(self, message: Message) -> Message:
        if message.pop("drop_watches", False):
            self._watch_generation += 1
        if message.pop("lapse_leases", False):
            self.state.lapse_leases()
        self.faults.update(message)
        return self.faults

    def _header(self) -> Message:
        return {"revision": str(self.state.revision)}

    def _range(self, message: Message) -> Message:
        key = _decode(message["key"])
        limit = int(message.get("limit", 0))
        if "range_end" not in message:
            row = self.state.get(key)
            rows = [row] if row else []
            return {"header": self._header(), "kvs": [_row(r) for r in rows]}
        end = _decode_end(message["range_end"])
        rows = self.state.list_range(key, end, limit + 1 if limit else 0)
        answer: Message = {"header": self._header(), "kvs": [_row(r) for r in rows]}
        if limit and len(rows) > limit:
            answer["kvs"].pop()
            answer["more"] = True
        return answer

    def _txn(self, message: Message) -> Message:
        expected: int | None = None
        for compare in message.get("compare", []):
            expected = int(compare.get("mod_revision", 0))
        request = message["success"][0]
        if "request_put" in request:
            put = request["request_put"]
            lease_id = int(put.get("lease", 0))
            if lease_id and not self.state.has_lease(lease_id):
                return {"code": 5, "message": "etcdserver: requested lease not found"}
            value = base64.b64decode(put.get("value", ""))
            result = self.state.put(_decode(put["key"]), value, expected, lease_id)
        else:
            result = self.state.delete(_decode(request["request_delete_range"]["key"]), expected)
        answer: Message = {"header": self._header()}
        if result.succeeded:
            return answer | {"succeeded": True, "responses": [{}]}
        kvs = [_row(result.current)] if result.current else []
        return answer | {"responses": [{"response_range": {"kvs": kvs}}]}

    def _grant(self, message: Message) -> Message:
        ttl_s = float(message["TTL"])
        lease_id = self.state.grant_lease(ttl_s, self.clock.monotonic())
        return {"header": self._header(), "ID": str(lease_id), "TTL": message["TTL"]}

    def _keep(self, message: Message) -> Message:
        ttl_s = self.state.keep_lease(int(message["ID"]), self.clock.monotonic())
        result: Message = {"header": self._header(), "ID": message["ID"]}
        if ttl_s is not None:
            result["TTL"] = str(int(ttl_s))
        return {"result": result}

    def _revoke(self, message: Message) -> Message:
        if not self.state.revoke_lease(int(message["ID"])):
            return {"code": 5, "message": "etcdserver: requested lease not found"}
        return {"header": self._header()}

    def _watch(self, request: Message) -> Iterator[bytes]:
        start = _decode(request["key"])
        end = _decode_end(request["range_end"]) if "range_end" in request else start + "\x00"
        after = int(request.get("start_revision", self.state.revision + 1)) - 1
        generation = self._watch_generation
        progress_at = self.clock.monotonic() + WATCH_PROGRESS_S
        yield self._watch_line({"created": True})
        while generation == self._watch_generation and not self.faults["down"]:
            self.state.expire_leases(self.clock.monotonic())
            if after < self.state.compacted:
                compacted = str(self.state.compacted)
                yield self._watch_line({"canceled": True, "compact_revision": compacted})
                return
            events = self.state.list_events(start, end, after)
            if events:
                after = events[-1].version
                yield self._watch_line({"events": [_event(e) for e in events]})
            elif self.clock.monotonic() >= progress_at:
                progress_at = self.clock.monotonic() + WATCH_PROGRESS_S
                yield self._watch_line({})
            gevent.sleep(WATCH_POLL_S)

    def _watch_line(self, result: Message) -> bytes:
        return json.dumps({"result": {"header": self._header()} | result}).encode() + b"\n"


def create_server(host: str, port: int, clock: Clock) -> WSGIServer:
    """Return a server, not yet started; its ``application`` is the Gateway."""
    return WSGIServer(
        (host, port), Gateway(clock), handler_class=_Handler, log=None, error_log=None
    )


def _reply(start_response: StartResponse, status: int, answer: Message) -> list[bytes]:
    body = json.dumps(answer).encode()
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(f"{status} {'OK' if status == 200 else 'Error'}", headers)
    return [body]


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


def _decode_end(text: str) -> str | None:
    raw = base64.b64decode(text)
    return None if raw == b"\x00" else raw.decode()


def _encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _row(row: KeyValue) -> Message:
    return {
        "key": _encode(row.key.encode()),
        "value": _encode(row.value),
        "mod_revision": str(row.version),
    }


def _event(event: WatchEvent) -> Message:
    row = _row(KeyValue(event.key, event.value or b"", event.version))
    return {"kv": row} if event.value is not None else {"type": "DELETE", "kv": row}
