"""Replays targets that name how many requests a second they take from all instances."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict

import pytest

from clementinepin.systems import dispatching, target_limits
from clementinepin.systems.dispatch_actions import Action, Granted, Rejected, RunOutcome
from clementinepin.tables.dispatch import DispatchTable, GrantKey
from tests.systems.dispatch_parts import make_item, make_request, make_table

CONTACT_S = 3.0
WINDOW_S = 4.0
LIMIT_SHARE = 1.5  # of the limit, and ALLOWANCE beyond, are still allowed in a window
ALLOWANCE = 5


class LimitLoad:
    """Callers and items on targets that name a limit from ``limited_at`` on."""

    def __init__(self, seed: int, limits: dict[str, float], limited_at: float = 2.0) -> None:
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._events: list[tuple[float, int, str, GrantKey]] = []
        self._limits = limits
        self._limited_at = limited_at
        self.table: DispatchTable = make_table(targets=5, slots=8)
        self.grants: defaultdict[str, list[float]] = defaultdict(list)
        self.rejected = 0
        self.waits: list[float] = []

    def play(self, end: float, callers_per_s: float, items: int = 40) -> None:
        now = 0.0
        while (now := now + self._random.expovariate(callers_per_s)) < end:
            self._push(now, "caller", ("f", next(self._numbers)))
        for _ in range(items):
            self._push(0.0, "item", ("s", next(self._numbers)))
        for tick in range(int(end / 0.02)):
            self._push(tick * 0.02, "tick", ("", 0))
        while self._events and self._events[0][0] < end:
            now, _, kind, key = heapq.heappop(self._events)
            self._handle(kind, key, now)

    def count_most(self, target_id: str) -> int:
        """Return the most grants in a window, from ``CONTACT_S`` after the limit was named."""
        since = self._limited_at + CONTACT_S
        times = [at for at in self.grants[target_id] if at > since]
        return max((sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0)

    def _push(self, at: float, kind: str, key: GrantKey) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), kind, key))

    def _handle(self, kind: str, key: GrantKey, now: float) -> None:
        if kind in ("caller", "item"):
            make = make_request if kind == "caller" else make_item
            request = make(key[1], now)
            self._carry_out(dispatching.submit(self.table, request, now, self._random), now)
        elif kind == "respond" and key in self.table.grants:
            target_id = self.table.grants[key].target_id
            limit = self._limits.get(target_id) if now >= self._limited_at else None
            target_limits.record_limit(self.table, key, limit, now)
        elif kind == "end":
            dispatching.finish(self.table, key, RunOutcome.SERVED, now, succeeded=True)
        else:
            self._carry_out(dispatching.serve_queue(self.table, now, self._random), now)

    def _carry_out(self, actions: list[Action], now: float) -> None:
        for action in actions:
            if isinstance(action, Granted):
                self.grants[action.target_id].append(now)
                run_s = 0.7 if action.key[0] == "f" else 3.0
                self._push(now + 0.04, "respond", action.key)
                self._push(now + run_s, "end", action.key)


@pytest.mark.parametrize("limit_per_s", [0.0, 0.3, 2.1, 10.0])
def test_targets_get_no_more_requests_than_the_limit_that_they_name(limit_per_s: float) -> None:
    """Targets that had named 2.1 requests a second got 23 in 4 s. Day capped of kirkvoice-serve."""
    for seed in range(3):
        limits = {f"t{n}": limit_per_s for n in range(4)}
        load = LimitLoad(seed, limits)
        load.play(20.0, callers_per_s=30.0)
        for target_id in limits:
            allowed = LIMIT_SHARE * limit_per_s * WINDOW_S + ALLOWANCE
            assert load.count_most(target_id) <= allowed, (seed, target_id)


def name_limit(table: DispatchTable, per_s: float, now: float) -> None:
    for target in table.targets.values():
        target_limits.name_limit(target, per_s, now)


def test_a_limit_ends_with_the_first_later_response_without_one() -> None:
    """Mutation: end it with any such response: one that was on its way ends a limit at once."""
    table, rng = make_table(targets=1, slots=8), random.Random(1)
    early, later = make_request(1, 0.0), make_request(2, 1.0)
    dispatching.submit(table, early, 0.0, rng)
    assert target_limits.record_limit(table, early.key, 2.0, 0.5)
    dispatching.submit(table, later, 1.0, rng)
    assert not target_limits.record_limit(table, early.key, None, 1.1)
    assert table.targets["t0"].limit is not None
    assert target_limits.record_limit(table, later.key, None, 1.2)
    assert table.targets["t0"].limit is None


def test_a_caller_beyond_the_limits_is_rejected_at_once_with_a_time_to_return() -> None:
    """Mutation: count the slots of limited targets as free: callers wait in vain."""
    table, rng = make_table(targets=2, slots=8), random.Random(1)
    name_limit(table, 1.0, 0.0)
    actions = [
        dispatching.submit(table, make_request(number, 3.0), 3.0, rng) for number in range(10)
    ]
    assert sum(isinstance(row[0], Granted) for row in actions) == 4
    rejected = [row[0] for row in actions[4:]]
    assert all(isinstance(action, Rejected) and action.retry_after_s > 0.1 for action in rejected)


def test_an_item_leaves_a_start_of_a_limited_target_to_callers() -> None:
    table, rng = make_table(targets=1, slots=8), random.Random(1)
    name_limit(table, 1.0, 0.0)
    assert dispatching.submit(table, make_item(1, 1.5), 1.5, rng) == []
    caller = make_request(2, 1.5)
    assert dispatching.submit(table, caller, 1.5, rng) == [Granted(caller.key, "t0")]


def test_a_target_without_a_limit_takes_what_the_others_may_not() -> None:
    table, rng = make_table(targets=2, slots=8), random.Random(1)
    target_limits.name_limit(table.targets["t0"], 0.5, 0.0)
    for number in range(8):
        (action,) = dispatching.submit(table, make_request(number, 0.1), 0.1, rng)
        assert isinstance(action, Granted)
        assert action.target_id == "t1"


def test_instances_that_decide_alone_keep_a_limit_together() -> None:
    """Each of them counted for itself, so that the target got the limit from every one."""
    names = [f"f{n}" for n in range(60)]
    tables = {name: make_table(targets=1, slots=8) for name in names}
    starts: list[float] = []
    for table in tables.values():
        name_limit(table, 2.0, 0.0)
    for tick in range(400):
        now = 10.0 + tick * 0.02
        for name, table in tables.items():
            target_limits.share_limits(table, name, names, now, begins=tick == 0)
            target = table.targets["t0"]
            if target_limits.may_start(target, now):
                target_limits.record_start(target, now)
                starts.append(now)
    most = max(sum(at <= other < at + WINDOW_S for other in starts) for at in starts)
    assert 0 < most <= LIMIT_SHARE * 2.0 * WINDOW_S + ALLOWANCE
