"""Measure how one daemon relays streams: throughput, added latency, memory of open streams.

Usage:
  relay [--short]

Options:
  --short   Use short measurements, within 50 s.

One real daemon forwards to stand-in engines. The last line is one JSON object.
"""

from __future__ import annotations

import json
import math
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, NamedTuple

import gevent
from docopt import docopt
from gevent import socket

from bench._control.sample import read_cpu_s, read_resident_bytes
from standins.fleet import Fleet, FleetPlan, Member, TargetPlan
from standins.processes import LOOPBACK, ProcessGroup, wait_until

KEY: Final = "bench-key"
OPERATOR_KEY: Final = "bench-operator"
FILE_SET: Final = Path("bench/relay.toml")
BLAST_STREAMS: Final = 4
BLAST_TOKENS: Final = 20_000
OPEN_STREAMS: Final = 256
STEADY_STEP_OPTIONS: Final = ("--step-ms", "20", "--step-active-ms", "0")
REQUESTS_PER_S: Final = 54.0
TTFT_ROUNDS: Final = 3
TOKENS_PER_S_TARGET: Final = 30_000
TTFT_TARGET_MS: Final = 3.0
READ_BYTES: Final = 65_536
RESPONSE_TIMEOUT_S: Final = 30.0
CONNECT_TIMEOUT_S: Final = 5.0
OPEN_STREAMS_WINDOW_S: Final = 5.0
MIB_BYTES: Final = 1_048_576


class Durations(NamedTuple):
    """Durations of the measurements in seconds."""

    blast_s: float
    ttft_s: float


class OpenStreamCost(NamedTuple):
    """Resident bytes and share of a core of the daemon, idle and with open streams."""

    idle_bytes: int
    open_bytes: int
    idle_cpu_share: float
    cpu_share: float
    tokens_per_s: float

    @property
    def cpu_us_per_token(self) -> float:
        """Return the processor time per token above the idle share, in microseconds."""
        return (self.cpu_share - self.idle_cpu_share) / self.tokens_per_s * 1e6


class RelayBench:
    """One daemon and three engine services.

    ``blast`` produces tokens as fast as it can, ``step`` a token each 2 ms, ``slow`` a token each
    20 ms however many sequences run.
    """

    def __init__(self, group: ProcessGroup) -> None:
        self._group = group
        options = ("--slots", "512", "--waiting-max", "512", "--models")
        self._plan = FleetPlan(
            region="bench",
            data_centres=("b1",),
            daemons=1,
            folders=0,
            operator_key=OPERATOR_KEY,
            keys={"bench": KEY},
            targets=(
                TargetPlan("blast", "engine", 2, ("--blast", *options, "blast-lm@1")),
                TargetPlan("step", "engine", 1, ("--step-ms", "2", *options, "step-lm@1")),
                TargetPlan("slow", "engine", 3, (*STEADY_STEP_OPTIONS, *options, "slow-lm@1")),
            ),
        )
        self._fleet = Fleet(self._plan, group)

    def start(self) -> None:
        """Start the fleet, apply the file set and wait until every application answers."""
        self._fleet.start()
        call(
            self._daemon.port,
            "/ops/config",
            {"files": {"a.toml": FILE_SET.read_text()}},
            OPERATOR_KEY,
        )
        for application in ("blast", "step", "slow"):
            body = make_body(application, 2)
            wait_until(
                lambda body=body: self._is_served(body),
                RESPONSE_TIMEOUT_S,
                f"{application} unserved",
            )

    def measure(self, durations: Durations) -> dict[str, Any]:
        """Run all measurements and return the figures."""
        direct_tokens = self._measure_tokens(self._engine_port("blast"), durations.blast_s)
        before_s = read_cpu_s(self._daemon.process.pid)
        tokens = self._measure_tokens(self._daemon.port, durations.blast_s)
        cpu_s = read_cpu_s(self._daemon.process.pid) - before_s
        rounds = [self._measure_ttft(durations.ttft_s / TTFT_ROUNDS) for _ in range(TTFT_ROUNDS)]
        through = [value for values, _ in rounds for value in values]
        direct = [value for _, values in rounds for value in values]
        added = [pick_quantile(a, 0.99) - pick_quantile(b, 0.99) for a, b in rounds]
        open_streams = self._measure_open_streams()
        return {
            "tokens_per_second": round(tokens),
            "tokens_per_second_direct": round(direct_tokens),
            "cpu_us_per_token": round(cpu_s / (tokens * durations.blast_s) * 1e6, 2),
            "one_by_one_tokens_per_second": round(open_streams.tokens_per_s),
            "one_by_one_cpu_share": round(open_streams.cpu_share, 3),
            "idle_cpu_share": round(open_streams.idle_cpu_share, 3),
            "one_by_one_cpu_us_per_token": round(open_streams.cpu_us_per_token, 1),
            "added_ttft_p99_ms": round(pick_quantile(added, 0.5), 2),
            "added_ttft_p99_ms_rounds": [round(value, 2) for value in added],
            "added_ttft_p50_ms": round(pick_quantile(through, 0.5) - pick_quantile(direct, 0.5), 2),
            "ttft_p99_ms": round(pick_quantile(through, 0.99), 2),
            "ttft_p99_direct_ms": round(pick_quantile(direct, 0.99), 2),
            "ttft_requests": len(through),
            "ttft_failed": through.count(math.inf) + direct.count(math.inf),
            "resident_idle_mib": round(open_streams.idle_bytes / MIB_BYTES, 1),
            "resident_256_streams_mib": round(open_streams.open_bytes / MIB_BYTES, 1),
            "target_tokens_per_second": TOKENS_PER_S_TARGET,
            "target_added_ttft_p99_ms": TTFT_TARGET_MS,
        }

    @property
    def _daemon(self) -> Member:
        return self._fleet.daemons[0]

    def _engine_port(self, service: str) -> int:
        return self._fleet.targets[service][0].port

    def _is_served(self, body: dict[str, Any]) -> bool:
        status, _ = call(self._daemon.port, "/v1/completions", body, KEY)
        return status == 200

    def _measure_tokens(self, port: int, seconds: float) -> float:
        """Return the tokens per second of ``BLAST_STREAMS`` concurrent streams."""
        started = time.monotonic()
        body = make_body(choose_model(port == self._daemon.port, "blast"), BLAST_TOKENS)
        counters = [
            gevent.spawn(count_tokens, port, body, started + seconds) for _ in range(BLAST_STREAMS)
        ]
        gevent.joinall(counters, raise_error=True)
        return sum(c.value for c in counters) / (time.monotonic() - started)

    def _measure_ttft(self, seconds: float) -> tuple[list[float], list[float]]:
        """Return times to the first token in ms, through the daemon and direct.

        Requests of both kinds alternate, so that both see the same load on the machine.
        """
        through: list[gevent.Greenlet] = []
        direct: list[gevent.Greenlet] = []
        started = time.monotonic()
        engine_port = self._engine_port("step")
        for number in range(int(seconds * REQUESTS_PER_S)):
            gevent.sleep(max(0.0, started + number / REQUESTS_PER_S - time.monotonic()))
            body = make_body("step", 8, f"question {number}")
            through.append(gevent.spawn(time_first_token, self._daemon.port, body))
            gevent.sleep(0.5 / REQUESTS_PER_S)
            direct.append(gevent.spawn(time_first_token, engine_port, {**body, "model": "step-lm"}))
        gevent.joinall([*through, *direct], raise_error=True)
        return [g.value for g in through], [g.value for g in direct]

    def _measure_open_streams(self) -> OpenStreamCost:
        """Measure many open streams in which each token arrives in its own write.

        Raise StreamsNotOpenError if a stream is refused.
        """
        pid = self._daemon.process.pid
        idle_bytes = read_resident_bytes(pid)
        idle_share, _ = measure_share(pid, lambda: gevent.sleep(OPEN_STREAMS_WINDOW_S))
        socks = [
            send(self._daemon.port, "/v1/completions", make_body("slow", 20_000), KEY)
            for _ in range(OPEN_STREAMS)
        ]
        for sock in socks:
            if not sock.recv(READ_BYTES).startswith(b"HTTP/1.1 200"):
                raise StreamsNotOpenError("a stream was not answered with status 200")
        share, tokens = measure_share(pid, lambda: read_streams(socks, OPEN_STREAMS_WINDOW_S))
        open_bytes = read_resident_bytes(pid)
        for sock in socks:
            sock.close()
        return OpenStreamCost(
            idle_bytes, open_bytes, idle_share, share, tokens / OPEN_STREAMS_WINDOW_S
        )


class StreamsNotOpenError(Exception):
    """Not all streams of the memory measurement were accepted."""


def make_body(model: str, tokens: int, prompt: str = "hello") -> dict[str, Any]:
    """Return the body of a streamed completion request."""
    return {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": True}


def choose_model(through: bool, name: str) -> str:
    """Return the name to request: the application's through the daemon, else the model's."""
    return name if through else f"{name}-lm"


def send(port: int, path: str, body: object, key: str) -> socket.socket:
    """Send one request on a new connection and return the socket."""
    data = json.dumps(body).encode()
    sock = socket.create_connection((LOOPBACK, port), timeout=CONNECT_TIMEOUT_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(RESPONSE_TIMEOUT_S)
    head = (
        f"POST {path} HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n"
        f"Authorization: Bearer {key}\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    sock.sendall(head.encode() + data)
    return sock


def call(port: int, path: str, body: object, key: str) -> tuple[int, bytes]:
    """Send one request and return the status and the raw response."""
    sock = send(port, path, body, key)
    pieces = list(iter(lambda: sock.recv(READ_BYTES), b""))
    sock.close()
    raw = b"".join(pieces)
    return int(raw[9:12] or 0), raw


def count_tokens(port: int, body: dict[str, Any], deadline: float) -> int:
    """Read streams one after the other until the deadline; return the number of tokens."""
    total = 0
    while time.monotonic() < deadline:
        sock = send(port, "/v1/completions", body, KEY)
        while data := sock.recv(READ_BYTES):
            total += data.count(b'"choices"')
            if time.monotonic() >= deadline:
                break
        sock.close()
    return total


def measure_share(pid: int, work: Callable[[], Any]) -> tuple[float, Any]:
    """Return the share of a core that a process used while ``work`` ran, and the result of work."""
    started, before_s = time.monotonic(), read_cpu_s(pid)
    result = work()
    return (read_cpu_s(pid) - before_s) / (time.monotonic() - started), result


def read_streams(socks: list[socket.socket], seconds: float) -> int:
    """Return the tokens that all open streams deliver in the given seconds."""
    deadline = time.monotonic() + seconds
    readers = [gevent.spawn(count_events, sock, deadline) for sock in socks]
    gevent.joinall(readers, raise_error=True)
    return sum(r.value for r in readers)


def count_events(sock: socket.socket, deadline: float) -> int:
    """Return the tokens that one open stream delivers until the deadline."""
    total = 0
    while time.monotonic() < deadline:
        total += sock.recv(READ_BYTES).count(b'"choices"')
    return total


def time_first_token(port: int, body: dict[str, Any]) -> float:
    """Return the ms from connecting to the first event with text; infinity if the call failed."""
    started = time.monotonic()
    try:
        sock = send(port, "/v1/completions", body, KEY)
        seen = b""
        while b'"choices"' not in seen:
            data = sock.recv(READ_BYTES)
            if not data:
                return math.inf
            seen += data
        first_ms = (time.monotonic() - started) * 1000
        while sock.recv(READ_BYTES):
            continue
        sock.close()
    except OSError:
        return math.inf
    return first_ms


def pick_quantile(values: list[float], share: float) -> float:
    """Return a quantile by nearest rank."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, math.ceil(share * len(ranked)) - 1)]


def main() -> None:
    """Run the benchmark and print its figures."""
    args = docopt(__doc__ or "")
    durations = Durations(6.0, 12.0) if args["--short"] else Durations(20.0, 60.0)
    with tempfile.TemporaryDirectory() as folder, ProcessGroup(Path(folder)) as group:
        bench = RelayBench(group)
        bench.start()
        print(json.dumps(bench.measure(durations)))


if __name__ == "__main__":
    main()
