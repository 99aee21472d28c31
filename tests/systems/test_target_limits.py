"""Replays targets that name how many requests a second they take from all instances."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict

import pytest

from clementinepin.systems import dispatching, target_limits
from clementinepin.systems.dispatch_actions import Action, Granted, RunOutcome
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
