"""Stand-in of the platform's metadata store, after "The platform's metadata store" of PROTOCOL.md.

One lock guards all state, so every answer is linearizable. Each process of the system calls it at
an address of its own, so that ``handler.server.caller`` names the process. ``hook`` may take a call
over: it gets the handler, the method, the path, the query and the decoded body, and returns True if
the call was dealt with, or left without an answer on purpose.
"""

from __future__ import annotations

import base64
import itertools
import json
import socket
import socketserver
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

PAGE_ROWS = 500
PAGE_BYTES = 1_000_000


class State:
    def __init__(self):
        self.changed = threading.Condition(threading.RLock())
        self.items = {}  # key -> row
        self.events = []  # (revision, row or tombstone)
        self.revision = 1
        self.leases = {}  # id -> [deadline, ttl_s]
        self.lease_numbers = itertools.count(7)

    def expire(self):
        with self.changed:
            now = time.monotonic()
            for lease in [k for k, row in self.leases.items() if row[0] <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, row in self.items.items() if row["lease"] == lease]
        if keys:
            self.apply([], keys)

    def apply(self, rows, removed):
        """Apply one change under a new revision and return the revision."""
        self.revision += 1
        for row in rows:
            former = self.items.get(row["key"])
            created = former["created_at"] if former else self.revision
            value = {
                "key": row["key"],
                "value": row["value"],
                "rev": self.revision,
                "created_at": created,
                "lease": row.get("lease", 0),
            }
            self.items[row["key"]] = value
            self.events.append((self.revision, value))
        for key in removed:
            if self.items.pop(key, None) is not None:
                gone = {"key": key, "rev": self.revision, "tombstone": True}
                self.events.append((self.revision, gone))
        self.changed.notify_all()
        return self.revision

    def put(self, key, value):
        """Write a key as the operator or a worker does."""
        text = base64.b64encode(value).decode()
        with self.changed:
            return self.apply([{"key": key, "value": text}], [])

    def remove(self, key):
        with self.changed:
            return self.apply([], [key])

    def transact(self, body):
        """Return status and body of the answer to a kv-txn."""
        with self.changed:
            self.expire()
            rows = body.get("precondition", [])
            current = [self.items.get(row["key"], {"key": row["key"], "rev": 0}) for row in rows]
            if any(now["rev"] != row["rev"] for now, row in zip(current, rows)):
                return 412, {"items": [now for now in current if now["rev"]]}
            puts = body.get("set_keys", [])
            if any(row.get("lease", 0) and row["lease"] not in self.leases for row in puts):
                return 404, {}
            if any(row["key"].startswith(("op/", "servers/")) for row in puts):
                return 403, {}
            return 200, {"rev": self.apply(puts, body.get("remove", []))}


class Platform:
    """The store's server. ``calls`` counts calls by kind, ``hook`` may take a call over."""

    def __init__(self, host):
        self.state = State()
        self.hook = None
        platform = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_args):
                return

            def handle(self):
                try:
                    super().handle()
                except OSError:
                    return

            def setup(self):
                self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                super().setup()

            def do_GET(self):
                platform.serve(self, "GET")

            def do_POST(self):
                platform.serve(self, "POST")

            def do_DELETE(self):
                platform.serve(self, "DELETE")

            def answer(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def drop(self):
                """Close the connection without an answer."""
                self.close_connection = True
                try:
                    self.connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    return

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def server_bind(self):
                """Bind without the look-up of a host name that HTTPServer makes."""
                socketserver.TCPServer.server_bind(self)
                self.server_name, self.server_port = self.server_address[:2]

            def handle_error(self, _request, _address):
                return

        self.make_server = lambda address: Server(address, Handler)
        self.address = self.listen(host, "")
        threading.Thread(target=self.run_expiry, daemon=True).start()

    def listen(self, host, caller):
        """Serve at one more address, which only ``caller`` uses, and return the address."""
        server = self.make_server((host, 0))
        server.caller = caller
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f"{host}:{server.server_address[1]}"

    def run_expiry(self):
        while True:
            time.sleep(0.05)
            self.state.expire()

    def serve(self, handler, method):
        url = urlsplit(handler.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        size = int(handler.headers.get("Content-Length") or 0)
        body = json.loads(handler.rfile.read(size)) if size else {}
        if self.hook is not None and self.hook(handler, method, url.path, query, body):
            return
        status, answer = self.run(method, url.path, query, body)
        handler.answer(status, answer)

    def run(self, method, path, query, body):
        state = self.state
        name = path.removeprefix("/v1/")
        if name == "kv-key":
            with state.changed:
                row = state.items.get(query["key"])
                return (404, {}) if row is None else (200, row | {"store_revision": state.revision})
        if name == "kv-range":
            return 200, self.list_page(query.get("path_prefix", ""), query.get("after", ""))
        if name == "kv-watch":
            return 200, self.watch(query)
        if name == "kv-txn":
            return state.transact(body)
        if name == "kv-lease":
            ttl_s = max(1.0, body["ttl_ms"] / 1000)
            with state.changed:
                lease = next(state.lease_numbers)
                state.leases[lease] = [time.monotonic() + ttl_s, ttl_s]
            return 200, {"lease": lease, "ttl_ms": int(ttl_s * 1000)}
        action, _, lease = name.partition("/")
        with state.changed:
            state.expire()
            row = state.leases.get(int(lease) if lease.isdigit() else -1)
            if row is None:
                return 404, {}
            if action == "kv-keep":
                row[0] = time.monotonic() + row[1]
                return 200, {"lease": int(lease), "ttl_ms": int(row[1] * 1000)}
            state.end_lease(int(lease))
            return 200, {}

    def list_page(self, prefix, after):
        with self.state.changed:
            keys = sorted(k for k in self.state.items if k.startswith(prefix) and k > after)
            rows, size = [], 0
            for key in keys[:PAGE_ROWS]:
                size += len(self.state.items[key]["value"])
                if rows and size > PAGE_BYTES:
                    break
                rows.append(self.state.items[key])
            truncated = len(rows) < len(keys)
            return {"items": rows, "truncated": truncated, "store_revision": self.state.revision}

    def watch(self, query):
        state, prefix, after = self.state, query.get("path_prefix", ""), int(query["after"])
        until = time.monotonic() + min(30_000, int(query.get("max_wait_ms", 0))) / 1000
        with state.changed:
            while True:
                events = [
                    row
                    for revision, row in state.events
                    if revision > after and row["key"].startswith(prefix)
                ]
                left_s = until - time.monotonic()
                if events or left_s <= 0:
                    return {"events": events, "store_revision": state.revision}
                state.changed.wait(left_s)
