"""Measure one batch job from upload to results, at four sizes, in one process.

The batch and storage components, their loops and the data folders on this disk are real (three
folders, one per data centre). The key-value service is in memory, peers are called as functions,
and the scheduler and the engine answer immediately.
"""

from __future__ import annotations

import argparse
import json
import random
import resource
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import gevent
import msgspec
from gevent.event import Event
from loguru import logger

from clementinepin.batch import create_batch
from clementinepin.config import (
    AccountSpec,
    ApplicationSpec,
    Configuration,
    InstanceSettings,
    ModelSpec,
    ServiceSpec,
)
from clementinepin.core import Core
from clementinepin.helpers.clock import create_system_clock
from clementinepin.helpers.metrics import create_metrics
from clementinepin.scheduling import CallInfo, CallResult, Placement
from clementinepin.storage import create_segment_store
from clementinepin.targets import GenerateRequest, StreamChunk, TargetAddress
from standins.key_value import KeyValueState, MemoryKeyValueStore

SIZES = (4_100, 41_000, 205_000, 410_000)
SIZES_SHORT = (512, 2_050, 4_100, 8_200)
SLOTS = 128
PROMPT_WORDS = 80
RESPONSE_TEXT = "word " * 100
ACCOUNT = "owner"
MODEL = "assist"
ENDPOINT = "/v1/completions"
FOLDERS = 3


class LocalPeers:
    """Peers in the same process that are called as functions."""

    def __init__(self, handlers: dict[str, dict[str, Any]], name: str) -> None:
        self._handlers = handlers
        self._name = name
        handlers[name] = {}

    def register(self, method: str, handler: Any) -> None:
        """Register the handler of a method."""
        self._handlers[self._name][method] = handler

    def call(self, instance: str, method: str, message: Any, *, deadline: float) -> Any:
        """Call a peer's handler and return its reply."""
        return self._handlers[instance][method](self._name, dict(message))

    def list_live(self) -> list[str]:
        """Return the names of all instances; none ever fails."""
        return sorted(self._handlers)


class ImmediateScheduler:
    """Scheduler that grants every slot request immediately."""

    def __init__(self) -> None:
        self._held = 0

    def acquire(self, call: CallInfo) -> Placement:
        """Grant a slot on the only target."""
        self._held += 1
        return Placement(0, TargetAddress("t", "127.0.0.1", 1), Event())

    def report_first_token(self, ticket: int) -> None:
        """Ignore the first token."""

    def report_tokens(self, ticket: int, tokens: int) -> None:
        """Ignore the token count."""

    def finish(self, ticket: int, result: CallResult) -> None:
        """Release a slot."""
        self._held -= 1

    def allow_retry(self, call: CallInfo, result: CallResult) -> float:
        """Allow every retry without delay."""
        return 0.0

    def count_batch_slots(self, application: str) -> int:
        """Return the number of free slots."""
        return SLOTS - self._held


class ImmediateEngine:
    """Engine that answers immediately with a fixed text."""

    def generate(self, request: GenerateRequest) -> Iterator[StreamChunk]:
        """Yield the whole response as one chunk."""
        yield StreamChunk(b"", RESPONSE_TEXT, 100, True, "stop")


def build_configuration() -> Configuration:
    """Return a configuration with one model and one client account."""
    service = ServiceSpec("engines", "engine", 8, True, 0.5, 1.0, 0.1, 60.0, ())
    return Configuration(
        revision=1,
        digest="",
        models={"base": ModelSpec("base", "engines", "1", "w", 4096, 1)},
        adapters={},
        applications={MODEL: ApplicationSpec(MODEL, "base", None, ("batch",), (), ())},
        services={"engines": service},
        accounts={ACCOUNT: AccountSpec(ACCOUNT, (), (MODEL,), (), 10, 10.0, 1e6, 1.0)},
    )


def build_node(
    state: KeyValueState, handlers: dict[str, dict[str, Any]], name: str, folder: str
) -> tuple[Core, MemoryKeyValueStore, Any]:
    """Return the core, key-value client and segment store of one instance."""
    settings: Any = SimpleNamespace(
        instance=InstanceSettings(name, "127.0.0.1", 0, 0, f"dc-{name}", "r"),
        storage=SimpleNamespace(folder=f"{folder}/{name}", budget_bytes=50_000_000_000),
    )
    clock = create_system_clock()
    core = Core(settings, clock, create_metrics(None, 0, ""), random.Random(1))
    core.configuration = build_configuration()
    key_value = MemoryKeyValueStore(clock, state)
    peers: Any = LocalPeers(handlers, name)
    return core, key_value, create_segment_store(core, key_value, peers)


def generate_lines(items: int) -> Iterator[bytes]:
    """Yield the lines of an input file, about 600 bytes each."""
    rng = random.Random(items)
    words = [f"w{n:04d}" for n in range(5_000)]
    for n in range(items):
        prompt = " ".join(rng.choices(words, k=PROMPT_WORDS))
        body = {"model": MODEL, "prompt": prompt, "max_tokens": 100}
        line = {"custom_id": f"item-{n}", "method": "POST", "url": ENDPOINT, "body": body}
        yield msgspec.json.encode(line) + b"\n"


def run_job(items: int, folder: str) -> dict[str, Any]:
    """Run one job from upload to results and return its figures."""
    state = KeyValueState()
    handlers: dict[str, dict[str, Any]] = {}
    nodes = [build_node(state, handlers, f"n{n}", f"{folder}/{items}") for n in range(FOLDERS)]
    for _, _, segments in nodes:
        segments.start()
    gevent.sleep(0.1)
    core, key_value, segments = nodes[0]
    segments._directory.refresh()
    scheduler: Any = ImmediateScheduler()
    engine: Any = ImmediateEngine()
    batch = create_batch(core, key_value, segments, scheduler, lambda _address: engine)
    batch.start()
    key_value.calls.clear()
    started_at, cpu_at = time.monotonic(), time.process_time()
    file = batch.store_file(ACCOUNT, "items", "batch", generate_lines(items))
    job = batch.submit(ACCOUNT, "key", file.file_id, ENDPOINT, time.time() + 86_400.0)
    accepted_at = time.monotonic()
    while batch.describe(ACCOUNT, job.job_id).ended_at is None:
        gevent.sleep(0.5)
    ended_at = time.monotonic()
    lines = sum(chunk.count(b"\n") for chunk in batch.read_results(ACCOUNT, job.job_id))
    read_at = time.monotonic()
    for greenlet in batch._greenlets:
        greenlet.kill()
    for _, _, store in nodes:
        store.stop(0.0)
    return summarize(
        items, lines, key_value.calls, (started_at, accepted_at, ended_at, read_at), cpu_at
    )


def summarize(
    items: int, lines: int, calls: Counter[str], times: tuple[float, ...], cpu_at: float
) -> dict[str, Any]:
    """Return the figures of one job."""
    started_at, accepted_at, ended_at, read_at = times
    total = sum(calls.values())
    return {
        "items": items,
        "results": lines,
        "accept_s": round(accepted_at - started_at, 2),
        "run_s": round(ended_at - accepted_at, 2),
        "read_s": round(read_at - ended_at, 2),
        "cpu_us_per_item": round((time.process_time() - cpu_at) * 1e6 / items, 1),
        "peak_memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
        "key_value_calls": total,
        "key_value_calls_per_item": round(total / items, 4),
        "calls": dict(calls),
    }


def main() -> None:
    """Run all sizes, smallest first, and print the figures, the last line as one JSON object."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--items", type=int, help="run one job with this number of items")
    args = parser.parse_args()
    logger.remove()
    sizes = SIZES_SHORT if args.short else SIZES
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        for items in (args.items,) if args.items else sizes:
            rows.append(run_job(items, folder))
            print(json.dumps(rows[-1]), flush=True)
    print(json.dumps({"bench": "job", "rows": rows}))


if __name__ == "__main__":
    main()
