"""A load with requests that crash targets by a part of their prompts, over a dispatcher's table."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Final, NamedTuple

from clementinepin.systems import crash_causes, dispatching
from clementinepin.systems.dispatch_actions import Granted, Rejected, RunOutcome
from clementinepin.tables.crashes import BrokenRun
from clementinepin.tables.dispatch import DispatchTable, GrantKey, PendingRequest, TargetLoad

CONTACT_S: Final = 3.0  # within which the users expect that a crash is known everywhere
CRASHES_TO_KNOW: Final = 5
SENT_LATER_MAX: Final = 3
RUN_S: Final = 0.75
START_IN_TIME_S: Final = 0.24
PATIENCE_S: Final = 1.9
CRASH_AFTER_S: Final = 0.1  # from the grant
EVENT_GAP_S: Final = 0.03
FIRST_EVENT_AFTER_S: Final = 0.06
RESTART_S: Final = 3.0


class Load(NamedTuple):
    """Requests a second, and how many parts their prompts begin and go on with.

    Those with a crashing part are sound before ``crashing_since`` (seconds).
    """

    sound_per_s: float = 20.0
    crashing_per_s: float = 2.0
    first_parts: int = 40
    second_parts: int = 400
    crashing_parts: tuple[str, ...] = ("bad",)
    crashing_first_parts: int = 40
    crashing_since: float = 0.0


class Tally(NamedTuple):
    """What a load led to: when targets crashed, and the grants and rejections by kind."""

    crashes: list[float]
    crashing_grants: list[float]
    sound_grants: list[tuple[float, str]]
    sound_rejections: list[tuple[float, str]]


class CrashLoad:
    """Plays a load in virtual time.

    With ``crashing_trait`` all requests that have it crash their targets. Another dispatcher takes
    over each ``dispatcher_change_s`` seconds, and hears of slots in use and of broken runs.
    """

    def __init__(self, load: Load, seed: int, targets: int = 9) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._events: list[tuple[float, int, str, GrantKey]] = []
        self._requests: dict[GrantKey, PendingRequest] = {}
        self.table = DispatchTable()
        for number in range(targets):
            self._start_target(f"t{number}")
        self.tally = Tally([], [], [], [])
        self.crashing_trait = ""
        self.dispatcher_change_s = 0.0
        self._broken: list[tuple[BrokenRun, float]] = []

    def play(self, start: float, end: float) -> Tally:
        """Play the seconds from ``start`` to ``end``."""
        load = self._load
        for kind, rate in (("sound", load.sound_per_s), ("crashing", load.crashing_per_s)):
            now = start
            while rate and (now := now + self._random.expovariate(rate)) < end:
                self._push(now, kind, ("", 0))
        change_at = start
        while (
            self.dispatcher_change_s and (change_at := change_at + self.dispatcher_change_s) < end
        ):
            self._push(change_at, "change", ("", 0))
        while self._events and self._events[0][0] < end:
            now, _, kind, key = heapq.heappop(self._events)
            if kind in ("sound", "crashing"):
                self._submit(kind, now)
            elif kind == "end":
                self._end(key, now)
            elif kind == "crash":
                self._crash(key, now)
            elif kind == "change":
                self._change_dispatcher(now)
            else:
                self._start_target(key[0])
        return self.tally

    def _push(self, at: float, kind: str, key: GrantKey) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), kind, key))

    def _start_target(self, target_id: str) -> None:
        self.table.targets[target_id] = TargetLoad(target_id, "llm", "a", 8)

    def _change_dispatcher(self, now: float) -> None:
        former, self.table = self.table, DispatchTable()
        for target_id in former.targets:
            self._start_target(target_id)
        for run, at in self._broken:
            crash_causes.record_crash(self.table.crashes, run, at, is_foreign=True)
        for grant in former.grants.values():
            request = self._requests[grant.key]
            dispatching.adopt_grant(self.table, request, grant.target_id, now)

    def _submit(self, kind: str, now: float) -> None:
        load, number = self._load, next(self._numbers)
        first = f"a{self._random.randrange(load.first_parts)}"
        second = f"b{self._random.randrange(load.second_parts)}"
        if kind == "crashing":
            first = f"a{self._random.randrange(load.crashing_first_parts)}"
            second = self._random.choice(load.crashing_parts)
        request = PendingRequest(
            key=("f", number),
            service="llm",
            is_batch=False,
            requested_at=now,
            on_time_by=now + START_IN_TIME_S,
            deadline=now + PATIENCE_S,
            run_s=RUN_S,
            prefix_ids=(first, second, f"own{number}"),
            fingerprint=f"fingerprint{number}",
        )
        action = next(iter(dispatching.submit(self.table, request, now, self._random)), None)
        if now < load.crashing_since:
            kind = "sound"
        elif self.crashing_trait:
            kind = "crashing" if self.crashing_trait in request.traits else "sound"
        if isinstance(action, Rejected) and kind == "sound":
            self.tally.sound_rejections.append((now, first))
        if not isinstance(action, Granted):
            dispatching.finish(self.table, request.key, RunOutcome.CANCELLED, now)
            return
        self._requests[request.key] = request
        if kind == "crashing":
            self.tally.crashing_grants.append(now)
            self._push(now + CRASH_AFTER_S, "crash", request.key)
        else:
            self.tally.sound_grants.append((now, first))
            self._push(now + self._random.uniform(0.3, 1.0), "end", request.key)

    def _end(self, key: GrantKey, now: float) -> None:
        if self._requests.pop(key, None) is not None:
            dispatching.finish(self.table, key, RunOutcome.SERVED, now, succeeded=True)

    def _crash(self, key: GrantKey, now: float) -> None:
        """Break all runs of the target off, in the order in which instances may report them."""
        grant = self.table.grants.get(key)
        if grant is None or self._requests.pop(key, None) is None:
            return
        self.tally.crashes.append(now)
        broken = list(self.table.targets[grant.target_id].grants.values())
        self._random.shuffle(broken)
        for number, other in enumerate(broken):
            self._requests.pop(other.key, None)
            ran_s = now - other.started_at
            events = max(0, int((ran_s - FIRST_EVENT_AFTER_S) / EVENT_GAP_S))
            events = 0 if other.key == key else events
            run = BrokenRun(other.key, grant.target_id, other.service, other.traits, events)
            self._broken.append((run, now + 0.0005 * number))
            break_run(self.table, other.key, now + 0.0005 * number, events)
        self.table.targets.pop(grant.target_id, None)
        self._push(now + RESTART_S, "start", (grant.target_id, 0))


def break_run(table: DispatchTable, key: GrantKey, now: float, events: int) -> None:
    """Report that the target of a run broke it off after this many events."""
    dispatching.finish(table, key, RunOutcome.BROKEN, now, events=events)


def count_sent_later(tally: Tally) -> int:
    """Return how many crashing requests were sent although five targets had crashed under them."""
    if len(tally.crashes) < CRASHES_TO_KNOW:
        return 0
    known_at = tally.crashes[CRASHES_TO_KNOW - 1] + CONTACT_S
    return sum(at > known_at for at in tally.crashing_grants)


def measure_served_share(tally: Tally, since: float, first_part: str = "") -> float:
    """Return the share of sound requests that began at the first attempt, by their first part."""

    def count(rows: list[tuple[float, str]]) -> int:
        return sum(at > since and part.startswith(first_part) for at, part in rows)

    begun, rejected = count(tally.sound_grants), count(tally.sound_rejections)
    return begun / max(1, begun + rejected)
