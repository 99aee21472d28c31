"""Confirms with the store that the software versions of all targets are known.

Load pattern: an instance is suspended or cut off for some seconds of a release, while streams begin
on targets of a version that it doesn't know. It can't tell by itself that its view is out of date,
and callers resume such streams there.
"""

from __future__ import annotations

from typing import Final

import gevent
from gevent.event import Event
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.clock import Clock
from clementinepin.serving._fleet import FleetView
from clementinepin.serving._version_records import VersionRecords
from clementinepin.tables.streams import StreamTable

CHECK_GAP_S: Final = 0.1  # between the starts of two checks; each costs two reads of the store
CONFIRM_TIMEOUT_S: Final = 0.5  # callers who are rejected after it still have time to come back


class _Check:
    """One reading of the targets and of the version record, which begins at ``started_at``."""

    def __init__(self) -> None:
        self.started_at = float("inf")
        self.ended = Event()


class VersionChecks:
    """Reads the targets and the version record on demand, once for all that wait for it.

    A check counts for what happened before it began. Versions whose targets came and went since the
    last one are in the record.

    Load pattern: all processes were killed, so that nobody remembers a stream, and all callers come
    back within a second.
    """

    def __init__(self, fleet: FleetView, records: VersionRecords, clock: Clock) -> None:
        self._fleet = fleet
        self._records = records
        self._clock = clock
        self._tables: list[StreamTable] = []
        self._running: _Check | None = None
        self._next_start_at = float("-inf")

    def add_table(self, streams: StreamTable) -> None:
        """Keep a table informed; until the first check its versions are not confirmed."""
        streams.confirmed_at = float("-inf")
        self._tables.append(streams)

    def confirm(self) -> None:
        """Wait until a check that began after this call has ended, or CONFIRM_TIMEOUT_S."""
        called_at = self._clock.monotonic()
        with gevent.Timeout(CONFIRM_TIMEOUT_S, False):
            while True:
                check = self._running or self._start()
                check.ended.wait()
                if check.started_at >= called_at:
                    return

    def _start(self) -> _Check:
        self._running = _Check()
        gevent.spawn(self._run, self._running)
        return self._running

    def _run(self, check: _Check) -> None:
        gevent.sleep(max(0.0, self._next_start_at - self._clock.monotonic()))
        check.started_at = self._clock.monotonic()
        self._next_start_at = check.started_at + CHECK_GAP_S
        try:
            self._fleet.read_targets()
            # Behind the targets: a version that is listed no more had time to be recorded.
            self._records.read_again()
            for streams in self._tables:
                streams.confirmed_at = check.started_at
        except ClementinepinError as err:
            logger.bind(error=str(err)).info("software_versions_not_confirmed")
        finally:
            self._running = None
            check.ended.set()
