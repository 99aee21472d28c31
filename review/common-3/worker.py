"""Stand-in of a model worker, after "Workers" and "Requests" of PROTOCOL.md.

The body of a request says what the worker makes of it: JSON with ``events`` (how many), ``gap_s``
(the pause between two) and ``plain`` (a body of that many bytes instead of events). Anything else
makes 20 events. ``hook`` may take a run over: it gets the worker, the handler, the run and the plan.
"""

from __future__ import annotations

import hashlib
import itertools
import json
import select
import socket
import socketserver
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

SIGNATURES = itertools.count(1)


def make_text(request_id, number):
    return hashlib.sha256(f"{request_id}/{number}".encode()).hexdigest()[:16]


class Worker:
    """One worker: ``slots`` runs at a time, a queue of ``queue`` more."""

    def __init__(self, name, service, host, record, platform, slots=8, queue=24, zone="a"):
        self.name, self.service, self.slots, self.queue, self.zone = (
            name,
            service,
            slots,
            queue,
            zone,
        )
        self.record, self.platform = record, platform
        self.hook = None
        self.running = self.waiting = 0
        self.version = "v1"
        self.lock = threading.Condition()
        self.state = "ready"
        self.born = int(time.time() * 1000)
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_args):
                return

            def handle(self):
                try:
                    super().handle()
                except (OSError, ValueError):
                    return

            def setup(self):
                self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                worker.sockets.add(self.request)
                super().setup()

            def finish(self):
                worker.sockets.discard(self.request)
                super().finish()

            def do_POST(self):
                worker.serve(self)

            do_GET = do_PUT = do_DELETE = do_POST

            def is_gone(self):
                """Return whether the caller closed its connection."""
                ready, _, _ = select.select([self.connection], [], [], 0)
                return bool(ready) and not self.connection.recv(1, socket.MSG_PEEK)

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def server_bind(self):
                """Bind without the look-up of a host name that HTTPServer makes."""
                socketserver.TCPServer.server_bind(self)
                self.server_name, self.server_port = self.server_address[:2]

            def handle_error(self, _request, _address):
                return

        self.sockets = set()
        self.is_down = False
        self.make_server = lambda address: Server(address, Handler)
        self.server = self.make_server((host, 0))
        self.address = f"{host}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.beats = threading.Event()
        threading.Thread(target=self.run_beats, daemon=True).start()

    def run_beats(self):
        sequence = 0
        while not self.beats.is_set():
            sequence += 1
            if not self.is_down:
                self.write_entry(sequence)
            self.beats.wait(1.2)

    def write_entry(self, sequence):
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": sequence,
            "born": self.born,
        }
        self.platform.state.put(f"servers/{self.name}", json.dumps(entry).encode())

    def head(self, request_id):
        load = f"{self.running},{self.waiting},{self.slots}"
        return [
            ("Clementinepin-Request-Id", request_id),
            ("Clementinepin-Server-Load", load),
            ("Keep-Alive", "timeout=10"),
        ]

    def send_simple(self, handler, status, request_id, headers=(), body=b""):
        handler.send_response(status)
        for name, value in [*self.head(request_id), *headers]:
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def serve(self, handler):
        size = int(handler.headers.get("Content-Length") or 0)
        body = handler.rfile.read(size)
        request_id = handler.headers.get("Clementinepin-Request-Id", "")
        if handler.headers.get("Clementinepin-Expect-Instance", self.name) != self.name:
            return self.send_simple(handler, 421, request_id)
        with self.lock:
            if self.waiting >= self.queue:
                not_run = [("Clementinepin-Not-Executed", "1")]
                return self.send_simple(handler, 503, request_id, not_run)
            self.waiting += 1
            self.lock.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        try:
            self.run(handler, request_id, body)
        finally:
            with self.lock:
                self.running -= 1
                self.lock.notify_all()

    def run(self, handler, request_id, body):
        try:
            plan = json.loads(body)
        except ValueError:
            plan = {}
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        run = {"id": request_id, "worker": self.name, "path": handler.path, "first": first}
        self.record.add("run", **run)
        if self.hook is not None and self.hook(self, handler, run, plan):
            return
        signature = ("Clementinepin-Server-Signature", f"{self.name}.{next(SIGNATURES)}")
        if "status" in plan:
            return self.send_simple(handler, plan["status"], request_id, [signature])
        if "plain" in plan:
            time.sleep(plan.get("gap_s", 0.0))
            return self.send_simple(handler, 200, request_id, [signature], b"x" * plan["plain"])
        self.send_events(handler, request_id, signature, first, plan)

    def send_events(self, handler, request_id, signature, first, plan):
        handler.send_response(200)
        for name, value in [*self.head(request_id), signature]:
            handler.send_header(name, value)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in range(first, plan.get("events", 20) + 1):
            time.sleep(plan.get("gap_s", 0.012))
            if handler.is_gone():
                handler.close_connection = True
                self.record.add("run_dropped", id=request_id, worker=self.name, event=number)
                return
            data = f"id: {number}\ndata: {make_text(request_id, number)}\n\n".encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        handler.wfile.write(b"0\r\n\r\n")
        self.record.add("run_done", id=request_id, worker=self.name)

    def crash(self):
        """End all connections and refuse new ones, as a process that was killed."""
        self.is_down = True
        self.record.add("worker_crashed", worker=self.name, running=self.running)
        self.server.socket.close()
        for sock in list(self.sockets):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
        threading.Thread(target=self.server.shutdown, daemon=True).start()

    def start_again(self):
        """Serve at the same address and under the same id, as a new boot."""
        host, _, port = self.address.rpartition(":")
        self.server = self.make_server((host, int(port)))
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.born = int(time.time() * 1000)
        self.is_down = False
        self.write_entry(1)
        self.record.add("worker_started_again", worker=self.name)

    def stop(self):
        self.beats.set()
        self.server.shutdown()
        self.server.server_close()
