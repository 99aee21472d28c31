"""The scheduler of one instance. It runs the decider and executes the actions it returns."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import gevent
from gevent.event import AsyncResult, Event
from loguru import logger

from clementinepin.core import ConfigurationChanged, Core, InstancesChanged, spawn_loop
from clementinepin.exceptions import NotRunError
from clementinepin.peers import PeerNetwork
from clementinepin.scheduling._decider import Decider
from clementinepin.scheduling._describe import describe_decider
from clementinepin.scheduling._messenger import SchedulerMessenger
from clementinepin.scheduling._reports import ReportPoller
from clementinepin.scheduling.models import CallInfo, CallResult, Placement
from clementinepin.systems import crash_causes
from clementinepin.systems.actions import Action, Grant, Isolate, Preempt, Refuse, ReportDemand
from clementinepin.systems.allowance import create_policy
from clementinepin.systems.exceptions import SchedulerStoppedError
from clementinepin.systems.results import Ending
from clementinepin.tables import View, WaitingRow
from clementinepin.targets import Engine, TargetAddress

LOG_PREFIX = "scheduling:"
TICK_PERIOD_S = 0.05
IDLE_PERIOD_S = 0.25
REFRESH_PERIOD_S = 0.5
RETRY_AFTER_STOP_S = 1.0


class _Waiter(NamedTuple):
    row: WaitingRow
    result: AsyncResult


class GeventScheduler:
    """Component ``scheduling``: implements Scheduler with gevent around the Decider."""

    name = "scheduling"

    def __init__(
        self, core: Core, peers: PeerNetwork, create_engine: Callable[[TargetAddress], Engine]
    ) -> None:
        instance = core.settings.instance
        view = View(instance.name, instance.data_centre, instance.region, (instance.name,), None)
        policy = create_policy(core.settings.allowance_policy)
        self._core = core
        self._peers = peers
        self._decider = Decider(view, policy, core.settings.limits.queue_max, core.random)
        self._messenger = SchedulerMessenger(core, peers, self._decider, self._run_systems)
        self._poller = ReportPoller(self._decider, create_engine)
        self._waiters: dict[int, _Waiter] = {}
        self._preempted: dict[int, Event] = {}
        self._greenlets: list[gevent.Greenlet] = []
        self._submitted = Event()
        self._suspects_fetched = False
        self._stopped = False
        core.subscribe(ConfigurationChanged, lambda _event: self._refresh_view())
        core.subscribe(InstancesChanged, self._handle_instances)

    def start(self) -> None:
        """Start the loops for the tick, the view and the polls."""
        self._greenlets = [
            spawn_loop(self._tick, TICK_PERIOD_S, LOG_PREFIX),
            spawn_loop(self._refresh, REFRESH_PERIOD_S, LOG_PREFIX),
            gevent.spawn(self._poller.run),
        ]

    def stop(self, deadline: float) -> None:
        """Reject all waiting calls and end the loops."""
        self._stopped = True
        retry_at = self._core.clock.wall() + RETRY_AFTER_STOP_S
        for waiter in list(self._waiters.values()):
            self._decider.withdraw(waiter.row.waiting_id)
            waiter.result.set_exception(SchedulerStoppedError(retry_at=retry_at))
        self._waiters.clear()
        gevent.killall(self._greenlets, block=False)
        self._poller.stop()

    def describe_state(self) -> dict[str, Any]:
        """Return the state of targets, queues, accounts and suspects in JSON types."""
        clock = self._core.clock
        return describe_decider(self._decider, clock.monotonic(), clock.wall())

    def acquire(self, call: CallInfo) -> Placement:
        """Wait for a slot and return it.

        Raises a subclass of NotRunError if the call is rejected, which proves that it did not run.
        """
        if self._stopped:
            raise SchedulerStoppedError(retry_at=self._core.clock.wall() + RETRY_AFTER_STOP_S)
        clock = self._core.clock
        try:
            row = self._decider.submit(call, clock.monotonic(), clock.wall())
        except NotRunError as err:
            raise self._count_rejection(err) from None
        waiter = _Waiter(row, AsyncResult())
        self._waiters[row.waiting_id] = waiter
        self._submitted.set()
        self._run_systems()
        try:
            return waiter.result.get()
        except BaseException:
            self._cancel_wait(waiter)
            raise

    def report_first_token(self, ticket: int) -> None:
        """Record that the first token of an attempt arrived."""
        self._decider.record_first_token(ticket, self._core.clock.monotonic())

    def report_tokens(self, ticket: int, tokens: int) -> None:
        """Record the tokens that an attempt has received since the last call."""
        self._decider.record_tokens(ticket, tokens, self._core.clock.monotonic())

    def finish(self, ticket: int, result: CallResult) -> None:
        """Release the slot of an attempt.

        If the result changes a suspect, as the loss of the target does, broadcast the change to the
        live peers before returning.
        """
        clock = self._core.clock
        self._preempted.pop(ticket, None)
        ending = self._decider.finish(ticket, result, clock.monotonic(), clock.wall())
        if ending is None:
            return
        self._core.metrics.incr(f"scheduling.attempts.{result.value}")
        if ending.row.alone:
            self._messenger.release(ending.row.target, ending.row.call.fingerprint)
        if ending.leaving is not None:
            logger.info("{} Target {} is leaving.", LOG_PREFIX, ending.leaving)
            self._messenger.broadcast_leaving(ending.leaving)
        if ending.ejected is not None:
            self._core.metrics.incr("scheduling.ejected")
            logger.warning("{} Target {} is ejected.", LOG_PREFIX, ending.ejected)
        self._messenger.broadcast_crashes(ending)
        self._run_systems()
        self._broadcast_suspect(ending)

    def allow_retry(self, call: CallInfo, result: CallResult) -> float | None:
        """Return the monotonic time of the next attempt, or None when none is allowed."""
        clock = self._core.clock
        retry_at = self._decider.plan_retry(call, result, clock.monotonic(), clock.wall())
        name = "allowed" if retry_at is not None else "denied"
        self._core.metrics.incr(f"scheduling.retries.{name}")
        return retry_at

    def count_batch_slots(self, application: str) -> int:
        """Return the number of free batch slots for an application on owned targets."""
        return self._decider.count_batch_slots(application, self._core.clock.monotonic())

    def _cancel_wait(self, waiter: _Waiter) -> None:
        """Withdraw a call, and release the slot if one was granted in the meantime."""
        self._waiters.pop(waiter.row.waiting_id, None)
        self._decider.withdraw(waiter.row.waiting_id)
        if waiter.result.successful():
            self.finish(waiter.result.value.ticket, CallResult.CANCELLED)

    def _refresh(self) -> None:
        """Refresh the view and metrics, expire rows, and fetch suspects once after the start."""
        self._refresh_view()
        clock = self._core.clock
        self._decider.expire(clock.monotonic(), clock.wall())
        self._log_causes()
        if not self._suspects_fetched:
            self._suspects_fetched = self._messenger.fetch_suspects()
        self._core.metrics.gauge("scheduling.online_waiting", len(self._decider.tables.online))
        self._core.metrics.gauge("scheduling.batch_waiting", len(self._decider.tables.batch))

    def _log_causes(self) -> None:
        for change in crash_causes.take_changes(self._decider.tables.crashes):
            state = "crash targets" if change.is_known else "crash no targets any more"
            parts = sorted(change.traits)
            logger.warning("{} Prompt parts {} {}.", LOG_PREFIX, parts, state)

    def _refresh_view(self) -> None:
        """Update the view if the live instances or the configuration changed."""
        current = self._decider.view
        live = tuple(self._peers.list_live())
        view = current._replace(live=live, configuration=self._core.configuration)
        if view != current:
            self._decider.set_view(view)
            self._run_systems()

    def _handle_instances(self, event: InstancesChanged) -> None:
        self._decider.set_targets(event.rows)
        self._refresh_view()
        self._run_systems()

    def _tick(self) -> None:
        """Run the systems. If no call waits or runs, wait up to IDLE_PERIOD_S for one."""
        self._submitted.clear()
        self._run_systems()
        if self._decider.is_idle():
            self._submitted.wait(IDLE_PERIOD_S)

    def _run_systems(self) -> None:
        """Run all systems once and execute the resulting actions."""
        clock = self._core.clock
        for action in self._decider.tick(clock.monotonic(), clock.wall()):
            self._execute(action)

    def _execute(self, action: Action) -> None:
        match action:
            case Grant():
                self._execute_grant(action)
            case Refuse():
                self._execute_rejection(action)
            case Preempt():
                self._execute_preemption(action)
            case ReportDemand():
                self._messenger.send_demand(action)
            case Isolate():
                gevent.spawn(self._execute_isolation, action)

    def _execute_grant(self, grant: Grant) -> None:
        waiter = self._waiters.pop(grant.waiting_id, None)
        target = self._decider.tables.targets.get(grant.target)
        if waiter is None or target is None:
            self.finish(grant.ticket, CallResult.CANCELLED)
            return
        preempted = Event()
        self._preempted[grant.ticket] = preempted
        waiter.result.set(Placement(grant.ticket, target.address, preempted))

    def _execute_rejection(self, rejection: Refuse) -> None:
        waiter = self._waiters.pop(rejection.waiting_id, None)
        if waiter is not None:
            waiter.result.set_exception(self._count_rejection(rejection.error))

    def _execute_preemption(self, preempt: Preempt) -> None:
        self._core.metrics.incr("scheduling.preempted")
        event = self._preempted.get(preempt.ticket)
        if event is not None:
            event.set()

    def _execute_isolation(self, action: Isolate) -> None:
        """Request a target for a suspect; grant it, or delay the next request."""
        waiter = self._waiters.get(action.waiting_id)
        if waiter is None:
            return
        call = waiter.row.call
        now = self._core.clock.monotonic()
        granted = self._messenger.isolate(action.target, call.fingerprint, call.deadline - now)
        now = self._core.clock.monotonic()
        grant = self._decider.grant_isolated(waiter.row, action.target, now) if granted else None
        if grant is not None:
            logger.info("{} Suspect request runs isolated on {}.", LOG_PREFIX, action.target)
            self._execute_grant(grant)
            return
        if granted:
            self._messenger.release(action.target, call.fingerprint)
        self._decider.delay_isolation(action.waiting_id, action.target, now)

    def _broadcast_suspect(self, ending: Ending) -> None:
        """Log and broadcast the suspect row that a finished call changed, if any."""
        row = ending.suspect
        if row is None:
            return
        if row.condemned:
            self._core.metrics.incr("scheduling.condemned")
            logger.warning("{} Request {} is condemned.", LOG_PREFIX, row.fingerprint)
        elif row.cleared_at == 0.0:
            self._core.metrics.incr("scheduling.suspects")
            logger.warning(
                "{} Request {} is suspected of killing targets.", LOG_PREFIX, row.fingerprint
            )
        self._messenger.broadcast_suspect(row)

    def _count_rejection(self, error: NotRunError) -> NotRunError:
        """Count a rejected call and convert its retry time from monotonic to wall-clock seconds."""
        self._core.metrics.incr(f"scheduling.refused.{error.code}")
        if error.retry_at is not None:
            clock = self._core.clock
            error.retry_at += clock.wall() - clock.monotonic()
        return error


def create_scheduler(
    core: Core, peers: PeerNetwork, create_engine: Callable[[TargetAddress], Engine]
) -> GeventScheduler:
    """Return the component ``scheduling``."""
    return GeventScheduler(core, peers, create_engine)
