"""Policies that place the requests of a simulation: the dispatcher's decisions and baselines."""

from __future__ import annotations

from typing import Final

from bench.load_model import Deployment, Run, Simulation, Work
from clementinepin.systems import dispatching, estimates
from clementinepin.systems.dispatch_actions import Action, Granted, Rejected, RunOutcome
from clementinepin.tables.dispatch import DispatchTable, PendingRequest, QueueOrder, TargetLoad
from clementinepin.tables.mechanisms import Mechanism

LINK_S: Final = 0.002
TICK_S: Final = 0.02


class BlindPolicy:
    """Baseline: each entry chooses by its own counts; each engine runs a fixed number of items."""

    def __init__(self, entries: int, *, choose_random: bool = False, items: int = 2) -> None:
        self.counts = [dict[int, int]() for _ in range(entries)]
        self.choose_random = choose_random
        self.items = items
        self.waiting: list[Work] = []
        self.batch: dict[int, int] = {}
        self.lost: set[int] = set()

    def lose_engine(self, sim: Simulation, index: int) -> None:
        """Lose an engine with all its runs."""
        self.lost.add(index)
        sim.engines[index].lose_all()

    def regain_engine(self, sim: Simulation, index: int) -> None:
        """Use an engine again."""
        self.lost.discard(index)
        self.start_items(sim)

    def submit(self, sim: Simulation, work: Work) -> None:
        """Place a request by own counts; items wait for their share."""
        if work.is_batch:
            self.waiting.append(work)
            self.start_items(sim)
            return
        counts = self.counts[work.entry]
        index = min(
            [n for n in range(len(sim.engines)) if n not in self.lost] or [0],
            key=lambda n: (0 if self.choose_random else counts.get(n, 0), sim.random.random()),
        )
        counts[index] = counts.get(index, 0) + 1

        def end(_outcome: str) -> None:
            counts[index] -= 1

        sim.engines[index].add(Run(work, end))

    def start_items(self, sim: Simulation) -> None:
        """Start items up to the fixed number an engine."""
        for index, engine in enumerate(sim.engines):
            while index not in self.lost and self.waiting and self.batch.get(index, 0) < self.items:
                self.batch[index] = self.batch.get(index, 0) + 1
                work = self.waiting.pop(0)

                def end(outcome: str, index: int = index, work: Work = work) -> None:
                    self.batch[index] -= 1
                    if outcome == "broken":
                        self.waiting.append(work)
                    else:
                        sim.items_done[work.number] = sim.now
                    self.start_items(sim)

                engine.add(Run(work, end))


class DispatchPolicy:
    """The dispatcher under test; each message arrives after ``LINK_S``."""

    def __init__(
        self,
        deployment: Deployment,
        order: QueueOrder = QueueOrder.NEW_FIRST,
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self.table = DispatchTable(order, disabled)
        self.works: dict[tuple[str, int], Work] = {}
        self.runs: dict[tuple[str, int], tuple[Run, int]] = {}
        self.ticking = False
        self.deployment = deployment
        for index in range(deployment.engines):
            self.add_target(index)

    def add_target(self, index: int) -> None:
        """Add an engine to the table."""
        target = TargetLoad(str(index), "llm", "a", self.deployment.slots)
        self.table.targets[target.target_id] = target

    def lose_engine(self, sim: Simulation, index: int) -> None:
        """Lose an engine with all its runs."""
        sim.engines[index].lose_all()
        self.table.targets.pop(str(index), None)
        self.serve_queue(sim)

    def regain_engine(self, sim: Simulation, index: int) -> None:
        """Use an engine again."""
        self.add_target(index)
        self.serve_queue(sim)

    def submit(self, sim: Simulation, work: Work) -> None:
        """Pass a request to the dispatcher."""
        key = ("batch" if work.is_batch else "online", work.number)
        self.works[key] = work
        run_s = estimates.estimate_run(0, work.hint)
        now = sim.now
        objective_s = max(0.0, self.deployment.objective_s - estimates.FIRST_EVENT_S)
        patience_s = self.deployment.patience_s - estimates.FIRST_EVENT_S
        request = PendingRequest(
            key,
            "llm",
            work.is_batch,
            now,
            work.due_at - run_s if work.is_batch else now + objective_s,
            now + (60.0 if work.is_batch else patience_s),
            run_s,
            returned=work.returned,
            timeout_at=work.timeout_at,
        )
        self.carry_out(sim, dispatching.submit(self.table, request, now, sim.random))
        self.plan_tick(sim)

    def plan_tick(self, sim: Simulation) -> None:
        """Schedule the next check of the queue if requests wait."""
        if self.table.waiting and not self.ticking:
            self.ticking = True
            sim.at(sim.now + TICK_S, lambda: self.tick(sim))

    def tick(self, sim: Simulation) -> None:
        """Check the queue."""
        self.ticking = False
        self.serve_queue(sim)
        self.plan_tick(sim)

    def serve_queue(self, sim: Simulation) -> None:
        """Carry out the dispatcher's decisions on the queue."""
        self.carry_out(sim, dispatching.serve_queue(self.table, sim.now, sim.random))

    def carry_out(self, sim: Simulation, actions: list[Action]) -> None:
        """Carry out decisions; each message takes LINK_S."""
        for action in actions:
            work = self.works[action.key]
            if isinstance(action, Granted):
                index = int(action.target_id)
                run = Run(
                    work,
                    lambda outcome, key=action.key: self.end(sim, key, outcome),  # type: ignore[misc]
                )
                self.runs[action.key] = run, index
                sim.at(sim.now + LINK_S, lambda run=run, index=index: sim.engines[index].add(run))  # type: ignore[misc]
            elif isinstance(action, Rejected):
                sim.reject(self, work, action.retry_after_s)
            else:
                sim.at(sim.now + LINK_S, lambda key=action.key: self.preempt_run(sim, key))  # type: ignore[misc]

    def end(self, sim: Simulation, key: tuple[str, int], outcome: str) -> None:
        """Release the slot of a run that has ended."""
        work = self.works[key]
        if outcome == "broken":
            dispatching.finish(self.table, key, RunOutcome.BROKEN, sim.now)
            if work.is_batch:
                self.resume(sim, key)
        else:
            if work.is_batch:
                sim.items_done[work.number] = sim.now
            dispatching.finish(self.table, key, RunOutcome.SERVED, sim.now, succeeded=True)
        self.serve_queue(sim)

    def preempt_run(self, sim: Simulation, key: tuple[str, int]) -> None:
        """Stop an item and let it resume."""
        if key not in self.table.grants:
            return
        run, index = self.runs[key]
        sim.engines[index].cancel(run)
        dispatching.finish(self.table, key, RunOutcome.CANCELLED, sim.now)
        self.resume(sim, key)

    def resume(self, sim: Simulation, key: tuple[str, int]) -> None:
        """Request a slot for the tokens that an item still lacks."""
        run, _ = self.runs[key]
        reread = int(self.deployment.first_event_s / self.deployment.step_s)
        left = max(1, int(run.tokens_left) + 1) + reread
        work = self.works[key]
        hint = max(1, work.hint - work.tokens + left)
        if not self.table.uses(Mechanism.RUN_REST):
            hint = work.hint
        self.submit(sim, work._replace(tokens=left, hint=hint))
