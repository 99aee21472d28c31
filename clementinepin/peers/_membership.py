"""Membership over the network: probes, indirect probes by relays, and comparison of views."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
from loguru import logger

from clementinepin.core import InstancesChanged
from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.decoding import REASON_MAX_CHARS
from clementinepin.infrastructure import ListedInstance
from clementinepin.peers import _messages as messages
from clementinepin.peers.exceptions import (
    PeerMessageInvalidError,
    PeerReplyInvalidError,
    PeerUnavailableError,
)
from clementinepin.peers.models import PeerNetwork, Provider, Receiver
from clementinepin.systems import membership
from clementinepin.tables.membership import MembershipTable, MemberState

if TYPE_CHECKING:
    from clementinepin.core import Core

LOG_PREFIX = messages.LOG_PREFIX
UNREADABLE_ERRORS = (PeerMessageInvalidError, PeerReplyInvalidError)
METHOD_PROBE = "membership.probe"
METHOD_RELAY = "membership.relay"
METHOD_SYNC = "membership.sync"
METHOD_MERGE = "membership.merge"
SYNC_TIMEOUT_S = 3.0
SEED_BITS = 32


class MembershipService:
    """Keeps this instance's membership table and exchanges it with peers."""

    def __init__(self, core: Core, network: PeerNetwork) -> None:
        self._core = core
        self._network = network
        self._attachments: dict[str, tuple[Provider, Receiver]] = {}
        now = core.clock.monotonic()
        incarnation = int(core.clock.wall() * 1000)
        own = create_own_row(core)
        self.table: MembershipTable = membership.create_table(own, incarnation, now)
        network.register(METHOD_PROBE, self._handle_probe)
        network.register(METHOD_RELAY, self._handle_relay)
        network.register(METHOD_SYNC, self._handle_sync)
        network.register(METHOD_MERGE, self._handle_merge)
        core.subscribe(InstancesChanged, self._handle_instances)

    def attach(self, topic: str, provide: Provider, receive: Receiver) -> None:
        """Add a small message to each probe; ``receive`` gets those of the peers."""
        self._attachments[topic] = (provide, receive)

    def run_period(self) -> None:
        """Run one period: start a probe of one member without waiting for it."""
        now = self._core.clock.monotonic()
        target = membership.advance(self.table, now, self._core.random)
        if target is not None:
            gevent.spawn(self._probe, target)

    def _handle_instances(self, event: InstancesChanged) -> None:
        rows = [row for row in event.rows if row.service == messages.OWN_SERVICE]
        membership.merge_listed(self.table, rows)

    def _probe(self, target: str) -> None:
        """Probe a member. Compare views if they differ or the member was dead."""
        probed_at = self._core.clock.monotonic()
        row = self.table.rows.get(target)
        was_dead = row is not None and row.state == MemberState.DEAD
        try:
            differs = self._send_probe(target)
        except UNREADABLE_ERRORS as err:
            # A reply that this release can't decode still proves that the peer is alive.
            logger.warning("{} Reply of {} can't be read: {}.", LOG_PREFIX, target, err)
            return
        except PeerUnavailableError:
            self._handle_probe_failure(target, probed_at)
            return
        if differs or was_dead:
            self._sync(target)

    def _send_probe(self, target: str) -> bool:
        """Exchange rows with a member; return whether the whole views should be compared."""
        exchange = membership.create_exchange(self.table, target)
        deadline = self._core.clock.monotonic() + membership.PROBE_TIMEOUT_S
        message = messages.pack_exchange(exchange, self._collect_attachments())
        reply = self._network.call(target, METHOD_PROBE, message, deadline=deadline)
        return self._merge_exchange(target, reply)

    def _handle_probe_failure(self, target: str, probed_at: float) -> None:
        """Probe a member by relays, and suspect it if none of them got a reply."""
        self._core.metrics.incr("membership.probes_failed")
        relays = membership.choose_relays(self.table, target, self._core.random)
        probes = [gevent.spawn(self._probe_by_relay, relay, target) for relay in relays]
        gevent.joinall(probes)
        if any(greenlet.value for greenlet in probes):
            return
        row = self.table.rows.get(target)
        if row is not None and row.state == MemberState.ALIVE:
            logger.info("{} Instance {} is suspect: it replied to no probe.", LOG_PREFIX, target)
        membership.record_unanswered_probe(
            self.table, target, probed_at, self._core.clock.monotonic()
        )

    def _probe_by_relay(self, relay: str, target: str) -> bool:
        deadline = self._core.clock.monotonic() + 2 * membership.PROBE_TIMEOUT_S
        message = messages.RelayMessage(target=target)
        try:
            reply = self._network.call(relay, METHOD_RELAY, message, deadline=deadline)
            return bool(messages.read_message(reply, messages.RelayReply)["answered"])
        except ClementinepinError:
            return False

    def _sync(self, target: str) -> None:
        """Compare views with a member and exchange the rows that differ."""
        deadline = self._core.clock.monotonic() + SYNC_TIMEOUT_S
        digests = list(self.table.digests)
        seed = self._core.random.getrandbits(SEED_BITS)
        message = messages.SyncMessage(digests=digests, seed=seed)
        try:
            raw = self._network.call(target, METHOD_SYNC, message, deadline=deadline)
            reply = messages.read_message(raw, messages.SyncReply)
            own_rows = membership.select_differing(self.table, reply["digests"], seed)
            self._merge(target, reply["rows"])
            merge = messages.MergeMessage(rows=[messages.pack_row(row) for row in own_rows])
            self._network.call(target, METHOD_MERGE, merge, deadline=deadline)
        except ClementinepinError as err:
            logger.debug("{} Comparison of views with {} failed: {}.", LOG_PREFIX, target, err)

    def _handle_probe(self, sender: str, raw: dict[str, Any]) -> messages.ExchangeMessage:
        self._merge_exchange(sender, raw)
        exchange = membership.create_exchange(self.table, sender)
        return messages.pack_exchange(exchange, self._collect_attachments())

    def _handle_relay(self, sender: str, raw: dict[str, Any]) -> messages.RelayReply:
        message = messages.read_message(raw, messages.RelayMessage)
        try:
            self._send_probe(message["target"])
        except UNREADABLE_ERRORS:
            return messages.RelayReply(answered=True)
        except PeerUnavailableError:
            return messages.RelayReply(answered=False)
        return messages.RelayReply(answered=True)

    def _handle_sync(self, sender: str, raw: dict[str, Any]) -> messages.SyncReply:
        message = messages.read_message(raw, messages.SyncMessage)
        rows = membership.select_differing(self.table, message["digests"], message["seed"])
        return messages.SyncReply(
            rows=[messages.pack_row(row) for row in rows],
            digests=list(self.table.digests),
        )

    def _handle_merge(self, sender: str, raw: dict[str, Any]) -> dict[str, Any]:
        self._merge(sender, messages.read_message(raw, messages.MergeMessage)["rows"])
        return {}

    def _merge(self, sender: str, rows: list[Any]) -> None:
        unpacked = messages.unpack_rows(rows, sender)
        membership.merge_compared(self.table, unpacked, self._core.clock.monotonic())

    def _merge_exchange(self, sender: str, raw: dict[str, Any]) -> bool:
        """Merge a peer's rows and deliver attachments; return whether to compare whole views."""
        message = messages.read_message(raw, messages.ExchangeMessage)
        exchange = messages.unpack_exchange(message, sender)
        differs = membership.accept_exchange(self.table, exchange, self._core.clock.monotonic())
        for topic, attached in message["attached"].items():
            if topic in self._attachments:
                self._deliver(topic, sender, attached)
        return differs

    def _deliver(self, topic: str, sender: str, attached: Any) -> None:
        """Give an attachment to its receiver, whose failure is no failure of the probe."""
        try:
            self._attachments[topic][1](sender, attached)
        except Exception as err:
            reason = f"{type(err).__name__}: {err}"[:REASON_MAX_CHARS]
            logger.warning("{} Skipped {} of {}: {}.", LOG_PREFIX, topic, sender, reason)

    def _collect_attachments(self) -> dict[str, dict[str, Any]]:
        return {topic: dict(provide()) for topic, (provide, _) in self._attachments.items()}


def create_own_row(core: Core) -> ListedInstance:
    """Return the row of this instance, made from its settings."""
    own = core.settings.instance
    return ListedInstance(
        name=own.name,
        service=messages.OWN_SERVICE,
        address=own.address,
        port=own.port,
        peer_port=own.peer_port,
        data_centre=own.data_centre,
        region=own.region,
        state="live",
    )
