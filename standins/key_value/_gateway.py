"""HTTP server with the published calls of the key-value service, and resources for faults."""

from __future__ import annotations

import base64
import json
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure import KeyValue, WatchEvent
from standins.key_value._state import KeyValueState, end_of_prefix

WATCH_POLL_S = 0.02
PAGE_MAX_ITEMS = 500
TRANSACTION_MAX_ENTRIES = 32
LATE_WRITE_DELAY_S = 0.5
Message = dict[str, Any]
Reply = tuple[int, Message]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class _Handler(WSGIHandler):
    """Gives the application its connection, so that it can close it without a reply."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ["standin.socket"] = self.socket
        return environ

    def log_request(self) -> None:
        return


class Gateway:
    """WSGI application; ``faults`` holds the current faults.

    ``down`` answers all calls with 503 and ``busy`` with 429; ``reset`` closes their connections,
    ``silent`` holds the calls until it is cleared, ``delay_s`` delays them. ``lose_replies`` counts
    writes that take effect without a reply, ``late_writes`` those that get no reply and take effect
    ``LATE_WRITE_DELAY_S`` later.
    """

    def __init__(self, clock: Clock, state: KeyValueState | None = None) -> None:
        self.clock = clock
        self.state = state or KeyValueState()
        self.counts: Counter[str] = Counter()
        self.faults: Message = {
            "down": False,
            "busy": False,
            "reset": False,
            "silent": False,
            "delay_s": 0.0,
            "lose_replies": 0,
            "late_writes": 0,
        }
        self._watch_generation = 0

    def __call__(self, environ: Message, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request, or serve the counts and faults under ``/standin/``."""
        path = environ["PATH_INFO"]
        if path == "/standin/counts":
            return _send_reply(start_response, 200, dict(self.counts))
        body = environ["wsgi.input"].read()
        message = json.loads(body or b"{}")
        if path == "/standin/fault":
            return _send_reply(start_response, 200, self._set_faults(message))
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        method = environ["REQUEST_METHOD"]
        name = path.split("/")[2] if path.count("/") > 1 else path
        self.counts[name] += 1
        return self._serve(name, (method, path, query, message), environ, start_response)

    def _serve(
        self,
        name: str,
        call: tuple[str, str, dict[str, str], Message],
        environ: Message,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        faults = self.faults
        if faults["delay_s"]:
            gevent.sleep(faults["delay_s"])
        while faults["silent"]:
            gevent.sleep(WATCH_POLL_S)
        if faults["down"] or faults["busy"]:
            return _send_reply(start_response, 503 if faults["down"] else 429, {})
        if faults["reset"]:
            environ["standin.socket"].shutdown(2)
            return []
        self.state.expire_leases(self.clock.monotonic())
        if name == "kv-txn" and faults["late_writes"]:
            faults["late_writes"] -= 1
            gevent.spawn_later(LATE_WRITE_DELAY_S, self._transact, call[3])
            environ["standin.socket"].shutdown(2)
            return []
        status, reply = self._dispatch(name, *call)
        if name == "kv-txn" and faults["lose_replies"]:
            faults["lose_replies"] -= 1
            environ["standin.socket"].shutdown(2)
            return []
        return _send_reply(start_response, status, reply)

    def _dispatch(
        self, name: str, method: str, path: str, query: dict[str, str], message: Message
    ) -> Reply:
        lease_number = path.rpartition("/")[2]
        if (method, name) == ("GET", "kv-key"):
            return self._get(query["key"])
        if (method, name) == ("GET", "kv-range"):
            return self._list_range(query)
        if (method, name) == ("GET", "kv-watch"):
            return self._watch(query)
        if (method, name) == ("POST", "kv-txn"):
            return self._transact(message)
        if (method, name) == ("POST", "kv-lease"):
            ttl_ms = int(message["ttl_ms"])
            lease_id = self.state.grant_lease(ttl_ms / 1000, self.clock.monotonic())
            return 200, {"lease": lease_id, "ttl_ms": ttl_ms}
        if (method, name) == ("POST", "kv-keep"):
            ttl_s = self.state.keep_lease(int(lease_number), self.clock.monotonic())
            return (404, {}) if ttl_s is None else (200, {"ttl_ms": int(ttl_s * 1000)})
        if (method, name) == ("DELETE", "kv-lease-end"):
            return (200 if self.state.revoke_lease(int(lease_number)) else 404), {}
        return 404, {}

    def _set_faults(self, message: Message) -> Message:
        if message.pop("drop_watches", False):
            self._watch_generation += 1
        if message.pop("lapse_leases", False):
            self.state.expire_all_leases()
        if message.pop("compact", False):
            self.state.compacted = self.state.revision
        self.faults.update(message)
        return self.faults

    def _get(self, key: str) -> Reply:
        row = self.state.get(key)
        if row is None:
            return 404, {}
        return 200, _format_row(row) | {"store_revision": self.state.revision}

    def _list_range(self, query: dict[str, str]) -> Reply:
        prefix = query.get("path_prefix", "")
        start = max(prefix, query["after"] + "\x00") if "after" in query else prefix
        rows = self.state.list_range(start, end_of_prefix(prefix), PAGE_MAX_ITEMS + 1)
        return 200, {
            "items": [_format_row(row) for row in rows[:PAGE_MAX_ITEMS]],
            "truncated": len(rows) > PAGE_MAX_ITEMS,
            "store_revision": self.state.revision,
        }

    def _transact(self, message: Message) -> Reply:
        expected = {row["key"]: row["rev"] for row in message.get("precondition", [])}
        puts = message.get("set_keys", [])
        removals = message.get("remove", [])
        if len(expected) + len(puts) + len(removals) > TRANSACTION_MAX_ENTRIES:
            return 400, {}
        current = {key: self.state.get(key) for key in expected}
        if any((row.version if row else 0) != expected[key] for key, row in current.items()):
            return 412, {"items": [_format_row(row) for row in current.values() if row]}
        for put in puts:
            if put.get("lease") and not self.state.has_lease(put["lease"]):
                return 404, {}
        rows = [(p["key"], base64.b64decode(p["value"]), p.get("lease", 0)) for p in puts]
        return 200, {"rev": self.state.transact(rows, removals)}

    def _watch(self, query: dict[str, str]) -> Reply:
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        generation = self._watch_generation
        end_at = self.clock.monotonic() + int(query["max_wait_ms"]) / 1000
        while generation == self._watch_generation:
            if self.faults["down"]:
                return 503, {}
            self.state.expire_leases(self.clock.monotonic())
            if after < self.state.compacted:
                return 410, {}
            events = self.state.list_events(prefix, end_of_prefix(prefix), after)
            if events or self.clock.monotonic() >= end_at:
                break
            gevent.sleep(WATCH_POLL_S)
        else:
            return 503, {}
        version = self.state.revision
        return 200, {"events": [_format_event(e) for e in events], "store_revision": version}


def create_server(host: str, port: int, clock: Clock) -> WSGIServer:
    """Return a server, not yet started; its ``application`` is the Gateway."""
    return WSGIServer(
        (host, port), Gateway(clock), handler_class=_Handler, log=None, error_log=None
    )


def _send_reply(start_response: StartResponse, status: int, message: Message) -> list[bytes]:
    body = json.dumps(message).encode()
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(f"{status} {'OK' if status == 200 else 'Error'}", headers)
    return [body]


def _format_row(row: KeyValue) -> Message:
    value = base64.b64encode(row.value).decode()
    return {"key": row.key, "value": value, "rev": row.version, "created_at": 0, "lease": 0}


def _format_event(event: WatchEvent) -> Message:
    if event.value is None:
        return {"key": event.key, "rev": event.version, "tombstone": True}
    return _format_row(KeyValue(event.key, event.value, event.version))
