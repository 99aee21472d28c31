"""Placement of waiting calls: which call starts next, at which target, and which is refused."""

from __future__ import annotations

from collections.abc import Iterator

from clementinepin.exceptions import NotRunError
from clementinepin.systems import crash_causes, quarantine
from clementinepin.systems.actions import Action, Grant, Isolate, Refuse
from clementinepin.systems.allowance import AllowancePolicy
from clementinepin.systems.exceptions import (
    DeadlineUnreachableError,
    NoTargetError,
    RequestCondemnedError,
    ServiceUnknownError,
)
from clementinepin.systems.fairness import order_waiting, record_start
from clementinepin.systems.limits import has_concurrency
from clementinepin.systems.routing import (
    allows_place,
    choose_target,
    find_application,
    is_online,
    list_candidates,
)
from clementinepin.tables import CallInfo, CallRow, Tables, TargetRow, View, WaitingRow

NO_TARGET_RETRY_S = 1.0
CLOSED_SHARE_MAX = 0.25  # of a service's targets closed at once; one is always allowed


class Placer:
    """Places waiting calls; ``tickets`` yields unused ticket numbers."""

    def __init__(
        self, tables: Tables, view: View, policy: AllowancePolicy, tickets: Iterator[int]
    ) -> None:
        self._tables = tables
        self._view = view
        self._policy = policy
        self._tickets = tickets
        # Results for the current pass: whether a service and application have a possible target,
        # and the applications and accounts for which no further call can start.
        self._possible: dict[tuple[str, str], bool] = {}
        self._blocked: set[tuple[str, str, str]] = set()

    def place_online(self, now: float, wall: float) -> list[Action]:
        """Return grants, refusals and isolations of waiting online calls, in fair-share order.

        Granted and refused calls leave the queue.
        """
        self._begin_pass()
        actions: list[Action] = []
        for row in order_waiting(list(self._tables.online)):
            action = self._check_call(row, now, wall)
            if action is None and not self._must_isolate(row, wall):
                action = self._place_online_call(row, now)
            if action is not None:
                actions.append(action)
        return actions

    def place_batch(self, now: float, wall: float) -> list[Action]:
        """Return grants, refusals and isolations of waiting batch calls, in fair-share order.

        Calls are granted within the allowance of owned targets. Granted and refused calls leave
        the queue.
        """
        if not len(self._tables.batch):
            return []
        self._begin_pass()
        free = self.count_free(now)
        rows = list(self._tables.batch)
        if not len(self._tables.suspects) and not any(slots > 0 for slots in free.values()):
            rows = [row for row in rows if row.call.deadline <= now]
        actions: list[Action] = []
        for row in order_waiting(rows):
            action = self._check_call(row, now, wall)
            if action is None and not self._must_isolate(row, wall):
                action = self._place_batch_call(row, free, now)
            if action is not None:
                actions.append(action)
        return actions

    def count_free(self, now: float) -> dict[str, int]:
        """Return the free batch slots of owned targets by name; negative above the allowance."""
        free = {}
        for name in sorted(self._tables.owned):
            target = self._tables.targets.get(name)
            allowance = self._tables.allowances.get(name)
            if target is not None and allowance is not None:
                free[name] = allowance.allowance - target.batch
        return free

    def grant(self, row: WaitingRow, target: str, now: float, *, alone: bool = False) -> Grant:
        """Remove a call from its queue and count it as in flight at a target."""
        queue = self._tables.online if is_online(row.call) else self._tables.batch
        queue.pop(row.waiting_id)
        record_start(self._tables, row)
        ticket = next(self._tickets)
        self._tables.calls.put(CallRow(ticket, row.call, target, now, alone=alone))
        if is_online(row.call):
            traits, key = frozenset(row.call.parts), (self._view.instance, ticket)
            crash_causes.record_start(self._tables.crashes, row.call.service, traits, key, now)
            account = self._tables.accounts.get(row.call.account)
            self._tables.accounts.update(account.name, running=account.running + 1)
            self._tables.targets.add_running(target, online=1)
        else:
            self._tables.targets.add_running(target, batch=1)
        return Grant(row.waiting_id, ticket, target)

    def _begin_pass(self) -> None:
        self._blocked.clear()
        self._possible.clear()

    def _check_call(self, row: WaitingRow, now: float, wall: float) -> Action | None:
        """Return a refusal or an isolation of a call, or None if neither is due."""
        suspects = self._tables.suspects
        call = row.call
        if quarantine.is_condemned(suspects, call.fingerprint, wall):
            return self._refuse(row, RequestCondemnedError(call.request_id))
        if is_online(call) and quarantine.is_held_back(self._tables, self._view, call, now):
            return self._refuse(row, RequestCondemnedError(call.request_id))
        if call.deadline <= now:
            return self._refuse(row, DeadlineUnreachableError(retry_at=now + NO_TARGET_RETRY_S))
        try:
            possible = self._has_possible_target(call, now)
        except ServiceUnknownError as err:
            return self._refuse(row, err)
        if not possible:
            return self._refuse(row, NoTargetError(retry_at=now + NO_TARGET_RETRY_S))
        return self._isolate(row, now) if self._must_isolate(row, wall) else None

    def _must_isolate(self, row: WaitingRow, wall: float) -> bool:
        suspects = self._tables.suspects
        if not len(suspects):
            return False
        return row.isolation_requested or quarantine.is_suspect(
            suspects, row.call.fingerprint, wall
        )

    def _refuse(self, row: WaitingRow, error: NotRunError) -> Refuse:
        queue = self._tables.online if is_online(row.call) else self._tables.batch
        queue.pop(row.waiting_id)
        return Refuse(row.waiting_id, error)

    def _has_possible_target(self, call: CallInfo, now: float) -> bool:
        """Return whether some target may serve the call, now or later.

        The result is cached for the pass by service and application, except for retries.
        """
        key = (call.service, call.application)
        if not call.tried and key in self._possible:
            return self._possible[key]
        application = find_application(call, self._view.configuration)
        targets = self._tables.targets
        possible = any(
            row.is_open(now)
            and row.name not in call.tried
            and (application is None or allows_place(application, row))
            for pool in (
                targets.list_named(self._tables.followed.get(call.service, ())),
                targets.iterate_service(call.service),
            )
            for row in pool
        )
        if not call.tried:
            self._possible[key] = possible
        return possible

    def _isolate(self, row: WaitingRow, now: float) -> Action | None:
        """Return the request to isolate a target for a suspect, or None if not possible now."""
        if row.isolation_requested or row.not_before > now:
            return None
        pool = self._tables.targets.list_service(row.call.service)
        closed = sum(target.closed_until > now for target in pool)
        if closed and closed + 1 > len(pool) * CLOSED_SHARE_MAX:
            return None
        candidates = list_candidates(row.call, pool, self._view, now)
        if not candidates:
            return None
        queue = self._tables.online if is_online(row.call) else self._tables.batch
        queue.update(row.waiting_id, isolation_requested=True)
        chosen = min(candidates, key=lambda target: _rank_for_isolation(target, now))
        return Isolate(row.waiting_id, chosen.name)

    def _place_online_call(self, row: WaitingRow, now: float) -> Action | None:
        call = row.call
        key = ("", call.service, call.application)
        if key in self._blocked or ("account", call.account, "") in self._blocked:
            return None
        if not self._has_concurrency(call):
            self._blocked.add(("account", call.account, ""))
            return None
        target = self._choose_online(row, now)
        if target is None:
            if not call.tried:
                self._blocked.add(key)
            return None
        return self.grant(row, target.name, now)

    def _choose_online(self, row: WaitingRow, now: float) -> TargetRow | None:
        view, call = self._view, row.call
        near = self._tables.targets.list_named(self._tables.followed.get(call.service, ()))
        candidates = list_candidates(call, near, view, now)
        if not candidates:
            return None
        slots = self._policy.count_online_slots(candidates[0].slots_max)
        return choose_target(call, candidates, slots, view, now, now - row.enqueued_at)

    def _has_concurrency(self, call: CallInfo) -> bool:
        configuration = self._view.configuration
        spec = configuration.accounts.get(call.account) if configuration else None
        if spec is None:
            return True
        account = self._tables.accounts.get(call.account)
        return has_concurrency(account, spec, len(self._view.live))

    def _place_batch_call(self, row: WaitingRow, free: dict[str, int], now: float) -> Action | None:
        call = row.call
        key = ("", call.service, call.application)
        if key in self._blocked:
            return None
        owned = self._tables.targets.list_named(free)
        pool = [target for target in owned if target.service == call.service]
        candidates = [
            target
            for target in list_candidates(call, pool, self._view, now)
            if free[target.name] > 0
        ]
        if not candidates:
            if not call.tried:
                self._blocked.add(key)
            return None
        best = max(candidates, key=lambda target: (free[target.name], target.name))
        free[best.name] -= 1
        return self.grant(row, best.name, now)


def _rank_for_isolation(target: TargetRow, now: float) -> tuple[bool, int, str]:
    """Return the sort key of a target for a suspect; the smallest is chosen.

    Targets whose owner responds come first, then those with the fewest calls in flight.
    """
    return target.no_isolation_until > now, target.online + target.batch, target.name
