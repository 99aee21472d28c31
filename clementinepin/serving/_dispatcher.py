"""The dispatcher's socket side: takes asks of all instances and carries its decisions out."""

from __future__ import annotations

import random
from typing import Any, Final

import gevent
from gevent import socket
from gevent.server import StreamServer
from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.serving import _messages as messages
from clementinepin.serving._fleet import FleetView
from clementinepin.serving._relay import RelayServer
from clementinepin.serving.models import Target
from clementinepin.systems import dispatching
from clementinepin.tables.dispatch import Ask, DispatchTable, TargetLoad

TICK_S: Final = 0.02  # how late a change of the queue by time alone may be noticed
SIGN_OF_LIFE_S: Final = 0.1  # askers give up a silent dispatcher after a few of these
READ_SIZE_BYTES: Final = 65_536


class _Link(messages.MessageSender):
    """The connection of one asking instance."""

    def __init__(self, sock: Any) -> None:
        super().__init__(sock)
        self.name = ""


class Dispatcher:
    """Answers whoever asks; which instance is asked is the askers' choice."""

    def __init__(
        self,
        address: tuple[str, int],
        fleet: FleetView,
        clock: Clock,
        rng: random.Random,
        relay: RelayServer,
    ) -> None:
        self._relay = relay
        self._fleet = fleet
        self._clock = clock
        self._random = rng
        self._links: dict[str, _Link] = {}
        self._server = StreamServer(address, self._serve)
        self._signs_due = 0.0
        self._ticker: gevent.Greenlet | None = None
        self.table = DispatchTable()

    def start(self) -> None:
        """Listen, and follow the targets."""
        self._fleet.subscribe(self._update_targets)
        self._server.start()
        self._ticker = gevent.spawn(self._run_ticks)

    def stop(self) -> None:
        """Close the listener and all links, so that askers turn to another dispatcher."""
        self._server.stop(timeout=0)
        if self._ticker is not None:
            self._ticker.kill()
        for link in list(self._links.values()):
            link.close()

    def describe_state(self) -> dict[str, Any]:
        """Return slots and queue by service."""
        services = {target.service for target in self.table.targets.values()}
        return {name: dispatching.describe_load(self.table, name) for name in services}

    def _serve(self, sock: Any, _peer: Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = _Link(sock)
        reader = messages.FrameReader()
        try:
            while data := sock.recv(READ_SIZE_BYTES):
                for message in reader.feed(data):
                    self._take_message(link, message)
        except (OSError, ValueError) as err:
            logger.bind(member=link.name, error=str(err)).info("slot_link_broke")
        finally:
            sock.close()
            if self._links.get(link.name) is link:
                del self._links[link.name]
                self._forget(link.name)

    def _take_message(self, link: _Link, message: Any) -> None:
        now = self._clock.monotonic()
        if isinstance(message, messages.Hello):
            link.name = message.name
            self._forget(link.name)
            self._links[link.name] = link
            for slot in message.slots:
                ask = _make_taken(link.name, slot, now)
                dispatching.adopt_grant(self.table, ask, slot.target_id, now)
            link.send(messages.SlotQueued())
            for target in self.table.targets.values():
                self._carry_out(dispatching.trim_overload(target, now))
        elif isinstance(message, messages.AskSlot):
            ask = _make_ask(link.name, message, now)
            actions = dispatching.submit(self.table, ask, now, self._random)
            self._carry_out(actions)
            if not actions:
                link.send(messages.SlotQueued())
            for target in self.table.targets.values():
                self._carry_out(dispatching.trim_overload(target, now))
        elif isinstance(message, messages.EndSlot):
            outcome = dispatching.RunOutcome(message.outcome)
            dispatching.finish(self.table, (link.name, message.number), outcome, now)
            self._serve_queue()

        elif isinstance(message, messages.StoreCall):
            gevent.spawn(self._relay_call, link, message)
        elif isinstance(message, messages.ReportLoad):
            key = (link.name, message.number)
            self._carry_out(dispatching.note_load(self.table, key, message.reported, now))

    def _relay_call(self, link: _Link, call: messages.StoreCall) -> None:
        link.send(self._relay.answer(call))

    def _carry_out(self, actions: list[dispatching.Action]) -> None:
        for action in actions:
            name, number = action.key
            link = self._links.get(name)
            if link is None:
                continue
            if isinstance(action, dispatching.Granted):
                link.send(messages.GrantSlot(number, action.target_id))
            elif isinstance(action, dispatching.TurnedAway):
                link.send(messages.RefuseSlot(number, action.retry_after_s, action.reason))
            else:
                link.send(messages.YieldSlot(number))

    def _serve_queue(self) -> None:
        if self.table.waiting:
            now = self._clock.monotonic()
            self._carry_out(dispatching.serve_queue(self.table, now, self._random))

    def _run_ticks(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            self._serve_queue()
            now = self._clock.monotonic()
            if self.table.waiting and now >= self._signs_due:
                self._signs_due = now + SIGN_OF_LIFE_S
                for name in {key[0] for key in self.table.waiting}:
                    if name in self._links:
                        self._links[name].send(messages.SlotQueued())

    def _forget(self, name: str) -> None:
        """Free what an instance held; one that lives reports it anew."""
        now = self._clock.monotonic()
        for key in [k for k in (*self.table.grants, *self.table.waiting) if k[0] == name]:
            dispatching.finish(self.table, key, dispatching.RunOutcome.CANCELLED, now)

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
