"""Fake scheduler, engine and configuration for tests of one or more batch components."""

from __future__ import annotations

import random
from collections import Counter
from types import SimpleNamespace

import gevent
import msgspec
from gevent.event import Event

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
from clementinepin.helpers.metrics import create_metrics
from clementinepin.scheduling import Placement
from clementinepin.storage import create_segment_store
from clementinepin.targets import StreamChunk, TargetAddress

MODEL = "assist"
ACCOUNT = "owner"
ENDPOINT = "/v1/completions"


def create_configuration() -> Configuration:
    service = ServiceSpec("engines", "engine", 8, True, 0.5, 1.0, 0.1, 60.0, ())
    names = (ACCOUNT, "other")
    return Configuration(
        revision=1,
        digest="",
        models={"base": ModelSpec("base", "engines", "1", "w", 4096, 1)},
        adapters={},
        applications={MODEL: ApplicationSpec(MODEL, "base", None, ("online", "batch"), (), ())},
        services={"engines": service},
        accounts={n: AccountSpec(n, (), (MODEL,), (), 10, 10.0, 1000.0, 1.0) for n in names},
    )


def create_core(clock, name="i1", seed=1) -> Core:
    settings = SimpleNamespace(
        instance=InstanceSettings(name, "127.0.0.1", 0, 0, f"dc-{name}", "r"),
        storage=SimpleNamespace(folder=None, budget_bytes=0),
    )
    core = Core(settings, clock, create_metrics(None, 0, ""), random.Random(seed))
    core.configuration = create_configuration()
    return core


class FakePeers:
    """A network without other instances."""

    def register(self, method, handler):
        return

    def list_live(self):
        return ["i1"]


class FakeEngine:
    """Echoes each prompt in two chunks; ``script`` is called before each and may raise.

    ``runs`` counts started and ``finished`` complete responses by prompt. ``pause_s`` delays each
    chunk.
    """

    def __init__(self, script=None, pause_s=0.0):
        self.script = script
        self.pause_s = pause_s
        self.runs = Counter()
        self.finished = Counter()
        self.resumed = []
        self.closed = 0

    def generate(self, request):
        prompt = request.body["prompt"]
        self.runs[prompt] += 1
        if request.resume_tokens:
            self.resumed.append((prompt, request.resume_text, request.resume_tokens))
        ended = False
        try:
            for n, text in enumerate(("re:", prompt)):
                if n < request.resume_tokens:
                    continue
                if self.script is not None:
                    self.script(request, n)
                gevent.sleep(self.pause_s)
                if n == 0:
                    yield StreamChunk(b"", text, 1, False)
            ended = True
            self.finished[prompt] += 1
            yield StreamChunk(b"", prompt, 1, True, "stop")
        finally:
            self.closed += not ended


class FakeScheduler:
    """Grants up to ``slots`` batch slots at once."""

    def __init__(self, slots=8):
        self.slots = slots
        self.placements = {}
        self.calls = []
        self.results = []
        self.rejection = None
        self._ticket = 0

    def acquire(self, call):
        if self.rejection is not None:
            raise self.rejection
        self.calls.append(call)
        self._ticket += 1
        placement = Placement(self._ticket, TargetAddress("t1", "127.0.0.1", 1), Event())
        self.placements[self._ticket] = placement
        return placement

    def report_first_token(self, ticket):
        return

    def report_tokens(self, ticket, tokens):
        return

    def finish(self, ticket, result):
        del self.placements[ticket]
        self.results.append(result)

    def allow_retry(self, call, result):
        return 0.0

    def count_batch_slots(self, application):
        return self.slots - len(self.placements)


class Node:
    """One instance with its batch component over a shared key-value state."""

    def __init__(self, clock, key_value, name="i1", engine=None, slots=8, seed=1):
        self.core = create_core(clock, name, seed)
        self.key_value = key_value
        self.engine = engine or FakeEngine()
        self.scheduler = FakeScheduler(slots)
        self.segments = create_segment_store(self.core, key_value, FakePeers())
        self.batch = create_batch(
            self.core, key_value, self.segments, self.scheduler, lambda address: self.engine
        )

    def start(self):
        self.batch.start()

    def kill(self):
        """Stop the instance without releasing its shards."""
        gevent.killall(self.batch._greenlets)
        self.batch._keeper.owned.clear()


def build_line(n, model=MODEL, **changes):
    line = {
        "custom_id": f"c{n}",
        "method": "POST",
        "url": ENDPOINT,
        "body": {"model": model, "prompt": f"p{n}"},
    }
    return msgspec.json.encode(line | changes)


def build_input(count):
    return b"\n".join(build_line(n) for n in range(count)) + b"\n"


def read_results(batch, job_id, account=ACCOUNT):
    data = b"".join(batch.read_results(account, job_id))
    return [msgspec.json.decode(line) for line in data.splitlines()]


def wait_for(check, rounds=2000):
    """Let greenlets run until the check returns true. Raise AssertionError if it never does."""
    for _ in range(rounds):
        if check():
            return
        gevent.sleep(0.005)
    raise AssertionError("the expected state was not reached")
