"""Six deciders, their messages, online clients and batch runners over the engine model."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from bench._model import Generation, Loop, ModelEngine, Placed
from clementinepin.config import (
    AccountSpec,
    ApplicationSpec,
    Configuration,
    ModelSpec,
    ServiceSpec,
)
from clementinepin.exceptions import NotRunError
from clementinepin.infrastructure import ListedInstance
from clementinepin.scheduling import CallInfo, CallResult
from clementinepin.scheduling._decider import Decider
from clementinepin.scheduling._reports import POLLS_PER_S
from clementinepin.systems.actions import Grant, Preempt, Refuse, Signal
from clementinepin.systems.allowance import create_policy
from clementinepin.systems.demand import DEMAND_TTL_S
from clementinepin.tables import DemandRow, View
from clementinepin.targets import LoadReport

TICK_S = 0.05
REPORT_LAG_S = 0.5
LOCAL_S = 0.0001
BATCH_WAITING = 16
BATCH_PROMPT_TOKENS = 100
BATCH_TOKENS = 96
ONLINE_PROMPT_TOKENS = 60
DATA_CENTRES = ("dc1", "dc2", "dc3", "dc4")


class Deployment(NamedTuple):
    """Sizes of one deployment; delays are one way, in seconds."""

    name: str
    workers: int
    slots: int
    between_s: float
    client_s: float
    preference: float
    first_token_target_s: float


LAKAZ = Deployment("lakaz", 9, 8, 0.0015, 0.003, 0.3, 1.8)
KIRKVOICE = Deployment("kirkvoice", 5, 8, 0.001, 0.001, 0.8, 1.2)


class Arrival(NamedTuple):
    """An online call of a trace; ``at`` counts from its start."""

    name: str
    at: float
    entry: int
    tokens: int


class BatchItem:
    """An item in the runner's hands; ``done`` counts the tokens kept over preemptions."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.done = 0


def build_configuration(deployment: Deployment) -> Configuration:
    """Return a configuration with one service and one application."""
    service = ServiceSpec(
        "lm",
        "engine",
        deployment.slots,
        True,
        deployment.preference,
        deployment.first_token_target_s,
        0.066,
        60.0,
        (),
    )
    account = AccountSpec("a", (), ("app",), (), 100_000, 1e6, 1e9, 1.0)
    return Configuration(
        1,
        "",
        {"m": ModelSpec("m", "lm", "1", "w", 4096, 1)},
        {},
        {"app": ApplicationSpec("app", "m", None, ("online", "batch"), (), ())},
        {"lm": service},
        {"a": account},
    )


class Fleet:
    """The whole deployment in virtual time."""

    def __init__(self, deployment: Deployment, policy: str, seed: int, *, batch: bool) -> None:
        self.loop = Loop()
        self.deployment = deployment
        self.first_tokens: list[float] = []
        self.refused = 0
        self.batch_tokens = 0
        self.preemptions = 0
        self.messages = 0
        self.workers = {f"w{i}": DATA_CENTRES[i % 4] for i in range(deployment.workers)}
        self.engines = {n: ModelEngine(self.loop, deployment.slots) for n in self.workers}
        names = tuple(f"e{i}" for i in range(6))
        configuration = build_configuration(deployment)
        self.entries = [
            Entry(self, name, DATA_CENTRES[i % 4], names, configuration, policy, seed + i)
            for i, name in enumerate(names)
        ]
        self.by_name = {entry.place.name: entry for entry in self.entries}
        for entry in self.entries:
            entry.start(batch=batch)

    def measure_delay(self, left: str, right: str) -> float:
        """Return the one-way delay between two data centres."""
        return LOCAL_S if left == right else self.deployment.between_s

    def play(self, trace: list[Arrival], duration_s: float) -> None:
        """Run a trace of online calls to its end."""
        start = self.loop.now
        for arrival in trace:
            delay_s = arrival.at + self.deployment.client_s
            self.loop.after(delay_s, lambda a=arrival, t=start + arrival.at: self._send(a, t))
        self.loop.run(start + duration_s)

    def _send(self, arrival: Arrival, sent_at: float) -> None:
        self.entries[arrival.entry].serve_online(arrival.name, arrival.tokens, sent_at)


class Entry:
    """One instance: a decider, its waits and its batch runner."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        data_centre: str,
        live: tuple[str, ...],
        configuration: Configuration,
        policy: str,
        seed: int,
    ) -> None:
        view = View(name, data_centre, "r", live, configuration)
        self.place = Placed(name, data_centre)
        self._requests = itertools.count()
        self.decider = Decider(view, create_policy(policy), 10_000, random.Random(seed))
        self._fleet = fleet
        self._loop = fleet.loop
        self._grants: dict[int, Callable[[Grant], None]] = {}
        self._preempts: dict[int, Callable[[], None]] = {}
        self._pending: dict[str, dict[str, Signal]] = {}
        self._sending: set[str] = set()
        rows = [
            ListedInstance(n, "lm", "127.0.0.1", 1, 0, dc, "r", "live")
            for n, dc in fleet.workers.items()
        ]
        self.decider.set_targets(rows)
        self.decider.set_view(view)

    def start(self, *, batch: bool) -> None:
        """Start ticks, polls and, if wanted, an endless batch job."""
        self._poll()
        self._tick()
        if batch:
            self._refill_batch()

    def serve_online(self, name: str, tokens: int, sent_at: float) -> None:
        """Serve a call that a client sent at a time."""
        call = CallInfo(name, "a", "lm", "app", "online", self._loop.now + 60.0, name, "", tokens)
        self._submit(call, lambda grant: self._run_online(grant, tokens, sent_at))

    def wake(self) -> None:
        """Run the decider once."""
        for action in self.decider.tick(self._loop.now, self._loop.now):
            match action:
                case Grant():
                    self._grants.pop(action.waiting_id)(action)
                case Refuse():
                    self._grants.pop(action.waiting_id)
                    self._fleet.refused += 1
                case Preempt():
                    self._preempts[action.ticket]()
                case Signal():
                    self._signal(action)

    def _name_item(self) -> str:
        return f"{self.place.name}.b{next(self._requests)}"

    def _submit(self, call: CallInfo, on_grant: Callable[[Grant], None]) -> None:
        try:
            row = self.decider.submit(call, self._loop.now, self._loop.now)
        except NotRunError:
            self._fleet.refused += 1
            return
        self._grants[row.waiting_id] = on_grant
        self.wake()

    def _run_online(self, grant: Grant, tokens: int, sent_at: float) -> None:
        fleet, engine = self._fleet, self._fleet.engines[grant.target]
        delay_s = fleet.measure_delay(self.place.data_centre, fleet.workers[grant.target])

        def receive(count: int) -> None:
            if count == 1:
                self.decider.note_first_token(grant.ticket, self._loop.now)
                received_at = self._loop.now + fleet.deployment.client_s
                fleet.first_tokens.append(received_at - sent_at)
            elif count % 16 == 0:
                self.decider.note_tokens(grant.ticket, 16, self._loop.now)

        def finish() -> None:
            engine.slot_seconds += self._loop.now - admitted_at
            self.decider.finish(grant.ticket, CallResult.SUCCESS, self._loop.now, self._loop.now)
            self.wake()

        admitted_at = self._loop.now
        generation = Generation(
            ONLINE_PROMPT_TOKENS,
            tokens,
            lambda count: self._loop.after(delay_s, lambda: receive(count)),
            lambda: self._loop.after(delay_s, finish),
            online=True,
        )
        self._loop.after(delay_s, lambda: engine.admit(generation))

    def _refill_batch(self) -> None:
        while len(self.decider.tables.batch) < BATCH_WAITING:
            self._submit_batch(BatchItem(self._name_item()))

    def _submit_batch(self, item: BatchItem) -> None:
        name = f"{item.name}.{item.done}"
        call = CallInfo(
            name, "a", "lm", "app", "batch", self._loop.now + 1e6, name, "", BATCH_TOKENS
        )
        self._submit(call, lambda grant: self._run_batch(grant, item))

    def _run_batch(self, grant: Grant, item: BatchItem) -> None:
        fleet, engine = self._fleet, self._fleet.engines[grant.target]
        delay_s = fleet.measure_delay(self.place.data_centre, fleet.workers[grant.target])

        def note(count: int) -> None:
            if grant.ticket not in self._preempts:
                return
            item.done += 1
            fleet.batch_tokens += 1
            if count % 16 == 0:
                self.decider.note_tokens(grant.ticket, 16, self._loop.now)

        def end(result: CallResult) -> None:
            if self._preempts.pop(grant.ticket, None) is None:
                return
            now = self._loop.now
            self.decider.finish(grant.ticket, result, now, now)
            if result is CallResult.PREEMPTED:
                self._submit_batch(item)
            self._refill_batch()

        def preempt() -> None:
            fleet.preemptions += 1
            self._loop.after(delay_s, lambda: engine.cancel(generation))
            self._loop.after(0.0, lambda: end(CallResult.PREEMPTED))

        generation = Generation(
            BATCH_PROMPT_TOKENS + item.done,
            BATCH_TOKENS - item.done,
            lambda count: self._loop.after(delay_s, lambda: note(count)),
            lambda: self._loop.after(delay_s, lambda: end(CallResult.SUCCESS)),
            online=False,
        )
        self._preempts[grant.ticket] = preempt
        self._loop.after(delay_s, lambda: engine.admit(generation))

    def _signal(self, signal: Signal) -> None:
        self._pending.setdefault(signal.owner, {})[signal.target] = signal
        if signal.owner not in self._sending:
            self._send(signal.owner)

    def _send(self, owner: str) -> None:
        signals = self._pending.pop(owner, {})
        if not signals:
            self._sending.discard(owner)
            return
        self._sending.add(owner)
        peer = self._fleet.by_name[owner]
        delay_s = self._fleet.measure_delay(self.place.data_centre, peer.place.data_centre)
        delay_s += LOCAL_S
        self._loop.after(delay_s, lambda: peer.receive(self, signals, delay_s))

    def receive(self, sender: Entry, signals: dict[str, Signal], delay_s: float) -> None:
        """Take another entry's demand and answer."""
        now = self._loop.now
        self._fleet.messages += 1
        for target, signal in signals.items():
            measures = sender.decider.tables.measures.get(target)
            row = DemandRow(
                signal.online,
                signal.waiting,
                measures.first_token_s,
                measures.between_tokens_s,
                now + DEMAND_TTL_S,
            )
            self.decider.receive_demand(sender.place.name, target, row)
        self.wake()
        others = self.decider.count_others(sender.place.name, now)
        self._loop.after(delay_s, lambda: sender.take_reply(self.place.name, signals, others))

    def take_reply(self, owner: str, signals: dict[str, Signal], others: dict[str, int]) -> None:
        """Take an owner's answer and send what came up meanwhile."""
        for target, count in others.items():
            told = signals[target].online if target in signals else None
            self.decider.note_others(target, told, count, self._loop.now)
        self.wake()
        self._send(owner)

    def _tick(self) -> None:
        self.wake()
        self._loop.after(TICK_S, self._tick)

    def _poll(self) -> None:
        now = self._loop.now
        for name, engine in self._fleet.engines.items():
            report = LoadReport(
                len(engine.running), len(engine.waiting), 0.0, ("m",), (), "serve", 0, now
            )
            self._loop.after(
                REPORT_LAG_S,
                lambda n=name, r=report: self.decider.tables.targets.update(n, report=r),
            )
        if now == 1_000.0:
            for name in self._fleet.engines:
                empty = LoadReport(0, 0, 0.0, ("m",), (), "serve", 0, now)
                self.decider.tables.targets.update(name, report=empty)
        period_s = len(self._fleet.engines) / POLLS_PER_S
        self._loop.after(period_s, self._poll)
