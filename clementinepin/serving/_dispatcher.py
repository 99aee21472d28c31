"""Server side of dispatching: receives slot requests of all instances and sends the decisions.

The decisions themselves are made in ``clementinepin.systems.dispatching``.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final

import gevent
from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.helpers.containment import contain_failure, keep_running
from clementinepin.serving import _messages as messages
from clementinepin.serving._fleet import FleetView
from clementinepin.serving._links import Link, LinkServer
from clementinepin.serving._resumption_logs import log_resumption
from clementinepin.serving._slot_requests import (
    make_adopted_request,
    make_broken_run,
    make_pending_request,
)
from clementinepin.serving.models import DEFAULT_POLICY, Policy, Target
from clementinepin.systems import (
    crash_causes,
    dispatching,
    stream_versions,
    target_health,
    target_limits,
    waiting,
)
from clementinepin.systems.dispatch_actions import Action, Granted, Rejected, RunOutcome
from clementinepin.systems.service_load import list_services, measure_load
from clementinepin.tables.crashes import CauseChange
from clementinepin.tables.dispatch import DispatchTable, GrantKey, PendingRequest, TargetLoad
from clementinepin.tables.leaving import TargetStart

TICK_S: Final = 0.02  # longest delay of queue changes that only the passing of time causes
LOAD_LOG_PERIOD_S: Final = 0.5  # a peak of callers lasts a few seconds
KEEP_ALIVE_PERIOD_S: Final = 0.1  # clients drop a dispatcher after several missed keep-alives


class Dispatcher:
    """Grants, queues, rejects and preempts slots for all linked instances.

    Every job runner has one. The clients choose which of them they use. ``confirm_versions`` makes
    sure that the software versions of all targets are known; ``_unconfirmed`` has the requests that
    wait for it.
    """

    def __init__(
        self,
        links: LinkServer,
        fleet: FleetView,
        clock: Clock,
        rng: random.Random,
        policy: Policy = DEFAULT_POLICY,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._random = rng
        self._links = links.links
        self._next_keep_alive_at = 0.0
        self._next_load_log_at = 0.0
        self._ticker: gevent.Greenlet | None = None
        self.on_causes_changed: Callable[[list[CauseChange]], None] = lambda _changes: None
        self.confirm_versions: Callable[[], None] = lambda: None
        self.table = DispatchTable(policy.order, policy.disabled)
        self._unconfirmed: dict[GrantKey, PendingRequest] = {}
        links.handle(messages.Hello, self._handle_hello)
        links.handle(messages.RequestSlot, self._handle_request)
        links.handle(messages.SlotTaken, self._handle_slot_taken)
        links.handle(messages.ReleaseSlot, self._handle_release)
        links.handle(messages.ReportLoad, self._handle_load)
        links.handle(messages.ReportSilence, self._handle_silence)
        links.handle_close(self._release_all)
        self._reads_leaving: set[str] = set()
        fleet.targets.leaving_listeners.append(self._send_leaving)

    def start(self) -> None:
        """Follow the targets and start the periodic queue checks."""
        self._fleet.subscribe(self._update_targets)
        self._ticker = gevent.spawn(keep_running, "dispatcher_ticks", self._run_ticks)

    def stop(self) -> None:
        """Stop the periodic queue checks."""
        if self._ticker is not None:
            self._ticker.kill()

    def describe_state(self) -> dict[str, Any]:
        """Return the use of all slots by service."""
        now = self._clock.monotonic()
        return {
            name: measure_load(self.table, name, now)._asdict()
            for name in list_services(self.table)
        }

    def _handle_hello(self, link: Link, hello: messages.Hello) -> None:
        """Adopt the slots that an instance already uses, and preempt batch on overfull targets."""
        now = self._clock.monotonic()
        self._release_all(link.name)
        for stream in hello.streams:
            self._record_stream(stream)
        for run in hello.broken_runs:
            broken_run = make_broken_run(link.name, run)
            at = now - run.age_s
            crash_causes.record_crash(self.table.crashes, broken_run, at, is_foreign=True)
        for target_id, limit_per_s in hello.limits_per_s.items():
            if target_id in self.table.targets:
                target_limits.name_limit(self.table.targets[target_id], limit_per_s, now)
        for slot in hello.slots:
            adopted = make_adopted_request(link.name, slot, now)
            dispatching.adopt_grant(self.table, adopted, slot.target_id, now, starts_now=False)
        self._exchange_leaving(link, hello)
        link.send(messages.SlotQueued())  # first data for the client: proves that this one responds
        for target in self.table.targets.values():
            self._send_actions(dispatching.preempt_surplus(target, now))

    def _exchange_leaving(self, link: Link, hello: messages.Hello) -> None:
        """Learn which targets leave, and tell the instance of those that it doesn't know."""
        if hello.leaving is None:
            self._reads_leaving.discard(link.name)
            return
        self._reads_leaving.add(link.name)
        targets = self._fleet.targets
        for start in set(targets.list_leaving()).difference(hello.leaving):
            link.send(messages.TargetLeaving(*start))
        for start in hello.leaving:
            targets.record_leaving(start, member=link.name)

    def _send_leaving(self, start: TargetStart) -> None:
        """Tell all instances that a target leaves."""
        for name in self._reads_leaving & self._links.keys():
            self._links[name].send(messages.TargetLeaving(*start))

    def _handle_request(self, link: Link, message: messages.RequestSlot) -> None:
        now = self._clock.monotonic()
        pending = make_pending_request(link.name, message, now)
        if stream_versions.needs_confirmation(self.table, pending, now):
            self._unconfirmed[pending.key] = pending
            gevent.spawn(self._submit_confirmed, link, pending)
            link.send(messages.SlotQueued())
        else:
            self._submit(link, pending)

    def _submit_confirmed(self, link: Link, pending: PendingRequest) -> None:
        """Submit a request once all versions are known, unless it was withdrawn meanwhile."""
        with contain_failure("version_check", member=link.name):
            self.confirm_versions()
        # A request of the same number may be one of the instance's next process.
        if self._unconfirmed.get(pending.key) is pending:
            del self._unconfirmed[pending.key]
            with contain_failure("message", message="RequestSlot", member=link.name):
                self._submit(link, pending)

    def _submit(self, link: Link, pending: PendingRequest) -> None:
        now = self._clock.monotonic()
        log_resumption(self.table, pending, now)
        actions = dispatching.submit(self.table, pending, now, self._random)
        self._send_actions(actions)
        if not actions:
            link.send(messages.SlotQueued())

    def _handle_slot_taken(self, link: Link, message: messages.SlotTaken) -> None:
        """Adopt a slot taken by a local decision, and preempt batch if its target is overfull."""
        now = self._clock.monotonic()
        if message.stream is not None:
            self._record_stream(message.stream)
        adopted = make_adopted_request(link.name, message.slot, now)
        dispatching.adopt_grant(self.table, adopted, message.slot.target_id, now)
        target = self.table.targets.get(message.slot.target_id)
        if target is not None:
            self._send_actions(dispatching.preempt_surplus(target, now))

    def _handle_release(self, link: Link, message: messages.ReleaseSlot) -> None:
        now = self._clock.monotonic()
        outcome = read_outcome(message.outcome)
        key = (link.name, message.number)
        self._unconfirmed.pop(key, None)
        grant = self.table.grants.get(key)
        if grant is not None and not (grant.has_response or message.events):
            # No target has begun the stream; its instance may do so at another version.
            stream_versions.forget_stream(self.table, grant.new_stream_id)
        with self._log_avoidance(key, outcome):
            dispatching.finish(
                self.table, key, outcome, now, succeeded=message.succeeded, events=message.events
            )
        if grant is not None and outcome is RunOutcome.BROKEN:
            log = logger.bind(
                member=link.name, target=grant.target_id, ran_s=round(now - grant.started_at, 3)
            )
            log.bind(traits=sorted(grant.traits), events=message.events).info("run_broke")
        self._serve_queue()

    def _record_stream(self, stream: messages.StreamVersion) -> None:
        now = self._clock.monotonic()
        stream_versions.record_stream(
            self.table,
            stream.stream_id,
            stream.software_version,
            now + stream.ttl_s,
            now,
            stream.service,
        )

    def _handle_load(self, link: Link, message: messages.ReportLoad) -> None:
        now = self._clock.monotonic()
        key = (link.name, message.number)
        grant = self.table.grants.get(key)
        if message.leaving_started_at_ms is not None and grant is not None:
            start = TargetStart(grant.target_id, message.leaving_started_at_ms)
            self._fleet.targets.record_leaving(start, member=link.name)
        if target_limits.record_limit(self.table, key, message.limit_per_s, now):
            log = logger.bind(target=self.table.grants[key].target_id, member=link.name)
            log.bind(limit_per_s=message.limit_per_s).info("target_limit_changed")
        self._send_actions(dispatching.record_load(self.table, key, message.reported, now))

    def _handle_silence(self, link: Link, message: messages.ReportSilence) -> None:
        key = (link.name, message.number)
        with self._log_avoidance(key, "silent"):
            target_health.record_silence(self.table, key, self._clock.monotonic())

    @contextmanager
    def _log_avoidance(self, key: GrantKey, reason: str) -> Iterator[None]:
        """Log if the block, which handles an instance's report, makes a target avoided."""
        grant = self.table.grants.get(key)
        target = self.table.targets.get(grant.target_id) if grant is not None else None
        avoided_until = target.avoid_until if target is not None else 0.0
        yield
        if target is not None and target.avoid_until > avoided_until:
            for_s = round(target.avoid_until - self._clock.monotonic(), 3)
            log = logger.bind(target=target.target_id, member=key[0], reason=reason)
            log.bind(for_s=for_s).info("target_avoided")

    def _send_actions(self, actions: list[Action]) -> None:
        for action in actions:
            name, number = action.key
            link = self._links.get(name)
            if link is None:
                continue
            if isinstance(action, Granted):
                target = self.table.targets[action.target_id]
                limit_per_s = target.limit.per_s if target.limit is not None else None
                grant = messages.GrantSlot(
                    number, target.target_id, target.software_version, limit_per_s
                )
                link.send(grant)
            elif isinstance(action, Rejected):
                link.send(messages.RejectSlot(number, *action[1:]))
            else:
                link.send(messages.PreemptSlot(number))

    def _serve_queue(self) -> None:
        if self.table.waiting or self.table.items:
            now = self._clock.monotonic()
            self._send_actions(dispatching.serve_queue(self.table, now, self._random))

    def _run_ticks(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            with contain_failure("dispatcher_queue"):
                dispatching.expire_preemptions(self.table, self._clock.monotonic())
                self._serve_queue()
            now = self._clock.monotonic()
            with contain_failure("dispatcher_reports"):
                self._log_load(now)
                self._report_causes(now)
            if now >= self._next_keep_alive_at:
                self._next_keep_alive_at = now + KEEP_ALIVE_PERIOD_S
                for name in {key[0] for key in self.table.list_waiting()}:
                    if name in self._links:
                        self._links[name].send(messages.SlotQueued())

    def _log_load(self, now: float) -> None:
        """Log how the slots are used, once per LOAD_LOG_PERIOD_S while any is in use."""
        if now < self._next_load_log_at or not (self.table.grants or self.table.list_waiting()):
            return
        self._next_load_log_at = now + LOAD_LOG_PERIOD_S
        for name in list_services(self.table):
            pressure = round(waiting.measure_pressure(self.table, name, now), 2)
            load = measure_load(self.table, name, now)._asdict()
            logger.bind(service=name, pressure=pressure, **load).info("dispatcher_load")

    def _report_causes(self, now: float) -> None:
        """Log and pass on what is now taken for a cause of crashes, and what no longer is."""
        if self._links:  # without any, no request of a live cause comes here
            crash_causes.expire(self.table.crashes, now)
        changes = crash_causes.take_changes(self.table.crashes)
        self.on_causes_changed(changes)
        for change in changes:
            log = logger.bind(service=change.service, traits=sorted(change.traits))
            log = log.bind(failed_trials=change.failed_trials)
            log.warning("crash_cause_known" if change.is_known else "crash_cause_cleared")
        for end in crash_causes.take_trial_ends(self.table.crashes):
            log = logger.bind(service=end.service, traits=sorted(end.traits), member=end.key[0])
            log.bind(outcome=str(end.outcome)).info("crash_cause_tried")

    def _release_all(self, name: str) -> None:
        """Release an instance's slots and requests; its next hello, if any, lists slots in use."""
        now = self._clock.monotonic()
        for key in [key for key in self._unconfirmed if key[0] == name]:
            del self._unconfirmed[key]
        dispatching.forget_streams_in_doubt(self.table, name)
        for key in [k for k in (*self.table.grants, *self.table.list_waiting()) if k[0] == name]:
            dispatching.finish(self.table, key, RunOutcome.CANCELLED, now)

    def _update_targets(self) -> None:
        update_targets(self.table, self._fleet.targets.rows, self._clock.monotonic())
        self._serve_queue()


def read_outcome(text: str) -> RunOutcome:
    """Return the outcome of a run; one that this build doesn't know must still free its slot."""
    try:
        return RunOutcome(text)
    except ValueError:
        logger.bind(outcome=text[:80]).warning("outcome_unknown")
        return RunOutcome.CANCELLED


def update_targets(table: DispatchTable, rows: dict[str, Target], now: float) -> None:
    """Update the table to the targets that are not draining.

    Grants on removed targets are dropped. A restarted target (another ``started_at_ms`` or software
    version) starts with an empty load.
    """
    versions = [(row.service, row.software_version) for row in rows.values()]
    stream_versions.record_versions(table, versions, now)
    usable = {k: row for k, row in rows.items() if not row.draining}
    for target_id in set(table.targets) - set(usable):
        for key in table.targets.pop(target_id).grants:
            table.grants.pop(key, None)
    for target_id, row in usable.items():
        current = table.targets.get(target_id)
        if (
            current is None
            or current.started_at_ms != row.started_at_ms
            or current.software_version != row.software_version
        ):
            load = TargetLoad(target_id, row.service, row.data_centre, row.slots)
            load.started_at_ms = row.started_at_ms
            load.software_version = row.software_version
            table.targets[target_id] = load
