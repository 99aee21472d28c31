"""Client side of dispatching: requests slots from the dispatcher, or decides locally without one.

A slot is the right to send one request to one target. While no dispatcher is responsive, an
instance chooses targets by its own counts and stays within its share of each target.
"""

from __future__ import annotations

import itertools
import random
from collections import deque
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any, Final

import gevent
from gevent.event import AsyncResult

from clementinepin.helpers.clock import Clock
from clementinepin.serving import _messages as messages
from clementinepin.serving._batch_hold import BatchHold
from clementinepin.serving._dispatcher import update_targets
from clementinepin.serving._dispatcher_link import SUSPECT_S, DispatcherLink
from clementinepin.serving._feed import FeedClient
from clementinepin.serving._fleet import FleetView
from clementinepin.serving._local_choice import LOCAL_RETRY_S, choose_alone
from clementinepin.serving._own_streams import OwnStreams
from clementinepin.serving._pools import TargetPools
from clementinepin.serving._resumption_logs import log_resumption
from clementinepin.serving._silence import SilenceWatch
from clementinepin.serving._slot_requests import (
    Slot,
    SlotRequest,
    describe_broken_run,
    describe_slot,
    list_inputs,
    make_local_request,
    make_request_message,
)
from clementinepin.serving.exceptions import CallerGoneError, OverloadedError
from clementinepin.serving.models import DEFAULT_POLICY, Placement, Policy
from clementinepin.systems import (
    crash_causes,
    dispatching,
    stream_versions,
    target_limits,
)
from clementinepin.systems.dispatch_actions import RunOutcome
from clementinepin.tables.crashes import BrokenRun, CauseChange, CrashTable
from clementinepin.tables.dispatch import DispatchTable
from clementinepin.tables.leaving import TargetStart
from clementinepin.tables.mechanisms import Mechanism
from clementinepin.tables.streams import StreamTable

REPLY_TIMEOUT_S: Final = 0.08  # a few round trips between data centres and a busy dispatcher
BROKEN_RUNS_MAX: Final = 64  # reported to a new dispatcher


class _Waiter:
    """A request for a slot that has no grant or rejection yet."""

    def __init__(self, request: SlotRequest) -> None:
        self.request = request
        self.result: AsyncResult = AsyncResult()


class SlotBroker:
    """Gets slots for the requests of this instance and releases them.

    ``_table`` counts the slots that this instance uses, so that it can decide locally. ``_taken``
    maps a slot's number to its request, its target and when it was taken (monotonic seconds).
    ``_early_preemptions`` holds slots that were preempted before a handler was set.
    ``_broken_runs`` has the last runs that their targets broke off, and when they ended.
    ``confirm_versions`` makes sure that this instance knows the software versions of all targets.
    ``on_broken_alone`` gets those that no dispatcher hears of, ``on_causes_found`` what this
    instance found or refuted while it decided without one.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        fleet: FleetView,
        pools: TargetPools,
        clock: Clock,
        rng: random.Random,
        policy: Policy = DEFAULT_POLICY,
    ) -> None:
        self._placement = policy.placement
        self._pools = pools
        self._feed = FeedClient(name, fleet.fed_followers)
        self._name = name
        self._data_centre = data_centre
        self._fleet = fleet
        self._clock = clock
        self._random = rng
        self._numbers = itertools.count(1)
        self._waiters: dict[int, _Waiter] = {}
        self._preemption_handlers: dict[int, Callable[[], None]] = {}
        self._early_preemptions: set[int] = set()
        self._taken: dict[int, tuple[SlotRequest, str, float]] = {}
        self.confirm_versions: Callable[[], None] = lambda: None
        self.on_broken_alone: Callable[[BrokenRun], None] = lambda _run: None
        self.on_causes_found: Callable[[list[CauseChange]], None] = lambda _changes: None
        self._decides_alone = False
        self._broken_runs: deque[tuple[BrokenRun, float]] = deque(maxlen=BROKEN_RUNS_MAX)
        suspect_s = SUSPECT_S if Mechanism.DISPATCHER_SUSPICION not in policy.disabled else 0.0
        self._link = DispatcherLink(fleet, clock, self._make_hello, self._handle_message, suspect_s)
        self._batch_hold = BatchHold(fleet, self._link, clock)
        self._link.on_open = self._feed.open
        self._link.on_closed = self._handle_close
        self._table = DispatchTable(policy.order, policy.disabled)
        self._own_streams = OwnStreams(self._table, clock)
        self._silence = SilenceWatch(name, self._table, pools, self._link, clock)

    def start(self) -> None:
        """Follow the targets and, unless placement is local, connect to the dispatcher."""
        self._fleet.subscribe(self._update_targets)
        if self._placement is Placement.DISPATCHER:
            self._link.start()

    def stop(self) -> None:
        """Close the connection to the dispatcher."""
        self._link.stop()

    @property
    def crashes(self) -> CrashTable:
        """Return the crashes by which this instance decides without a dispatcher."""
        return self._table.crashes

    @property
    def streams(self) -> StreamTable:
        """Return the streams and software versions by which this instance decides."""
        return self._table.streams

    @property
    def is_linked(self) -> bool:
        """Return whether a dispatcher is connected and responsive."""
        return self._link.is_responsive

    @property
    def dispatcher_name(self) -> str:
        """Return the name of the connected dispatcher, empty without a connection."""
        return self._link.dispatcher_name

    def acquire(
        self, request: SlotRequest, on_waiting: Callable[[Callable[[], None]], None]
    ) -> Slot:
        """Return a slot, waiting for it in the dispatcher's queue if necessary.

        ``on_waiting`` receives a function that cancels the wait. Raises OverloadedError if the
        request is rejected and CallerGoneError if the wait is cancelled.
        """
        request = self._own_streams.bind(request, self._link.responsive_name)
        slot = self._ask_dispatcher(request, on_waiting)
        if slot is None and self._await_dispatcher(request):
            slot = self._ask_dispatcher(request, on_waiting)
        if slot is None:
            request = self._own_streams.bind(request, self._link.responsive_name)
            slot = self._decide_locally(request)
        return slot

    def _ask_dispatcher(
        self, request: SlotRequest, on_waiting: Callable[[Callable[[], None]], None]
    ) -> Slot | None:
        """Return the slot that the dispatcher grants, or None if none is responsive."""
        if not self._link.is_responsive:
            return None
        if request.is_batch:
            self._batch_hold.check_linked()
        self._decides_alone = False
        dispatcher = self._link.dispatcher_name
        number = next(self._numbers)
        waiter = _Waiter(request)
        self._waiters[number] = waiter
        on_waiting(lambda: waiter.result.set(CallerGoneError("the wait for a slot was cancelled")))
        try:
            self._link.send(
                make_request_message(
                    self._data_centre,
                    number,
                    request,
                    self._pools.list_warm(),
                    self._clock.monotonic(),
                )
            )
            reply = self._wait_for_reply(waiter)
        finally:
            self._waiters.pop(number, None)
        if isinstance(reply, messages.GrantSlot):
            self._record_taken(number, request, reply.target_id, reply.limit_per_s)
            self._own_streams.record_told(request, dispatcher)
            return Slot(number, reply.target_id, False, reply.software_version)
        if isinstance(reply, messages.RejectSlot):
            raise OverloadedError(reply.reason, reply.retry_after_s, list_inputs(reply))
        self._link.send(messages.ReleaseSlot(number, RunOutcome.CANCELLED))
        if isinstance(reply, CallerGoneError):
            raise reply
        if self._clock.monotonic() >= request.deadline:
            raise OverloadedError("no slot before the latest useful start", LOCAL_RETRY_S)
        return None

    def _await_dispatcher(self, request: SlotRequest) -> bool:
        """Make sure that the version of a resumed stream is known, or wait for who may know it.

        Return whether a dispatcher is responsive then and must be asked.

        Load pattern: an instance that was suspended in a release is connected to no dispatcher for
        a moment, and gets callers at once.
        """
        if not request.is_resumption:
            return False
        now = self._clock.monotonic()
        pending = make_local_request(self._name, self._data_centre, 0, request, now)
        if stream_versions.needs_confirmation(self._table, pending, now):
            self.confirm_versions()
        if stream_versions.find_required_version(self._table, pending, now).version is not None:
            return False
        if self._placement is not Placement.DISPATCHER:
            return False
        return self._link.await_reconnection(request.deadline)

    def release(
        self, slot: Slot, outcome: RunOutcome, *, succeeded: bool = False, events: int = 0
    ) -> None:
        """Release a slot and report to the dispatcher how its use ended.

        ``succeeded`` is True after a complete response with a success status. ``events`` is how
        many events the run has brought.
        """
        request, _, _ = self._taken.pop(slot.number, (None, "", 0.0))
        self._preemption_handlers.pop(slot.number, None)
        self._early_preemptions.discard(slot.number)
        key = (self._name, slot.number)
        now = self._clock.monotonic()
        dispatching.finish(self._table, key, outcome, now, succeeded=succeeded, events=events)
        if request is not None and outcome is RunOutcome.BROKEN and not request.is_batch:
            suspected = crash_causes.list_suspected(request.traits, request.parts, events)
            run = BrokenRun(key, slot.target_id, request.service, suspected, events)
            self._record_broken(run, now)
        self._link.send(messages.ReleaseSlot(slot.number, outcome, succeeded, events))

    def _record_broken(self, run: BrokenRun, now: float) -> None:
        self._broken_runs.append((run, now))
        if not self._link.is_responsive:
            self.on_broken_alone(run)

    def report_load(
        self,
        slot: Slot,
        load: tuple[int, int, int] | None,
        limit_per_s: float | None,
        leaving_started_at_ms: int | None = None,
    ) -> None:
        """Report what a target says of itself in the head of a response.

        ``load`` is (running, waiting, slots) and ``limit_per_s`` the limit that it names; both are
        None if missing. ``leaving_started_at_ms`` is its start if it says that it leaves.
        """
        key = (self._name, slot.number)
        now = self._clock.monotonic()
        changed = target_limits.record_limit(self._table, key, limit_per_s, now)
        says_nothing = load is None and limit_per_s is None and leaving_started_at_ms is None
        if says_nothing and not changed and not self._taken[slot.number][0].stream_id:
            return  # of a stream the dispatcher must know that it may have begun
        reported = -1 if load is None else load[0] + load[1]
        dispatching.record_load(self._table, key, reported, now)
        self._link.send(
            messages.ReportLoad(slot.number, reported, limit_per_s, leaving_started_at_ms)
        )

    def watch_silence(
        self, slot: Slot, request_id: str, on_link_lost: Callable[[], bool]
    ) -> AbstractContextManager[None]:
        """Return a context that reports the slot's target if it does not respond in the usual time.

        ``on_link_lost`` is called instead if the own link to the target is lost; see SilenceWatch.
        """
        service = self._taken[slot.number][0].service
        return self._silence.watch(slot, service, request_id, on_link_lost)

    def watch_preemption(self, slot: Slot, on_preempt: Callable[[], None]) -> None:
        """Call ``on_preempt`` when the dispatcher preempts the slot, at once if it already did."""
        if slot.number in self._early_preemptions:
            on_preempt()
        else:
            self._preemption_handlers[slot.number] = on_preempt

    def describe_state(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        return {
            "dispatcher": self.dispatcher_name,
            "dispatcher_answers": self._link.is_responsive,
            "waiting": len(self._waiters),
            "taken": len(self._taken),
            "limits_per_s": target_limits.list_limits(self._table),
            "crash_causes": crash_causes.describe_causes(self.crashes),
        }

    def _wait_for_reply(self, waiter: _Waiter) -> Any:
        """Return the reply.

        None if the connection was lost, the dispatcher is unresponsive or the deadline passed.
        """
        requested_at = self._clock.monotonic()
        with gevent.Timeout(REPLY_TIMEOUT_S, False):
            return waiter.result.get()
        if self._link.last_received_at < requested_at:
            self._link.suspect("no reply")
            return None
        now = self._clock.monotonic()
        with gevent.Timeout(max(0.0, waiter.request.deadline - now), False):
            return waiter.result.get()
        return None

    def _decide_locally(self, request: SlotRequest) -> Slot:
        """Return a slot chosen by this instance's own counts.

        Raises OverloadedError if no target qualifies, and for batch items that must wait for a
        dispatcher.
        """
        number = next(self._numbers)
        now = self._clock.monotonic()
        if request.is_batch and self._placement is Placement.DISPATCHER:
            self._batch_hold.check_alone()
        pending = make_local_request(self._name, self._data_centre, number, request, now)
        log_resumption(self._table, pending, now)
        entries = [member.name for member in self._fleet.list_entries()]
        begins, self._decides_alone = not self._decides_alone, True
        names = [*entries, *(member.name for member in self._fleet.list_job_runners())]
        target_limits.share_limits(self._table, self._name, names, now, begins=begins)
        try:
            target = choose_alone(self._table, pending, entries, now, self._placement, self._random)
        finally:
            self.on_causes_found(crash_causes.take_changes(self.crashes))
        self._record_taken(number, request, target.target_id)
        stream = self._own_streams.describe(request.stream_id)
        self._link.send(
            messages.SlotTaken(describe_slot(number, *self._taken[number], now), stream)
        )
        self._own_streams.record_told(request, self._link.dispatcher_name)
        return Slot(number, target.target_id, True, target.software_version)

    def _record_taken(
        self, number: int, request: SlotRequest, target_id: str, limit_per_s: float | None = None
    ) -> None:
        now = self._clock.monotonic()
        if limit_per_s is not None and target_id in self._table.targets:
            target_limits.name_limit(self._table.targets[target_id], limit_per_s, now)
        self._taken[number] = (request, target_id, now)
        pending = make_local_request(self._name, self._data_centre, number, request, now)
        dispatching.adopt_grant(self._table, pending, target_id, now)

    def _update_targets(self) -> None:
        update_targets(self._table, self._fleet.targets.rows, self._clock.monotonic())
        self._link.recheck_dispatcher()

    def _make_hello(self) -> messages.Hello:
        now = self._clock.monotonic()
        return messages.Hello(
            self._name,
            [describe_slot(number, *self._taken[number], now) for number in self._taken],
            self._own_streams.describe_all(self._link.dispatcher_name),
            [describe_broken_run(run, at, now) for run, at in self._list_broken_runs()],
            target_limits.list_limits(self._table),
            list(self._fleet.targets.list_leaving()),
        )

    def _list_broken_runs(self) -> list[tuple[BrokenRun, float]]:
        """Return the runs that were broken off, without the traits that have succeeded since.

        Load pattern: a dispatcher takes over long after a crash, and has seen no success.
        """
        runs = []
        for run, at in self._broken_runs:
            traits = crash_causes.list_unrefuted(self.crashes, run.service, run.traits, at)
            if traits:
                runs.append((run._replace(traits=traits), at))
        return runs

    def _handle_message(self, message: Any) -> None:
        self._batch_hold.record_link()
        if isinstance(message, messages.PreemptSlot):
            on_preempt = self._preemption_handlers.pop(message.number, None)
            if on_preempt is not None:
                on_preempt()
            elif message.number in self._taken or message.number in self._waiters:
                # The preemption arrived before a handler was set.
                self._early_preemptions.add(message.number)
        elif isinstance(message, (messages.FeedRows, messages.FeedChange, messages.FeedHeartbeat)):
            self._feed.receive(message)
        elif isinstance(message, messages.TargetLeaving):
            start = TargetStart(message.target_id, message.started_at_ms)
            self._fleet.targets.record_leaving(start, member=self.dispatcher_name)
        elif isinstance(message, (messages.GrantSlot, messages.RejectSlot)):
            waiter = self._waiters.get(message.number)
            if waiter is not None and not waiter.result.ready():
                waiter.result.set(message)
            elif isinstance(message, messages.GrantSlot) and message.number not in self._taken:
                # The grant arrived after its request ended.
                self._link.send(messages.ReleaseSlot(message.number, RunOutcome.CANCELLED))

    def _handle_close(self) -> None:
        self._feed.close()
        for waiter in list(self._waiters.values()):
            if not waiter.result.ready():
                waiter.result.set(None)
