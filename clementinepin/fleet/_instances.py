"""Reads the platform's instance list and sends changes to the other instances."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
from loguru import logger

from clementinepin.const import InstanceState
from clementinepin.core import InstancesChanged
from clementinepin.fleet import _messages as messages
from clementinepin.helpers.decoding import guard_decoder
from clementinepin.infrastructure import InstanceList, ListedInstance, is_reachable
from clementinepin.infrastructure.exceptions import PlatformUnavailableError
from clementinepin.peers import PeerNetwork
from clementinepin.systems import instances
from clementinepin.tables.instances import InstanceTable, ObservedRow

if TYPE_CHECKING:
    from clementinepin.core import Core

LOG_PREFIX = "instances:"
NAME_SHOWN_CHARS = 63


class InstanceService:
    """Keeps this instance's view of instances and targets, and publishes each change of it."""

    def __init__(self, core: Core, instance_list: InstanceList, peers: PeerNetwork) -> None:
        self._core = core
        self._list = instance_list
        self._peers = peers
        self._table = InstanceTable()
        self._was_live = False
        self._was_read = False
        peers.register(messages.METHOD_INSTANCES, self._handle_changes)

    def list_rows(self) -> tuple[ListedInstance, ...]:
        """Return the known instances and targets, sorted by name."""
        return self._table.list_rows()

    def run(self) -> None:
        """Read the list periodically until the greenlet is killed."""
        while True:
            try:
                self.read()
            except Exception as err:
                # The list is read for the life of the process.
                logger.opt(exception=err).error("{} Reading the list failed.", LOG_PREFIX)
            rows = len(self._table.rows)
            gevent.sleep(instances.choose_read_period(rows, self._core.random))

    def read(self) -> None:
        """Read the list once; the view stays unchanged if the list can't be read."""
        observed_at = self._core.clock.wall()
        try:
            rows = self._list.fetch()
        except PlatformUnavailableError as err:
            self._core.metrics.incr("instances.read_failed")
            logger.debug("{} Could not read the instance list: {}.", LOG_PREFIX, err)
            return
        is_first, self._was_read = not self._was_read, True
        changes = instances.merge_list(self._table, rows, observed_at)
        if not changes:
            return
        self._publish(changes)
        if is_first:
            # After the first read all rows are new to this instance only, so none is sent.
            return
        packed = [_pack_change(name, change) for name, change in changes.items()]
        self._peers.broadcast(messages.METHOD_INSTANCES, messages.InstancesMessage(changes=packed))

    def _handle_changes(self, sender: str, raw: dict[str, Any]) -> dict[str, Any]:
        message = messages.read_message(raw, messages.InstancesMessage)
        changes = {}
        for change in message["changes"]:
            try:
                changes[change["name"]] = _unpack_change(change)
            except msgspec.DecodeError as err:
                name = change["name"][:NAME_SHOWN_CHARS]
                logger.warning("{} Skipped {!r} of {}: {}.", LOG_PREFIX, name, sender, err)
        applied = instances.merge_changes(self._table, changes)
        if applied:
            self._publish(applied)
        return {}

    def _publish(self, changes: dict[str, ObservedRow]) -> None:
        for name, change in sorted(changes.items()):
            state = change.row.state if change.row else "gone"
            logger.debug("{} {} is {}.", LOG_PREFIX, name, state)
        self._core.publish(InstancesChanged(self.list_rows()))
        own = changes.get(self._core.settings.instance.name)
        if own is not None and own.row is not None:
            self._handle_own_state(own.row.state)

    def _handle_own_state(self, state: str) -> None:
        # The list lags: a leaving state may belong to an earlier process of the same name,
        # unless this process was listed as live before.
        if state == InstanceState.LIVE:
            self._was_live = True
        elif self._was_live and not self._core.draining:
            logger.info(
                "{} The platform lists this instance as leaving, starting to drain.", LOG_PREFIX
            )
            clock = self._core.clock
            self._core.drain(clock.monotonic() + self._core.settings.limits.drain_s)


def _pack_change(name: str, change: ObservedRow) -> messages.InstanceChange:
    row = list(change.row) if change.row is not None else None
    return messages.InstanceChange(name=name, row=row, observed_at=change.observed_at)


@guard_decoder
def _unpack_change(change: messages.InstanceChange) -> ObservedRow:
    if not math.isfinite(change["observed_at"]):
        raise ValueError(f"observed at {change['observed_at']}")
    if change["row"] is None:
        return ObservedRow(None, change["observed_at"])
    # A newer release may append fields; they are ignored.
    row = msgspec.convert(change["row"][: len(ListedInstance._fields)], ListedInstance)
    if not is_reachable(row):
        raise ValueError(f"its address is {row.address!r}:{row.port}")
    return ObservedRow(row, change["observed_at"])
