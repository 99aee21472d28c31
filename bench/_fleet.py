"""Model of a deployment in virtual time.

Six real deciders exchange modelled messages and serve online clients and batch runners over model
engines.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from bench._model import EventLoop, Generation, Location, ModelEngine
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
from clementinepin.systems.actions import Grant, Preempt, Refuse, ReportDemand
from clementinepin.systems.allowance import create_policy
from clementinepin.systems.demand import DEMAND_TTL_S
from clementinepin.tables import DemandRow, View
from clementinepin.targets import LoadReport

TICK_S = 0.05
REPORT_LAG_S = 0.5
LOCAL_DELAY_S = 0.0001
BATCH_WAITING_COUNT = 16
BATCH_PROMPT_TOKENS = 100
BATCH_TOKENS = 96
ONLINE_PROMPT_TOKENS = 60
DATA_CENTRES = ("dc1", "dc2", "dc3", "dc4")


class Deployment(NamedTuple):
    """Sizes of one deployment; delays are one way, in seconds."""

    name: str
    workers: int
    slots: int
    between_data_centres_s: float
    client_delay_s: float
    preference: float
    first_token_target_s: float


LAKAZ = Deployment("lakaz", 9, 8, 0.0015, 0.003, 0.3, 1.8)
KIRKVOICE = Deployment("kirkvoice", 5, 8, 0.001, 0.001, 0.8, 1.2)


class Arrival(NamedTuple):
    """An online call of a trace; ``at`` is in seconds from the start of the trace."""

    name: str
    at: float
    entry: int
    tokens: int


class BatchItem:
    """A batch item; ``tokens_done`` counts the tokens that are kept across preemptions."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.tokens_done = 0


def build_configuration(deployment: Deployment) -> Configuration:
    """Return a configuration with one service, one model and one application."""
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


class ModelFleet:
    """All entries and engines of a deployment, and the counters of a run."""

    def __init__(self, deployment: Deployment, policy: str, seed: int, *, batch: bool) -> None:
        self.loop = EventLoop()
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
        self.entries_by_name = {entry.location.name: entry for entry in self.entries}
        for entry in self.entries:
            entry.start(batch=batch)

    def get_delay(self, data_centre: str, other: str) -> float:
        """Return the one-way delay between two data centres in seconds."""
        return LOCAL_DELAY_S if data_centre == other else self.deployment.between_data_centres_s

    def run_trace(self, trace: list[Arrival], duration_s: float) -> None:
        """Send a trace of online calls and run the model for a duration."""
        start = self.loop.now
        for arrival in trace:
            delay_s = arrival.at + self.deployment.client_delay_s
            self.loop.after(delay_s, lambda a=arrival, t=start + arrival.at: self._send(a, t))
        self.loop.run(start + duration_s)

    def _send(self, arrival: Arrival, sent_at: float) -> None:
        self.entries[arrival.entry].serve_online(arrival.name, arrival.tokens, sent_at)


class Entry:
    """One instance: a decider, its waiting requests and its batch runner."""

    def __init__(
        self,
        fleet: ModelFleet,
        name: str,
        data_centre: str,
        live: tuple[str, ...],
        configuration: Configuration,
        policy: str,
        seed: int,
    ) -> None:
        view = View(name, data_centre, "r", live, configuration)
        self.location = Location(name, data_centre)
        self._requests = itertools.count()
        self.decider = Decider(view, create_policy(policy), 10_000, random.Random(seed))
        self._fleet = fleet
        self._loop = fleet.loop
        self._grant_callbacks: dict[int, Callable[[Grant], None]] = {}
        self._preempt_callbacks: dict[int, Callable[[], None]] = {}
        self._pending_reports: dict[str, dict[str, ReportDemand]] = {}
        self._peers_awaiting_reply: set[str] = set()
        rows = [
            ListedInstance(n, "lm", "127.0.0.1", 1, 0, dc, "r", "live")
            for n, dc in fleet.workers.items()
        ]
        self.decider.set_targets(rows)
        self.decider.set_view(view)

    def start(self, *, batch: bool) -> None:
        """Start the ticks, the polls of load reports and, with ``batch``, an endless batch job."""
        self._poll()
        self._tick()
        if batch:
            self._refill_batch()

    def serve_online(self, name: str, tokens: int, sent_at: float) -> None:
        """Submit an online call that a client sent at ``sent_at``."""
        call = CallInfo(name, "a", "lm", "app", "online", self._loop.now + 60.0, name, "", tokens)
        self._submit(call, lambda grant: self._run_online(grant, tokens, sent_at))

    def run_decider(self) -> None:
        """Run one tick of the decider and carry out its actions."""
        for action in self.decider.tick(self._loop.now, self._loop.now):
            match action:
                case Grant():
                    self._grant_callbacks.pop(action.waiting_id)(action)
                case Refuse():
                    self._grant_callbacks.pop(action.waiting_id)
                    self._fleet.refused += 1
                case Preempt():
                    self._preempt_callbacks[action.ticket]()
                case ReportDemand():
                    self._queue_demand_report(action)

    def _make_item_name(self) -> str:
        return f"{self.location.name}.b{next(self._requests)}"

    def _submit(self, call: CallInfo, on_grant: Callable[[Grant], None]) -> None:
        try:
            row = self.decider.submit(call, self._loop.now, self._loop.now)
        except NotRunError:
            self._fleet.refused += 1
            return
        self._grant_callbacks[row.waiting_id] = on_grant
        self.run_decider()

    def _run_online(self, grant: Grant, tokens: int, sent_at: float) -> None:
        fleet, engine = self._fleet, self._fleet.engines[grant.target]
        delay_s = fleet.get_delay(self.location.data_centre, fleet.workers[grant.target])

        def receive(count: int) -> None:
            if count == 1:
                self.decider.record_first_token(grant.ticket, self._loop.now)
                received_at = self._loop.now + fleet.deployment.client_delay_s
                fleet.first_tokens.append(received_at - sent_at)
            elif count % 16 == 0:
                self.decider.record_tokens(grant.ticket, 16, self._loop.now)

        def finish() -> None:
            engine.slot_seconds += self._loop.now - admitted_at
            self.decider.finish(grant.ticket, CallResult.SUCCESS, self._loop.now, self._loop.now)
            self.run_decider()

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
        while len(self.decider.tables.batch) < BATCH_WAITING_COUNT:
            self._submit_batch(BatchItem(self._make_item_name()))

    def _submit_batch(self, item: BatchItem) -> None:
        name = f"{item.name}.{item.tokens_done}"
        call = CallInfo(
            name, "a", "lm", "app", "batch", self._loop.now + 1e6, name, "", BATCH_TOKENS
        )
        self._submit(call, lambda grant: self._run_batch(grant, item))

    def _run_batch(self, grant: Grant, item: BatchItem) -> None:
        fleet, engine = self._fleet, self._fleet.engines[grant.target]
        delay_s = fleet.get_delay(self.location.data_centre, fleet.workers[grant.target])

        def record_token(count: int) -> None:
            if grant.ticket not in self._preempt_callbacks:
                return
            item.tokens_done += 1
            fleet.batch_tokens += 1
            if count % 16 == 0:
                self.decider.record_tokens(grant.ticket, 16, self._loop.now)

        def end(result: CallResult) -> None:
            if self._preempt_callbacks.pop(grant.ticket, None) is None:
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
            BATCH_PROMPT_TOKENS + item.tokens_done,
            BATCH_TOKENS - item.tokens_done,
            lambda count: self._loop.after(delay_s, lambda: record_token(count)),
            lambda: self._loop.after(delay_s, lambda: end(CallResult.SUCCESS)),
            online=False,
        )
        self._preempt_callbacks[grant.ticket] = preempt
        self._loop.after(delay_s, lambda: engine.admit(generation))

    def _queue_demand_report(self, report: ReportDemand) -> None:
        self._pending_reports.setdefault(report.owner, {})[report.target] = report
        if report.owner not in self._peers_awaiting_reply:
            self._send(report.owner)

    def _send(self, owner: str) -> None:
        """Send the queued demand to its owner; one message to a peer is under way at a time."""
        demand_reports = self._pending_reports.pop(owner, {})
        if not demand_reports:
            self._peers_awaiting_reply.discard(owner)
            return
        self._peers_awaiting_reply.add(owner)
        peer = self._fleet.entries_by_name[owner]
        delay_s = self._fleet.get_delay(self.location.data_centre, peer.location.data_centre)
        delay_s += LOCAL_DELAY_S
        self._loop.after(delay_s, lambda: peer.receive(self, demand_reports, delay_s))

    def receive(
        self, sender: Entry, demand_reports: dict[str, ReportDemand], delay_s: float
    ) -> None:
        """Record the demand of another entry and reply with the demand of all others."""
        now = self._loop.now
        self._fleet.messages += 1
        for target, report in demand_reports.items():
            measures = sender.decider.tables.measures.get(target)
            row = DemandRow(
                report.online,
                report.waiting,
                measures.first_token_s,
                measures.between_tokens_s,
                now + DEMAND_TTL_S,
            )
            self.decider.receive_demand(sender.location.name, target, row)
        self.run_decider()
        others = self.decider.count_others(sender.location.name, now)
        self._loop.after(
            delay_s, lambda: sender.receive_reply(self.location.name, demand_reports, others)
        )

    def receive_reply(
        self, owner: str, demand_reports: dict[str, ReportDemand], others: dict[str, int]
    ) -> None:
        """Record an owner's reply and send the demand that was queued meanwhile."""
        for target, count in others.items():
            reported = demand_reports[target].online if target in demand_reports else None
            self.decider.record_others(target, reported, count, self._loop.now)
        self.run_decider()
        self._send(owner)

    def _tick(self) -> None:
        self.run_decider()
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
        # Reports arrive only after REPORT_LAG_S, so the deciders start with empty ones.
        if now == 1_000.0:
            for name in self._fleet.engines:
                empty = LoadReport(0, 0, 0.0, ("m",), (), "serve", 0, now)
                self.decider.tables.targets.update(name, report=empty)
        period_s = len(self._fleet.engines) / POLLS_PER_S
        self._loop.after(period_s, self._poll)
