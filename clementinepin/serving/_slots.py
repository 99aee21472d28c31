"""The asking side: gets slots from the dispatcher, or chooses alone while none answers."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import gevent
from gevent.event import AsyncResult
from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.serving import _messages as messages
from clementinepin.serving._dispatcher import update_targets
from clementinepin.serving._dispatcher_link import DispatcherLink
from clementinepin.serving._feed import FeedClient
from clementinepin.serving._fleet import FleetView
from clementinepin.serving._pools import TargetPools
from clementinepin.serving.exceptions import CallerGoneError, OverloadedError
from clementinepin.serving.models import Placement
from clementinepin.systems import dispatching, target_health
from clementinepin.systems.dispatch_actions import RunOutcome
from clementinepin.tables.dispatch import Ask, DispatchTable

REPLY_TIMEOUT_S: Final = 0.08  # some round trips between data centres plus a busy dispatcher
ALONE_RETRY_S: Final = 0.3  # Retry-After when no dispatcher answers and the own share is used up
ALONE_BATCH_S: Final = 9.0  # a lost dispatcher's lease ends at 3 s; items are due in 18 s


class SlotRequest(NamedTuple):
    """What a request needs; times are monotonic seconds of this instance."""

    service: str
    is_batch: bool
    on_time_by: float
    deadline: float
    run_s: float
    prefix_ids: tuple[str, ...] = ()
    excluded: frozenset[str] = frozenset()
    returned: bool = False
    is_firm: bool = False
    priority: int = 0
    fingerprint: str = ""


class Slot(NamedTuple):
    """A granted slot. ``alone`` says that it was chosen without the dispatcher."""

    number: int
    target_id: str
    alone: bool


class _Waiter:
    """One ask that waits for its answer."""

    def __init__(self, request: SlotRequest) -> None:
        self.request = request
        self.result: AsyncResult = AsyncResult()


class SlotBroker:
    """Hands out slots to the requests of this instance."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        fleet: FleetView,
        pools: TargetPools,
        clock: Clock,
        rng: random.Random,
        placement: Placement = Placement.DISPATCHER,
    ) -> None:
        self._placement = placement
        self._pools = pools
        self._feed = FeedClient(name, fleet.fed_followers)
        self._name = name
        self._data_centre = data_centre
        self._fleet = fleet
        self._clock = clock
        self._random = rng
        self._numbers = itertools.count(1)
        self._waiters: dict[int, _Waiter] = {}
        self._yields: dict[int, Callable[[], None]] = {}
        self._early_yields: set[int] = set()
        self._taken: dict[int, tuple[SlotRequest, str, float]] = {}
        self._first_linked_at = clock.monotonic()
        self._link = DispatcherLink(fleet, clock, self._make_hello, self._take_message)
        self._link.on_open = self._feed.open
        self._link.on_closed = self._note_closed
        self._table = DispatchTable()

    def start(self) -> None:
        """Keep a link to the dispatcher."""
        self._fleet.subscribe(self._update_targets)
        if self._placement is Placement.DISPATCHER:
            self._link.start()

    def stop(self) -> None:
        """Close the link."""
        self._link.stop()

    @property
    def is_linked(self) -> bool:
        """Tell whether a dispatcher answers."""
        return self._link.is_sure

    @property
    def dispatcher_name(self) -> str:
        """Return the instance that is asked now, empty without a link."""
        return self._link.dispatcher_name

    def acquire(
        self, request: SlotRequest, on_waiting: Callable[[Callable[[], None]], None]
    ) -> Slot:
        """Return a slot; raises OverloadedError, or CallerGoneError when cancelled.

        ``on_waiting`` is given a function that cancels the wait.
        """
        number = next(self._numbers)
        if not self._link.is_sure:
            return self._choose_alone(number, request)
        if request.is_batch:
            self._hold_batch()
        waiter = _Waiter(request)
        self._waiters[number] = waiter
        on_waiting(lambda: waiter.result.set(CallerGoneError("the caller left the queue")))
        try:
            self._link.send(self._make_ask(number, request))
            answer = self._wait(waiter)
        finally:
            self._waiters.pop(number, None)
        if isinstance(answer, messages.GrantSlot):
            self._note_taken(number, request, answer.target_id)
            return Slot(number, answer.target_id, alone=False)
        if isinstance(answer, messages.RefuseSlot):
            inputs = {
                "taken": answer.taken,
                "slots": answer.slots,
                "waiting": answer.waiting,
                "start_in_s": answer.start_in_s,
                "pressure": answer.pressure,
            }
            raise OverloadedError(answer.reason, answer.retry_after_s, inputs)
        self._link.send(messages.EndSlot(number, RunOutcome.CANCELLED))
        if isinstance(answer, CallerGoneError):
            raise answer
        if self._clock.monotonic() >= request.deadline:
            raise OverloadedError("waited past its use", ALONE_RETRY_S)
        return self._choose_alone(number, request)

    def _hold_batch(self) -> None:
        """Let batch wait while another dispatcher than the first registered one is linked.

        Load pattern: runners that are cut from the dispatcher, while entries still reach it. Items
        under a second one would take slots that the first one gives to callers.
        """
        now = self._clock.monotonic()
        first = next(iter(self._fleet.list_job_runners()), None)
        if first is None or self._link.dispatcher_name == first.name:
            self._first_linked_at = now
        elif now - self._first_linked_at < ALONE_BATCH_S:
            raise OverloadedError("batch waits for the first dispatcher", ALONE_RETRY_S)

    def release(self, slot: Slot, outcome: RunOutcome) -> None:
        """Give a slot back and tell how its use ended."""
        self._taken.pop(slot.number, None)
        self._yields.pop(slot.number, None)
        self._early_yields.discard(slot.number)
        key = (self._name, slot.number)
        dispatching.finish(self._table, key, outcome, self._clock.monotonic())
        self._link.send(messages.EndSlot(slot.number, outcome))

    def report_load(self, slot: Slot, load: tuple[int, int, int] | None) -> None:
        """Pass on the running and waiting requests that a target reported."""
        if load is None:
            return
        reported = load[0] + load[1]
        key = (self._name, slot.number)
        dispatching.note_load(self._table, key, reported, self._clock.monotonic())
        self._link.send(messages.ReportLoad(slot.number, reported))

    def report_silence(self, slot: Slot, request_id: str) -> None:
        """Tell that a target has not begun to answer a request for long."""
        facts = logger.bind(request_id=request_id, target=slot.target_id)
        facts.bind(dispatcher=self.dispatcher_name).info("target_silent")
        key = (self._name, slot.number)
        target_health.note_silence(self._table, key, self._clock.monotonic())
        self._link.send(messages.ReportSilence(slot.number))

    def watch_yield(self, slot: Slot, on_yield: Callable[[], None]) -> None:
        """Call ``on_yield`` when the dispatcher wants the slot back."""
        if slot.number in self._early_yields:
            on_yield()
        else:
            self._yields[slot.number] = on_yield

    def describe_state(self) -> dict[str, Any]:
        """Return a JSON-ready dump."""
        return {
            "dispatcher": self.dispatcher_name,
            "dispatcher_answers": self._link.is_sure,
            "waiting": len(self._waiters),
            "taken": len(self._taken),
        }

    def _wait(self, waiter: _Waiter) -> Any:
        """Return the answer, or None when the dispatcher fell silent."""
        asked_at = self._clock.monotonic()
        with gevent.Timeout(REPLY_TIMEOUT_S, False):
            return waiter.result.get()
        if self._link.heard_at < asked_at:
            self._link.doubt("no reply")
            return None
        now = self._clock.monotonic()
        with gevent.Timeout(max(0.0, waiter.request.deadline - now), False):
            return waiter.result.get()
        return None

    def _choose_alone(self, number: int, request: SlotRequest) -> Slot:
        """Choose by own counts; each instance keeps to about its share of every target."""
        now = self._clock.monotonic()
        waits_for_link = self._placement is Placement.DISPATCHER
        if request.is_batch and waits_for_link and now - self._first_linked_at < ALONE_BATCH_S:
            raise OverloadedError("batch waits for a dispatcher", ALONE_RETRY_S)
        ask = self._make_own_ask(number, request, now)
        targets = list(self._table.targets.values())
        if self._placement is Placement.RANDOM:
            self._random.shuffle(targets)
            targets = [t for t in targets if dispatching.choose_target([t], ask, now)][:1]
        target = dispatching.choose_target(targets, ask, now)
        if target is None:
            raise OverloadedError("no free target known", ALONE_RETRY_S)
        share = math.ceil(2 * target.slots / max(1, len(self._fleet.list_entries())))
        if target.taken >= (1 if request.is_batch else max(2, share)):
            raise OverloadedError("own share used up", ALONE_RETRY_S)
        self._note_taken(number, request, target.target_id)
        self._link.send(messages.TookSlot(self._describe_taken(number, now)))
        return Slot(number, target.target_id, alone=True)

    def _note_taken(self, number: int, request: SlotRequest, target_id: str) -> None:
        now = self._clock.monotonic()
        self._taken[number] = (request, target_id, now)
        ask = self._make_own_ask(number, request, now)
        dispatching.adopt_grant(self._table, ask, target_id, now)

    def _make_own_ask(self, number: int, request: SlotRequest, now: float) -> Ask:
        return Ask(
            key=(self._name, number),
            service=request.service,
            is_batch=request.is_batch,
            asked_at=now,
            on_time_by=request.on_time_by,
            deadline=request.deadline,
            run_s=request.run_s,
            prefix_ids=request.prefix_ids,
            data_centre=self._data_centre,
            excluded=request.excluded,
            fingerprint=request.fingerprint,
        )

    def _make_ask(self, number: int, request: SlotRequest) -> messages.AskSlot:
        now = self._clock.monotonic()
        return messages.AskSlot(
            number=number,
            service=request.service,
            is_batch=request.is_batch,
            on_time_in_s=request.on_time_by - now,
            deadline_in_s=request.deadline - now,
            run_s=request.run_s,
            prefix_ids=list(request.prefix_ids),
            data_centre=self._data_centre,
            excluded=list(request.excluded),
            returned=request.returned,
            is_firm=request.is_firm,
            warm=self._pools.list_warm(),
            priority=request.priority,
            fingerprint=request.fingerprint,
        )

    def _update_targets(self) -> None:
        update_targets(self._table, self._fleet.targets.rows)
        self._link.check_choice()

    def _make_hello(self) -> messages.Hello:
        now = self._clock.monotonic()
        return messages.Hello(self._name, [self._describe_taken(n, now) for n in self._taken])

    def _describe_taken(self, number: int, now: float) -> messages.TakenSlot:
        request, target_id, since = self._taken[number]
        return messages.TakenSlot(
            number,
            request.service,
            target_id,
            request.is_batch,
            request.is_firm,
            max(0.0, since + request.run_s - now),
        )

    def _take_message(self, message: Any) -> None:
        if isinstance(message, messages.YieldSlot):
            on_yield = self._yields.pop(message.number, None)
            if on_yield is not None:
                on_yield()
            elif message.number in self._taken or message.number in self._waiters:
                self._early_yields.add(message.number)
        elif isinstance(message, (messages.FeedRows, messages.FeedChange, messages.FeedBeat)):
            self._feed.take(message)
        elif isinstance(message, (messages.GrantSlot, messages.RefuseSlot)):
            waiter = self._waiters.get(message.number)
            if waiter is not None and not waiter.result.ready():
                waiter.result.set(message)
            elif isinstance(message, messages.GrantSlot) and message.number not in self._taken:
                self._link.send(messages.EndSlot(message.number, RunOutcome.CANCELLED))

    def _note_closed(self) -> None:
        self._feed.close()
        for waiter in list(self._waiters.values()):
            if not waiter.result.ready():
                waiter.result.set(None)
