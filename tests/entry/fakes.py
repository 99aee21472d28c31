"""Fakes of the components that the entry uses, and an entry that serves on loopback."""

from __future__ import annotations

import hashlib
import itertools
import json
import random
from functools import partial

import gevent
from gevent import socket
from gevent.event import Event

from clementinepin.batch import FileRow, JobStatus
from clementinepin.claims import Claim
from clementinepin.config import (
    AccountSpec,
    ApplicationSpec,
    Configuration,
    InstanceSettings,
    LimitSettings,
    LogSettings,
    MetricsSettings,
    ModelSpec,
    PathRule,
    PlatformSettings,
    SecuritySettings,
    ServiceSpec,
    Settings,
    StorageSettings,
)
from clementinepin.core import Core
from clementinepin.entry import create_entry
from clementinepin.exceptions import InvalidInputError, NotRunError
from clementinepin.fleet import ApplyResult, EntryAdvice
from clementinepin.helpers.clock import create_system_clock
from clementinepin.helpers.metrics import create_metrics
from clementinepin.infrastructure import ListedInstance
from clementinepin.scheduling import CallResult, Placement
from clementinepin.targets import create_engine

KEY = "sk-account"
OTHER_KEY = "sk-other"
OPERATOR_KEY = "op-secret"
PEER_SECRET = "peer-secret"


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


def make_service(name, kind, rules=(), timeout_s=10.0):
    return ServiceSpec(name, kind, 8, True, 0.5, 1.8, 0.066, timeout_s, rules)


def make_account(name, key):
    return AccountSpec(name, (digest(key),), ("assist", "night"), ("desk",), 10, 10.0, 1e3, 1.0)


def make_configuration(revision=1, engine_rules=(), timeout_s=10.0):
    rules = (PathRule("POST", "/bookings"),)
    return Configuration(
        revision=revision,
        digest="d",
        models={"lm": ModelSpec("lm", "engines", "1", "w/lm", 4096, 1)},
        adapters={},
        applications={
            "assist": ApplicationSpec("assist", "lm", "mu", ("online", "batch"), (), ()),
            "night": ApplicationSpec("night", "lm", None, ("batch",), (), ()),
            "private": ApplicationSpec("private", "lm", None, ("online",), (), ()),
        },
        services={
            "engines": make_service("engines", "engine", engine_rules, timeout_s),
            "desk": make_service("desk", "plain", rules, timeout_s),
        },
        accounts={"lets": make_account("lets", KEY), "kirk": make_account("kirk", OTHER_KEY)},
    )


def make_settings(limits=None, security=None):
    return Settings(
        version=1,
        instance=InstanceSettings("i1", "127.0.0.1", 0, 0, "dc1", "mu-north"),
        platform=PlatformSettings((), "", "", 1.0),
        storage=StorageSettings(None, 0),
        limits=LimitSettings(100_000, 64, 100, 0.3, 0.2, 5.0)._replace(**(limits or {})),
        security=SecuritySettings(PEER_SECRET, digest(OPERATOR_KEY), None, None, None)._replace(
            **(security or {})
        ),
        logs=LogSettings("text", "INFO"),
        metrics=MetricsSettings(None, 0, "clementinepin"),
        allowance_policy="adaptive",
    )


class FakeScheduler:
    """Grants untried targets in order and allows ``retries`` retries without delay."""

    def __init__(self, targets, retries=5):
        self.targets = targets
        self.retries = retries
        self.calls = []
        self.results = {}
        self.open = {}
        self.first_tokens = []
        self.tokens = 0
        self._tickets = itertools.count(1)

    def acquire(self, call):
        self.calls.append(call)
        untried = [t for t in self.targets if t.name not in call.tried]
        if not untried:
            raise NotRunError("no target is left", retry_at=create_system_clock().wall() + 3.0)
        ticket = next(self._tickets)
        self.open[ticket] = untried[0].name
        return Placement(ticket, untried[0], Event())

    def report_first_token(self, ticket):
        self.first_tokens.append(ticket)

    def report_tokens(self, ticket, tokens):
        self.tokens += tokens

    def finish(self, ticket, result):
        self.results[ticket] = CallResult(result)
        del self.open[ticket]

    def allow_retry(self, call, result):
        self.retries -= 1
        return create_system_clock().monotonic() if self.retries >= 0 else None

    def count_batch_slots(self, application):
        return 0


class FakeClaims:
    """Keeps claims in memory."""

    def __init__(self):
        self.digests = {}
        self.settled = {}
        self.failure = None

    def claim(self, account, key, request_digest, *, deadline):
        if self.failure is not None:
            raise self.failure
        first_digest = self.digests.setdefault((account, key), request_digest)
        fresh = (account, key) not in self.settled and first_digest is request_digest
        return Claim(account, key, request_digest, fresh, self.settled.get((account, key)))

    def settle(self, claim, outcome):
        if outcome.outcome == "not_run":
            del self.digests[claim.account, claim.key]
            return
        self.settled[claim.account, claim.key] = outcome


class JobNotFoundError(InvalidInputError):
    code = "job_not_found"
    status = 404


class FakeBatch:
    """Keeps files and jobs in memory."""

    def __init__(self):
        self.files = {}
        self.jobs = {}
        self.piece_max = 0

    def store_file(self, account, filename, purpose, chunks):
        pieces = list(chunks)
        self.piece_max = max([self.piece_max, *map(len, pieces)])
        data = b"".join(pieces)
        row = FileRow(f"file-{len(self.files)}", account, filename, purpose, len(data), 5.0, ())
        self.files[account, row.file_id] = (row, data)
        return row

    def describe_file(self, account, file_id):
        return self._find(self.files, account, file_id)[0]

    def read_file(self, account, file_id):
        yield self._find(self.files, account, file_id)[1]

    def submit(self, account, job_key, file_id, endpoint, due_at):
        self.describe_file(account, file_id)
        for status, key in self.jobs.values():
            if key == job_key and status.account == account:
                return status
        job_id = f"batch-{len(self.jobs)}"
        status = JobStatus(
            job_id, account, "in_progress", file_id, endpoint, "assist", 10.0, due_at, None, 2, 1,
            0, None,
        )  # fmt: skip
        self.jobs[account, job_id] = (status, job_key)
        return status

    def describe(self, account, job_id):
        return self._find(self.jobs, account, job_id)[0]

    def list_jobs(self, account, *, limit=100, after=""):
        rows = [s for s, _ in self.jobs.values() if account in (None, s.account)][::-1]
        ids = [row.job_id for row in rows]
        start = ids.index(after) + 1 if after else 0
        return rows[start : start + limit]

    def cancel(self, account, job_id):
        status, key = self._find(self.jobs, account, job_id)
        status = status._replace(state="cancelling")
        self.jobs[account, job_id] = (status, key)
        return status

    def read_results(self, account, job_id):
        yield b'{"custom_id": "a"}\n'
        yield b'{"custom_id": "b"}\n'

    def _find(self, rows, account, name):
        if (account, name) not in rows:
            raise JobNotFoundError(f"no {name}")
        return rows[account, name]


class FakeFleet:
    """One other live entry and one target."""

    def __init__(self):
        self.applied = []

    def apply(self, files, *, base):
        self.applied.append((dict(files), base))
        return ApplyResult(7, "digest")

    def fetch_revisions_in_force(self):
        return {"i1": 7}

    def advise_entries(self):
        entry = ListedInstance("i2", "clementinepin", "127.0.0.2", 80, 81, "dc2", "r", "live")
        return EntryAdvice((entry,), 99.0)

    def list_instances(self):
        own = self.advise_entries().entries[0]
        return [own, own._replace(name="w1", service="engines", peer_port=0)]

    def list_stewards(self):
        return {"engines": "i2"}


class FakePeers:
    """Knows only this instance."""

    def list_live(self):
        return ["i1"]


class AdjustableClock:
    """The system clock plus an offset that ``advance`` increases."""

    def __init__(self):
        self._system = create_system_clock()
        self._offset_s = 0.0

    def monotonic(self):
        return self._system.monotonic() + self._offset_s

    def wall(self):
        return self._system.wall() + self._offset_s

    def advance(self, seconds):
        self._offset_s += seconds


class ServedEntry:
    """An entry that uses fakes and serves on a loopback port."""

    def __init__(self, targets=(), *, limits=None, security=None, configuration=None):
        settings = make_settings(limits, security)
        clock = self.clock = AdjustableClock()
        self.core = Core(settings, clock, create_metrics(None, 0, ""), random.Random(1))
        self.core.set_configuration(configuration or make_configuration())
        self.scheduler = FakeScheduler([t.address for t in targets])
        self.batch, self.claims, self.fleet = FakeBatch(), FakeClaims(), FakeFleet()
        self.entry = create_entry(
            self.core, self.scheduler, self.batch, self.claims, self.fleet, FakePeers(),
            partial(create_engine, clock=clock),
        )  # fmt: skip
        self.core.register(self.entry)
        self.core.start()

    def stop(self):
        self.entry.stop(self.core.clock.monotonic() + 2.0)

    def describe(self, name):
        return self.entry.describe_state()[name]

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.entry.port), timeout=5.0)

    def send(self, data):
        """Send raw bytes and return all bytes received until the connection closes."""
        sock = self.connect()
        sock.sendall(data)
        return read_to_end(sock)

    def call(self, method, path, body=None, *, key=KEY, headers=None):
        """Send one request and return its response."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode() if body else b""
        lines = [f"{method} {path} HTTP/1.1", "Host: x", "Connection: close"]
        lines += [f"Authorization: Bearer {key}"] if key else []
        lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
        lines += [f"Content-Length: {len(data)}"]
        return ParsedResponse(self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + data))


class ParsedResponse:
    """A parsed response. ``complete`` is True if its chunked framing has ended."""

    def __init__(self, raw):
        head, _, body = raw.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        self.status = int(lines[0].split(" ")[1])
        self.headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines[1:])}
        self.complete = True
        self.body = body
        if self.headers.get("transfer-encoding") == "chunked":
            self.body = self._join(body)

    def _join(self, data):
        pieces = []
        while data:
            size, _, data = data.partition(b"\r\n")
            if int(size, 16) == 0:
                return b"".join(pieces)
            pieces.append(data[: int(size, 16)])
            data = data[int(size, 16) + 2 :]
        self.complete = False
        return b"".join(pieces)

    @property
    def json(self):
        return json.loads(self.body)

    @property
    def error(self):
        return self.json["error"]


def read_to_end(sock):
    pieces = []
    while data := sock.recv(65536):
        pieces.append(data)
    sock.close()
    return b"".join(pieces)


def wait_for(condition):
    """Let other greenlets run until a condition holds."""
    with gevent.Timeout(5.0):
        while not condition():
            gevent.sleep(0.001)


def run_in_thread(function):
    """Run blocking code in a native thread while the entry serves in this thread."""
    return gevent.get_hub().threadpool.apply(function)
