"""The dispatcher's socket side: takes asks of all instances and carries its decisions out."""

from __future__ import annotations

import random
from typing import Any, Final

import gevent

from clementinepin.helpers.clock import Clock
from clementinepin.serving import _messages as messages
from clementinepin.serving._fleet import FleetView
from clementinepin.serving._links import Link, LinkServer
from clementinepin.serving.models import Target
from clementinepin.systems import dispatching, target_health, waiting
from clementinepin.systems.dispatch_actions import Action, Granted, RunOutcome, TurnedAway
from clementinepin.tables.dispatch import Ask, DispatchTable, QueueOrder, TargetLoad

TICK_S: Final = 0.02  # how late a change of the queue by time alone may be noticed
SIGN_OF_LIFE_S: Final = 0.1  # askers give up a silent dispatcher after a few of these


class Dispatcher:
    """Answers whoever asks; which instance is asked is the askers' choice."""

    def __init__(
        self,
        links: LinkServer,
        fleet: FleetView,
        clock: Clock,
        rng: random.Random,
        order: QueueOrder = QueueOrder.NEW_FIRST,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._random = rng
        self._links = links.links
        self._signs_due = 0.0
        self._ticker: gevent.Greenlet | None = None
        self.table = DispatchTable(order)
        links.handle(messages.Hello, self._greet)
        links.handle(messages.AskSlot, self._take_ask)
        links.handle(messages.TookSlot, self._take_own_choice)
        links.handle(messages.EndSlot, self._take_end)
        links.handle(messages.ReportLoad, self._take_load)
        links.handle(messages.ReportSilence, self._take_silence)
        links.handle_close(self._forget)

    def start(self) -> None:
        """Follow the targets and the time."""
        self._fleet.subscribe(self._update_targets)
        self._ticker = gevent.spawn(self._run_ticks)

    def stop(self) -> None:
        """Decide nothing more."""
        if self._ticker is not None:
            self._ticker.kill()

    def describe_state(self) -> dict[str, Any]:
        """Return slots and queue by service."""
        services = {target.service for target in self.table.targets.values()}
        return {name: waiting.describe_load(self.table, name) for name in services}

    def _greet(self, link: Link, hello: messages.Hello) -> None:
        """Take over what an instance uses already, and ask back what is too much."""
        now = self._clock.monotonic()
        self._forget(link.name)
        for slot in hello.slots:
            ask = _make_taken(link.name, slot, now)
            dispatching.adopt_grant(self.table, ask, slot.target_id, now)
        link.send(messages.SlotQueued())
        for target in self.table.targets.values():
            self._carry_out(dispatching.trim_overload(target, now))

    def _take_ask(self, link: Link, message: messages.AskSlot) -> None:
        now = self._clock.monotonic()
        ask = _make_ask(link.name, message, now)
        actions = dispatching.submit(self.table, ask, now, self._random)
        self._carry_out(actions)
        if not actions:
            link.send(messages.SlotQueued())

    def _take_own_choice(self, link: Link, message: messages.TookSlot) -> None:
        """Count a slot that was taken without a grant, and ask back what is too much."""
        now = self._clock.monotonic()
        ask = _make_taken(link.name, message.slot, now)
        dispatching.adopt_grant(self.table, ask, message.slot.target_id, now)
        target = self.table.targets.get(message.slot.target_id)
        if target is not None:
            self._carry_out(dispatching.trim_overload(target, now))

    def _take_end(self, link: Link, message: messages.EndSlot) -> None:
        now = self._clock.monotonic()
        outcome = RunOutcome(message.outcome)
        dispatching.finish(self.table, (link.name, message.number), outcome, now)
        self._serve_queue()

    def _take_load(self, link: Link, message: messages.ReportLoad) -> None:
        now = self._clock.monotonic()
        key = (link.name, message.number)
        self._carry_out(dispatching.note_load(self.table, key, message.reported, now))

    def _take_silence(self, link: Link, message: messages.ReportSilence) -> None:
        key = (link.name, message.number)
        target_health.note_silence(self.table, key, self._clock.monotonic())

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            name, number = action.key
            link = self._links.get(name)
            if link is None:
                continue
            if isinstance(action, Granted):
                link.send(messages.GrantSlot(number, action.target_id))
            elif isinstance(action, TurnedAway):
                link.send(messages.RefuseSlot(number, *action[1:]))
            else:
                link.send(messages.YieldSlot(number))

    def _serve_queue(self) -> None:
        if self.table.waiting or self.table.items:
            now = self._clock.monotonic()
            self._carry_out(dispatching.serve_queue(self.table, now, self._random))

    def _run_ticks(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            dispatching.drop_unfollowed_yields(self.table, self._clock.monotonic())
            self._serve_queue()
            now = self._clock.monotonic()
            if now >= self._signs_due:
                self._signs_due = now + SIGN_OF_LIFE_S
                for name in {key[0] for key in self.table.list_waiting()}:
                    if name in self._links:
                        self._links[name].send(messages.SlotQueued())

    def _forget(self, name: str) -> None:
        """Free what an instance held; one that lives reports it anew."""
        now = self._clock.monotonic()
        for key in [k for k in (*self.table.grants, *self.table.list_waiting()) if k[0] == name]:
            dispatching.finish(self.table, key, RunOutcome.CANCELLED, now)

    def _update_targets(self) -> None:
        update_targets(self.table, self._fleet.targets.rows)
        self._serve_queue()


def update_targets(table: DispatchTable, rows: dict[str, Target]) -> None:
    """Bring the loads in line with the targets that may get requests."""
    usable = {k: row for k, row in rows.items() if not row.draining}
    for target_id in set(table.targets) - set(usable):
        for key in table.targets.pop(target_id).grants:
            table.grants.pop(key, None)
    for target_id, row in usable.items():
        known = table.targets.get(target_id)
        if known is None or known.started_at_ms != row.started_at_ms:
            load = TargetLoad(target_id, row.service, row.data_centre, row.slots)
            load.started_at_ms = row.started_at_ms
            table.targets[target_id] = load


def _make_ask(name: str, message: messages.AskSlot, now: float) -> Ask:
    return Ask(
        key=(name, message.number),
        service=message.service,
        is_batch=message.is_batch,
        asked_at=now,
        on_time_by=now + message.on_time_in_s,
        deadline=now + message.deadline_in_s,
        run_s=message.run_s,
        prefix_ids=tuple(message.prefix_ids),
        data_centre=message.data_centre,
        excluded=frozenset(message.excluded),
        returned=message.returned,
        is_firm=message.is_firm,
        warm=frozenset(message.warm),
        priority=message.priority,
        fingerprint=message.fingerprint,
    )


def _make_taken(name: str, slot: messages.TakenSlot, now: float) -> Ask:
    return Ask(
        key=(name, slot.number),
        service=slot.service,
        is_batch=slot.is_batch,
        asked_at=now,
        on_time_by=now,
        deadline=now,
        run_s=slot.run_s,
        is_firm=slot.is_firm,
    )
