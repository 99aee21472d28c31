"""Messages between the schedulers of all instances: sends them and handles received ones."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import Any

import gevent
from loguru import logger

from clementinepin.core import Core
from clementinepin.peers import PeerNetwork
from clementinepin.peers.exceptions import PeerMessageInvalidError, PeerUnavailableError
from clementinepin.scheduling import _messages as messages
from clementinepin.scheduling._decider import Decider
from clementinepin.systems import crash_causes, isolation, quarantine
from clementinepin.systems.actions import ReportDemand
from clementinepin.systems.demand import DEMAND_TTL_S, forget_reported
from clementinepin.systems.results import REFUSED_LEAVING_S, Ending
from clementinepin.tables import DemandRow, SuspectRow

LOG_PREFIX = "scheduling:"
CALL_TIMEOUT_S = 0.5
BROADCAST_TIMEOUT_S = 0.3
ISOLATE_TIMEOUT_S = 2.0
DRAIN_MAX_S = 1.0
DRAIN_POLL_PERIOD_S = 0.01


class SchedulerMessenger:
    """Exchanges demand, suspects, leaving targets and isolation with the other schedulers.

    ``run_systems`` is called after a message has changed the tables.
    """

    def __init__(
        self, core: Core, peers: PeerNetwork, decider: Decider, run_systems: Callable[[], None]
    ) -> None:
        self._core = core
        self._peers = peers
        self._decider = decider
        self._run_systems = run_systems
        self._pending: defaultdict[str, dict[str, ReportDemand]] = defaultdict(dict)
        self._sending: set[str] = set()
        peers.register(messages.METHOD_DEMAND, self._receive_demands)
        peers.register(messages.METHOD_CLOSE, self._receive_close)
        peers.register(messages.METHOD_LEAVING, self._receive_leaving)
        peers.register(messages.METHOD_SUSPECT, self._receive_suspects)
        peers.register(messages.METHOD_LIST_SUSPECTS, self._receive_list_suspects)
        peers.register(messages.METHOD_CRASHES, self._receive_crashes)
        peers.register(messages.METHOD_ISOLATE, self._receive_isolate)
        peers.register(messages.METHOD_RELEASE, self._receive_release)

    def send_demand(self, report: ReportDemand) -> None:
        """Send the demand at a target to the target's owner, without waiting for the reply.

        While a message to an owner is in flight, the newest report is kept for the next message.
        """
        self._pending[report.owner][report.target] = report
        if report.owner in self._sending:
            return
        self._sending.add(report.owner)
        gevent.spawn(self._send_pending, report.owner)

    def broadcast_suspect(self, row: SuspectRow) -> None:
        """Send a suspect to all live instances; waits at most BROADCAST_TIMEOUT_S for replies."""
        message = messages.SuspectsMessage(suspects=[messages.encode_suspect(row)])
        self._broadcast(messages.METHOD_SUSPECT, message, BROADCAST_TIMEOUT_S)

    def broadcast_crashes(self, ending: Ending) -> None:
        """Send to all live instances what a finished call tells of parts that crash targets."""
        broken = [messages.encode_broken_run(ending.broken)] if ending.broken else []
        cleared = (
            [messages.PartsMessage(service=ending.row.call.service, parts=sorted(ending.cleared))]
            if ending.cleared
            else []
        )
        if broken or cleared:
            message = messages.CrashesMessage(broken=broken, cleared=cleared)
            gevent.spawn(self._broadcast, messages.METHOD_CRASHES, message, BROADCAST_TIMEOUT_S)

    def broadcast_leaving(self, target: str) -> None:
        """Send to all live instances that a target refused a call because it is leaving."""
        message = messages.LeavingMessage(target=target)
        gevent.spawn(self._broadcast, messages.METHOD_LEAVING, message, BROADCAST_TIMEOUT_S)

    def fetch_suspects(self) -> bool:
        """Merge the suspects of the first peer that replies; return False if none does."""
        own = self._core.settings.instance.name
        for peer in [name for name in self._peers.list_live() if name != own]:
            try:
                reply = self._call(peer, messages.METHOD_LIST_SUSPECTS, {}, CALL_TIMEOUT_S)
                self._receive_suspects(peer, reply)
            except (PeerUnavailableError, PeerMessageInvalidError) as err:
                logger.debug("{} No suspects from {}: {}.", LOG_PREFIX, peer, err)
                continue
            return True
        return False

    def isolate(self, target: str, fingerprint: str, remaining_s: float) -> bool:
        """Request that the owner closes a target for a suspect, for at most ``remaining_s``.

        Return whether the owner closed it. The owner replies when no other call runs at the target,
        or after DRAIN_MAX_S.
        """
        message = messages.IsolateMessage(
            target=target, fingerprint=fingerprint, remaining_s=remaining_s
        )
        own = self._core.settings.instance.name
        owner = self._decider.tables.owners.get(target)
        if owner is None:
            return False
        if owner == own:
            return bool(self._receive_isolate(own, dict(message))["granted"])
        try:
            reply = self._call(owner, messages.METHOD_ISOLATE, message, ISOLATE_TIMEOUT_S)
        except PeerUnavailableError:
            return False
        return bool(reply.get("granted"))

    def release(self, target: str, fingerprint: str) -> None:
        """Release an isolated target at its owner, without waiting for the reply.

        If the message is lost, the isolation ends at its deadline.
        """
        message = messages.IsolateMessage(target=target, fingerprint=fingerprint, remaining_s=0.0)
        own = self._core.settings.instance.name
        owner = self._decider.tables.owners.get(target)
        if owner == own:
            self._receive_release(own, dict(message))
            return
        if owner is not None:
            gevent.spawn(self._try_call, owner, messages.METHOD_RELEASE, message, CALL_TIMEOUT_S)

    def _call(
        self, peer: str, method: str, message: Mapping[str, Any], timeout_s: float
    ) -> dict[str, Any]:
        deadline = self._core.clock.monotonic() + timeout_s
        return self._peers.call(peer, method, message, deadline=deadline)

    def _try_call(
        self, peer: str, method: str, message: Mapping[str, Any], timeout_s: float
    ) -> bool:
        try:
            self._call(peer, method, message, timeout_s)
        except PeerUnavailableError as err:
            logger.debug("{} No reply from peer {}: {}.", LOG_PREFIX, peer, err.code)
            return False
        return True

    def _broadcast(self, method: str, message: Mapping[str, Any], timeout_s: float) -> None:
        """Call a method on all other live instances and wait for the replies."""
        own = self._core.settings.instance.name
        calls = [
            gevent.spawn(self._try_call, peer, method, message, timeout_s)
            for peer in self._peers.list_live()
            if peer != own
        ]
        gevent.joinall(calls, timeout=timeout_s)

    def _send_pending(self, owner: str) -> None:
        """Send the pending demand reports for an owner until none is left."""
        try:
            while self._pending[owner]:
                reports = self._pending.pop(owner)
                self._send_demands(owner, reports)
        finally:
            self._sending.discard(owner)

    def _send_demands(self, owner: str, reports: dict[str, ReportDemand]) -> None:
        """Send demand reports to an owner and record the other instances' counts in its reply."""
        message = messages.DemandsMessage(
            demands=[self._create_demand_message(report) for report in reports.values()]
        )
        try:
            raw = self._call(owner, messages.METHOD_DEMAND, message, CALL_TIMEOUT_S)
            reply = messages.read_message(raw, messages.DemandsReply)
        except (PeerUnavailableError, PeerMessageInvalidError) as err:
            logger.debug("{} No demand of others from {}: {}.", LOG_PREFIX, owner, err)
            # The owner may not have the counts, so the next tick sends them again.
            for target in reports:
                forget_reported(self._decider.tables, target)
            return
        now = self._core.clock.monotonic()
        for target, others in reply["others"].items():
            online_reported = reports[target].online if target in reports else None
            self._decider.record_others(target, online_reported, others, now)
        self._run_systems()

    def _create_demand_message(self, report: ReportDemand) -> messages.DemandMessage:
        measures = self._decider.tables.measures.get(report.target)
        return messages.DemandMessage(
            target=report.target,
            online=report.online,
            waiting=report.waiting,
            first_token_s=measures.first_token_s,
            between_tokens_s=measures.between_tokens_s,
        )

    def _receive_demands(self, sender: str, raw: dict[str, Any]) -> messages.DemandsReply:
        message = messages.read_message(raw, messages.DemandsMessage)
        now = self._core.clock.monotonic()
        for item in message["demands"]:
            row = DemandRow(
                item["online"],
                item["waiting"],
                item["first_token_s"],
                item["between_tokens_s"],
                now + DEMAND_TTL_S,
            )
            self._decider.receive_demand(sender, item["target"], row)
        self._run_systems()
        return messages.DemandsReply(others=self._decider.count_others(sender, now))

    def _receive_close(self, sender: str, raw: dict[str, Any]) -> dict[str, Any]:
        message = messages.read_message(raw, messages.CloseMessage)
        until = self._core.clock.monotonic() + message["remaining_s"]
        self._decider.tables.targets.update(message["target"], closed_until=until)
        self._run_systems()
        return {}

    def _receive_leaving(self, sender: str, raw: dict[str, Any]) -> dict[str, Any]:
        message = messages.read_message(raw, messages.LeavingMessage)
        until = self._core.clock.monotonic() + REFUSED_LEAVING_S
        self._decider.tables.targets.update(message["target"], refused_until=until)
        self._run_systems()
        return {}

    def _receive_suspects(self, sender: str, raw: dict[str, Any]) -> dict[str, Any]:
        message = messages.read_message(raw, messages.SuspectsMessage)
        wall = self._core.clock.wall()
        for item in message["suspects"]:
            row = messages.decode_suspect(item)
            quarantine.merge_suspect(self._decider.tables.suspects, row, wall)
        now = self._core.clock.monotonic()
        for cause in message.get("causes", ()):
            crash_causes.merge_cause(
                self._decider.tables.crashes,
                cause["service"],
                frozenset(cause["parts"]),
                now - cause.get("age_s", 0.0),
                now,
                cause.get("failed_trials", 1),
                was_sound=cause.get("was_sound", False),
            )
        self._run_systems()
        return {}

    def _receive_list_suspects(
        self, sender: str, message: dict[str, Any]
    ) -> messages.SuspectsMessage:
        rows = self._decider.tables.suspects
        now = self._core.clock.monotonic()
        causes = [
            messages.CauseMessage(
                service=service,
                parts=sorted(cause.traits),
                age_s=max(0.0, now - crash_causes.get_found_at(cause)),
                failed_trials=cause.failed_trials,
                was_sound=cause.was_sound,
            )
            for service, crashes in self._decider.tables.crashes.services.items()
            for cause in crashes.causes.values()
        ]
        suspects = [messages.encode_suspect(row) for row in rows]
        return messages.SuspectsMessage(suspects=suspects, causes=causes)

    def _receive_crashes(self, sender: str, raw: dict[str, Any]) -> dict[str, Any]:
        message = messages.read_message(raw, messages.CrashesMessage)
        now = self._core.clock.monotonic()
        crashes = self._decider.tables.crashes
        for item in message["broken"]:
            run = messages.decode_broken_run(item)
            crash_causes.record_crash(crashes, run, now - item["age_s"], is_foreign=True)
        for item in message["cleared"]:
            crash_causes.record_success(crashes, item["service"], frozenset(item["parts"]), now)
        self._run_systems()
        return {}

    def _receive_isolate(self, sender: str, raw: dict[str, Any]) -> messages.IsolateReply:
        """Close an owned target for a suspect at all instances and wait until it is drained."""
        message = messages.read_message(raw, messages.IsolateMessage)
        now = self._core.clock.monotonic()
        target, fingerprint = message["target"], message["fingerprint"]
        tables = self._decider.tables
        remaining_s = min(message["remaining_s"], isolation.ISOLATION_MAX_S)
        until = now + remaining_s
        if target not in tables.owned or not isolation.grant_isolation(
            tables, target, fingerprint, sender, until, now
        ):
            return messages.IsolateReply(granted=False)
        self._run_systems()
        close = messages.CloseMessage(target=target, remaining_s=remaining_s)
        self._broadcast(messages.METHOD_CLOSE, close, BROADCAST_TIMEOUT_S)
        self._wait_drained(target, now + DRAIN_MAX_S)
        return messages.IsolateReply(granted=True)

    def _wait_drained(self, target: str, deadline: float) -> None:
        """Wait until no known call runs at a target, or until the monotonic deadline."""
        clock = self._core.clock
        while clock.monotonic() < deadline:
            if not isolation.count_running(self._decider.tables, target, clock.monotonic()):
                return
            gevent.sleep(DRAIN_POLL_PERIOD_S)

    def _receive_release(self, sender: str, raw: dict[str, Any]) -> dict[str, Any]:
        message = messages.read_message(raw, messages.IsolateMessage)
        now = self._core.clock.monotonic()
        target = message["target"]
        tables = self._decider.tables
        if isolation.release_isolation(tables, target, message["fingerprint"], now):
            close = messages.CloseMessage(target=target, remaining_s=0.0)
            gevent.spawn(self._broadcast, messages.METHOD_CLOSE, close, BROADCAST_TIMEOUT_S)
            self._run_systems()
        return {}
