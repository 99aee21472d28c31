"""Notices targets that don't begin to respond within the usual time."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.serving import _messages as messages
from clementinepin.serving._dispatcher_link import DispatcherLink
from clementinepin.serving._pools import TargetPools
from clementinepin.serving._slot_requests import Slot
from clementinepin.systems import estimates, target_health
from clementinepin.tables.dispatch import DispatchTable


class SilenceWatch:
    """Reports the targets that are silent for longer than usual, to the dispatcher and the table.

    ``name`` is that of this instance.
    """

    def __init__(
        self,
        name: str,
        table: DispatchTable,
        pools: TargetPools,
        link: DispatcherLink,
        clock: Clock,
    ) -> None:
        self._name = name
        self._table = table
        self._pools = pools
        self._link = link
        self._clock = clock
        self._response_times = estimates.ResponseTimes()

    @contextmanager
    def watch(
        self, slot: Slot, service: str, request_id: str, on_link_lost: Callable[[], bool]
    ) -> Iterator[None]:
        """Report the slot's target if the block, which waits for its response, takes long.

        If the own link to the target is lost, ``on_link_lost`` is called instead: the target may
        serve all others. It returns whether the response was to come by that link.
        """
        sent_at = self._clock.monotonic()
        silent_after_s = self._response_times.get_silent_after_s(service)
        timer = gevent.spawn_later(silent_after_s, self._report, slot, request_id, on_link_lost)
        try:
            yield
            self._response_times.record(service, self._clock.monotonic() - sent_at)
        finally:
            timer.kill(block=False)

    def _report(self, slot: Slot, request_id: str, on_link_lost: Callable[[], bool]) -> None:
        log = logger.bind(request_id=request_id, target=slot.target_id)
        if self._pools.is_link_silent(slot.target_id) and on_link_lost():
            log.info("target_link_silent")
            return
        log.bind(dispatcher=self._link.dispatcher_name).info("target_silent")
        key = (self._name, slot.number)
        target_health.record_silence(self._table, key, self._clock.monotonic())
        self._link.send(messages.ReportSilence(slot.number))
