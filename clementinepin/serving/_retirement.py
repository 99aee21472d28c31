"""Retires this instance on an operator's order.

The instance holds no state that others lack, so it only has to stop taking work.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import gevent
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.containment import keep_running
from clementinepin.infrastructure import Change, KeyValue, StateStore
from clementinepin.serving.models import InstanceSettings
from clementinepin.serving.store import StoreFollower
from clementinepin.serving.wire import Wire

HAND_OVER_S: Final = 1.0  # other instances see the leaving mark within milliseconds
RETRY_S: Final = 0.3


class Retirement:
    """Follows retirement orders for this instance and reports their state in the store."""

    def __init__(
        self,
        settings: InstanceSettings,
        store: StateStore,
        wire: Wire,
        clock: Clock,
        leave: Callable[[], None],
    ) -> None:
        self._name = settings.name
        self._store = store
        self._wire = wire
        self._leave = leave
        self._ordered = False
        prefix = wire.retire_prefix + settings.name
        self._follower = StoreFollower(store, prefix, self, clock)

    def start(self) -> None:
        """Start to follow orders."""
        gevent.spawn(keep_running, "retirement_follower", self._follower.run)

    def replace_rows(self, rows: list[KeyValue]) -> None:
        """Handle the order for this instance, if there is one."""
        for row in rows:
            self.apply_change(row.key, row.value, row.version)

    def apply_change(self, key: str, value: bytes | None, version: int) -> None:
        """Start to leave at the first order for this instance; ignore later ones."""
        if value is None or self._ordered or self._wire.read_retirement(key) != self._name:
            return
        self._ordered = True
        logger.bind(store_version=version).info("retirement_ordered")
        gevent.spawn(keep_running, "retirement", self._retire)

    def _retire(self) -> None:
        self._report(done=False)
        self._leave()
        gevent.sleep(HAND_OVER_S)
        self._report(done=True)
        logger.info("retirement_done")

    def _report(self, *, done: bool) -> None:
        """Write the state, so that no report that was sent before can still replace it."""
        key, value = self._wire.make_retirement(self._name, done=done)
        while True:
            try:
                row = self._store.get(key)
                self._store.write(Change({key: row.version if row else 0}, {key: value}))
                return
            except ClementinepinError as err:
                logger.bind(error=str(err)).info("retirement_not_reported")
                gevent.sleep(RETRY_S)
