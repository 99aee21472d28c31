"""Simulates engines and callers in virtual time, to compare placement policies under load.

bench.loads has the loads and bench.load_policies the policies.

An engine runs up to ``slots`` requests at once, in order of arrival. A step gives each of them
one token; it takes longer the more requests run. A caller is on time if its first event comes
within its objective of its first attempt. A rejected caller gets partial credit if the same holds
from its retry. Callers wait at most a third of their remaining timeout before they retry, and give
up after their patience.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

OBJECTIVE_S = 0.3
RETRY_WAIT_SHARE = 1 / 3  # of the remaining timeout


class Deployment(NamedTuple):
    """Engines and callers of one deployment. The defaults are recorded figures of one.

    ``step_s`` is the time of a step of an idle engine, ``step_slot_s`` what each running request
    adds. ``speeds`` are factors of an engine's times, repeated for further engines. ``outages``
    are (engine, start, end); a lost engine loses its runs.
    """

    engines: int = 5
    slots: int = 8
    step_s: float = 0.00355
    step_slot_s: float = 0.0000462
    first_event_s: float = 0.035
    objective_s: float = OBJECTIVE_S
    patience_s: float = 2.0
    timeout_s: float = 5.0
    due_s: float = 18.0
    speeds: tuple[float, ...] = (1.0,)
    outages: tuple[tuple[int, float, float], ...] = ()


class Work(NamedTuple):
    """A request; ``tokens`` is its real length, ``hint`` the length that the caller estimates."""

    number: int
    entry: int
    is_batch: bool
    tokens: int
    hint: int
    arrives_at: float
    returned: bool = False
    timeout_at: float = float("inf")
    due_at: float = 0.0


class Run:
    """A request at an engine, with the tokens that it still has to produce."""

    def __init__(self, work: Work, on_end: Callable[[str], None]) -> None:
        self.work = work
        self.tokens_left = float(work.tokens)
        self.on_end = on_end


class Engine:
    """One engine; requests beyond its slots wait in order of arrival."""

    def __init__(self, sim: Simulation, speed: float) -> None:
        self.sim = sim
        self.slots = sim.deployment.slots
        self.speed = speed
        self.running: list[Run] = []
        self.queue: list[Run] = []
        self.updated_at = 0.0
        self.version = 0
        self.tokens_done = 0.0

    def add(self, run: Run) -> None:
        """Start a run, or queue it if all slots are taken."""
        self.advance()
        if len(self.running) < self.slots:
            self.start(run)
        else:
            self.queue.append(run)
        self.plan()

    def start(self, run: Run) -> None:
        """Start a run in a free slot."""
        self.running.append(run)
        first_event_s = self.sim.deployment.first_event_s * self.speed
        self.sim.at(self.sim.now + first_event_s, lambda: self.record_first_event(run))

    def record_first_event(self, run: Run) -> None:
        """Record the first event unless the run has ended."""
        if run in self.running:
            self.sim.record_first_event(run)

    def lose_all(self) -> None:
        """End all runs as broken."""
        self.advance()
        runs, self.running, self.queue = [*self.running, *self.queue], [], []
        self.plan()
        for run in runs:
            run.on_end("broken")

    def get_step_s(self) -> float:
        """Return the seconds of a step at the present load."""
        deployment = self.sim.deployment
        return (deployment.step_s + deployment.step_slot_s * len(self.running)) * self.speed

    def cancel(self, run: Run) -> float:
        """Stop a run and return the tokens that it still had to produce."""
        self.advance()
        if run in self.queue:
            self.queue.remove(run)
        elif run in self.running:
            self.running.remove(run)
            self.fill()
        self.plan()
        return run.tokens_left

    def advance(self) -> None:
        """Produce the tokens of the time since the last change."""
        if self.running:
            tokens = (self.sim.now - self.updated_at) / self.get_step_s()
            for run in self.running:
                run.tokens_left -= tokens
                self.tokens_done += tokens
        self.updated_at = self.sim.now

    def fill(self) -> None:
        """Start queued runs in free slots."""
        while self.queue and len(self.running) < self.slots:
            self.start(self.queue.pop(0))

    def plan(self) -> None:
        """Schedule the end of the run that ends first."""
        self.version += 1
        version = self.version
        if self.running:
            tokens_left = max(0.0, min(run.tokens_left for run in self.running))
            ends_at = self.sim.now + tokens_left * self.get_step_s()
            self.sim.at(ends_at, lambda: self.finish(version))

    def finish(self, version: int) -> None:
        """End the runs that have produced all tokens, unless the plan has changed."""
        if version != self.version:
            return
        self.advance()
        done = [run for run in self.running if run.tokens_left <= 1e-6]
        self.running = [run for run in self.running if run.tokens_left > 1e-6]
        self.fill()
        self.plan()
        for run in done:
            run.on_end("served")


class Policy(Protocol):
    """Decides how requests reach engines."""

    def submit(self, sim: Simulation, work: Work) -> None:
        """Place, queue or reject a request."""

    def lose_engine(self, sim: Simulation, index: int) -> None:
        """Lose an engine with all its runs."""

    def regain_engine(self, sim: Simulation, index: int) -> None:
        """Use an engine again."""


class Simulation:
    """Virtual time, engines and the results of all callers.

    ``worth`` is the credit for each caller, 1.0 if it is on time at its first attempt.
    ``unserved_waits_s`` has the waits of returning callers that were rejected again.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.deployment = deployment
        speeds = itertools.cycle(deployment.speeds)
        self.engines = [Engine(self, next(speeds)) for _ in range(deployment.engines)]
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.first_at: dict[int, float] = {}
        self.ends: dict[int, str] = {}
        self.worth: dict[int, float] = {}
        self.unserved_waits_s: list[float] = []
        self.items_done: dict[int, float] = {}

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._heap, (when, next(self._order), action))

    def run(self, policy: Policy, works: list[Work], until: float) -> None:
        """Play all requests until a time in seconds."""
        for index, start, end in self.deployment.outages:
            self.at(start, lambda index=index: policy.lose_engine(self, index))  # type: ignore[misc]
            self.at(end, lambda index=index: policy.regain_engine(self, index))  # type: ignore[misc]
        for work in works:
            work = work._replace(
                timeout_at=work.arrives_at + self.deployment.timeout_s,
                due_at=work.arrives_at + self.deployment.due_s,
            )
            self.at(work.arrives_at, lambda work=work: policy.submit(self, work))  # type: ignore[misc]
            if not work.is_batch:
                self.worth[work.number] = 0.0
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()

    def record_first_event(self, run: Run) -> None:
        """Credit a caller for its first event."""
        work = run.work
        if work.is_batch or work.number in self.first_at:
            return
        self.first_at[work.number] = self.now
        wait_s = self.now - work.arrives_at
        if wait_s > self.deployment.patience_s:
            return
        on_time = wait_s <= self.deployment.objective_s
        if work.returned:
            self.worth[work.number] = 0.57 if on_time else 0.15
        else:
            self.worth[work.number] = 1.0 if on_time else 0.15

    def reject(self, policy: Policy, work: Work, retry_after_s: float) -> None:
        """Reject a request; a new caller retries after the given time."""
        if work.returned:
            self.unserved_waits_s.append(self.now - work.arrives_at)
            return
        longest_s = (work.timeout_at - self.now) * RETRY_WAIT_SHARE
        back = work._replace(arrives_at=self.now + min(retry_after_s, longest_s), returned=True)
        self.at(back.arrives_at, lambda: policy.submit(self, back))

    def get_online_worth(self) -> float:
        """Return the mean credit of a caller."""
        return sum(self.worth.values()) / max(1, len(self.worth))

    def count_items_by(self, due: float) -> int:
        """Return how many items were done by a time."""
        return sum(1 for ended in self.items_done.values() if ended <= due)
