"""The scheduling decisions of one instance.

The decider does no I/O and reads no clock: callers pass the time.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable

from clementinepin.const import InstanceState
from clementinepin.infrastructure import ListedInstance
from clementinepin.systems import crash_causes, demand, quarantine, retries
from clementinepin.systems.actions import Action, Grant, Preempt
from clementinepin.systems.admission import admit_call
from clementinepin.systems.allowance import AllowancePolicy, update_allowances
from clementinepin.systems.placement import Placer
from clementinepin.systems.preemption import choose_victims
from clementinepin.systems.results import Ending, finish_call, record_first_token, record_tokens
from clementinepin.systems.routing import is_online, list_candidates
from clementinepin.systems.subset import update_roles
from clementinepin.tables import (
    CallInfo,
    CallResult,
    DemandRow,
    Tables,
    TargetRow,
    View,
    WaitingRow,
)
from clementinepin.targets import TargetAddress

ACCOUNT_IDLE_S = 600.0
ISOLATION_RETRY_S = 0.05
ISOLATION_AVOID_S = 5.0
OWN_SERVICE = "clementinepin"


class Decider:
    """The tables and the decision functions that run over them.

    ``now`` is in monotonic seconds and ``wall`` in wall-clock seconds.
    """

    def __init__(
        self, view: View, policy: AllowancePolicy, queue_max: int, rng: random.Random
    ) -> None:
        self.tables = Tables()
        self.view = view
        self.policy = policy
        self._queue_max = queue_max
        self._random = rng
        self._ids = itertools.count(1)

    def set_view(self, view: View) -> None:
        """Set a new configuration or list of live instances."""
        self.view = view
        for row in list(self.tables.targets):
            self.tables.targets.update(row.name, slots_max=self._get_slots(row.service))
        update_roles(self.tables, view)

    def set_targets(self, rows: Iterable[ListedInstance]) -> None:
        """Replace the list of targets; a target with an unchanged address keeps its state."""
        listed = {row.name: row for row in rows if row.service != OWN_SERVICE}
        for target in list(self.tables.targets):
            if target.name not in listed:
                self.tables.targets.remove(target.name)
                self.tables.allowances.pop(target.name, None)
        for row in listed.values():
            self._put_target(row)
        update_roles(self.tables, self.view)
        names = frozenset(listed) | frozenset(row.service for row in listed.values())
        self.tables.measures.retain(names)

    def submit(self, call: CallInfo, now: float, wall: float) -> WaitingRow:
        """Queue a call and return its row. Raises a NotRunError subclass if it is not admitted."""
        return admit_call(self.tables, self.view, call, next(self._ids), self._queue_max, now, wall)

    def withdraw(self, waiting_id: int) -> None:
        """Remove a call from the queues, because its caller no longer waits."""
        self.tables.online.pop(waiting_id)
        self.tables.batch.pop(waiting_id)

    def tick(self, now: float, wall: float) -> list[Action]:
        """Run all systems once and return the actions to execute."""
        demand.refresh_owned(self.tables, now)
        placer = self._create_placer()
        actions = placer.place_online(now, wall)
        actions += self._preempt(now)
        actions += placer.place_batch(now, wall)
        actions += demand.list_demand_reports(self.tables, self.view, now)
        return actions

    def is_idle(self) -> bool:
        """Return whether no call waits or runs at this instance."""
        tables = self.tables
        return not (len(tables.online) or len(tables.batch) or len(tables.calls))

    def grant_isolated(self, waiting: WaitingRow, target: str, now: float) -> Grant | None:
        """Grant a suspect the target that was closed for it, or None if it no longer waits."""
        if not any(row.waiting_id == waiting.waiting_id for row in self._list_waiting()):
            return None
        return self._create_placer().grant(waiting, target, now, alone=True)

    def delay_isolation(self, waiting_id: int, target: str, now: float) -> None:
        """Let a suspect that did not get the target request isolation after ISOLATION_RETRY_S.

        Other targets are preferred for isolation until ISOLATION_AVOID_S have passed.
        """
        not_before = now + ISOLATION_RETRY_S
        self.tables.targets.update(target, no_isolation_until=now + ISOLATION_AVOID_S)
        for queue in (self.tables.online, self.tables.batch):
            queue.update(waiting_id, isolation_requested=False, not_before=not_before)

    def record_first_token(self, ticket: int, now: float) -> None:
        """Record the first token of an attempt."""
        record_first_token(self.tables, ticket, now)

    def record_tokens(self, ticket: int, tokens: int, now: float) -> None:
        """Record the tokens that an attempt has received since the last call."""
        record_tokens(self.tables, ticket, tokens, now)

    def finish(self, ticket: int, result: CallResult, now: float, wall: float) -> Ending | None:
        """Release the slot and return what follows from the result; None for an unknown ticket."""
        return finish_call(self.tables, self.view, ticket, result, now, wall)

    def plan_retry(
        self, call: CallInfo, result: CallResult, now: float, wall: float
    ) -> float | None:
        """Return the monotonic time of the next attempt, or None if none is allowed."""
        if quarantine.is_condemned(self.tables.suspects, call.fingerprint, wall):
            return None
        return retries.plan_retry(self.tables.retries, call, result, now, self._random)

    def receive_demand(self, sender: str, target: str, row: DemandRow) -> None:
        """Store the demand at a target that another instance reported."""
        if self.tables.targets.get(target) is not None:
            self.tables.demand.put(target, sender, row)

    def count_others(self, sender: str, now: float) -> dict[str, int]:
        """Return the number of online calls by owned target, without those of the sender."""
        counts = {}
        for name in self.tables.owned:
            target = self.tables.targets.get(name)
            if target is None:
                continue
            reports = self.tables.demand.list_target(name).items()
            counts[name] = target.online + sum(
                demand_row.online
                for instance, demand_row in reports
                if instance != sender and demand_row.expires_at > now
            )
        return counts

    def record_others(
        self, target: str, online_reported: int | None, others: int, now: float
    ) -> None:
        """Store how many online calls other instances have at a target, as its owner replied.

        ``online_reported`` is this instance's own count in the report that the owner replied to;
        None keeps the last one.
        """
        row = self.tables.targets.get(target)
        if row is None:
            return
        online_reported = row.reported_online if online_reported is None else online_reported
        self.tables.targets.put(
            row._replace(reported_online=online_reported, others_online=others, others_at=now)
        )

    def count_batch_slots(self, application: str, now: float) -> int:
        """Return the number of free batch slots for an application on owned targets."""
        configuration = self.view.configuration
        spec = configuration.applications.get(application) if configuration else None
        model = configuration.models.get(spec.model) if configuration and spec else None
        if model is None:
            return 0
        update_allowances(self.tables, self.view, self.policy, now)
        free = self._create_placer().count_free(now)
        call = CallInfo("", "", model.service, application, "", now, "")
        owned = self.tables.targets.list_named(free)
        pool = [row for row in owned if row.service == model.service]
        waiting = sum(row.call.application == application for row in self.tables.batch)
        slots = sum(max(0, free[row.name]) for row in list_candidates(call, pool, self.view, now))
        return max(0, slots - waiting)

    def expire(self, now: float, wall: float) -> None:
        """Remove expired demand reports and suspects, and accounts idle for ACCOUNT_IDLE_S."""
        self.tables.demand.expire(now, frozenset(self.view.live))
        self.tables.suspects.expire(wall)
        crash_causes.expire(self.tables.crashes, now)
        self.tables.accounts.expire(now - ACCOUNT_IDLE_S)

    def _create_placer(self) -> Placer:
        return Placer(self.tables, self.view, self.policy, self._ids)

    def _list_waiting(self) -> list[WaitingRow]:
        return [*self.tables.online, *self.tables.batch]

    def _preempt(self, now: float) -> list[Action]:
        """Return preemptions of the batch calls that exceed the allowances of their targets.

        The allowance is 0 at targets that this instance does not own.
        """
        update_allowances(self.tables, self.view, self.policy, now)
        actions: list[Action] = []
        running = {row.target for row in self.tables.calls if not is_online(row.call)}
        for target in sorted(running):
            row = self.tables.allowances.get(target)
            allowance = row.allowance if row and target in self.tables.owned else 0
            for ticket in choose_victims(self.tables, target, allowance):
                self.tables.calls.update(ticket, preempting=True)
                actions.append(Preempt(ticket))
        return actions

    def _put_target(self, listed: ListedInstance) -> None:
        """Add a listed target, or update its row. A new address discards the former state."""
        current = self.tables.targets.get(listed.name)
        address = TargetAddress(listed.name, listed.address, listed.port)
        fresh = TargetRow(
            name=listed.name,
            service=listed.service,
            address=address,
            data_centre=listed.data_centre,
            region=listed.region,
            slots_max=self._get_slots(listed.service),
            leaving=listed.state != InstanceState.LIVE,
        )
        if current is None or current.address != address:
            self.tables.targets.put(fresh)
            return
        self.tables.targets.put(
            current._replace(
                service=fresh.service,
                data_centre=fresh.data_centre,
                region=fresh.region,
                slots_max=fresh.slots_max,
                leaving=fresh.leaving,
            )
        )

    def _get_slots(self, service: str) -> int:
        configuration = self.view.configuration
        spec = configuration.services.get(service) if configuration else None
        return spec.slots_max if spec else 0
