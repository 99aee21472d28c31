"""Polls load reports and cache events of the targets that this instance follows."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.pool import Pool
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.scheduling._decider import Decider
from clementinepin.tables import TargetRow
from clementinepin.targets import CacheEvent, Engine, TargetAddress

LOG_PREFIX = "scheduling:"
POLLS_PER_S = 2.0
POLLS_UNREADY_PER_S = 8.0
POLL_PERIOD_MIN_S = 0.5
UNREADY_POLLS_MAX = 20
POLLS_PARALLEL = 8
PREFIXES_MAX = 512
KIND_ENGINE = "engine"


class ReportPoller:
    """Polls the followed targets in turn, at a limited rate for each instance."""

    def __init__(self, decider: Decider, create_engine: Callable[[TargetAddress], Engine]) -> None:
        self._decider = decider
        self._create_engine = create_engine
        self._engines: dict[TargetAddress, Engine] = {}
        self._sequences: dict[TargetAddress, int] = {}
        self._unready_polls: dict[TargetAddress, int] = {}
        self._busy: set[TargetAddress] = set()
        self._pool = Pool(POLLS_PARALLEL)

    def run(self) -> None:
        """Poll forever, in turn and evenly spaced.

        A poll is skipped while POLLS_PARALLEL others run. If all polls started at once, the last
        targets of the list would never be polled.
        """
        while True:
            rows = self._list_followed()
            pause_s = max(POLL_PERIOD_MIN_S / (len(rows) or 1), 1 / self._choose_rate(rows))
            for row in rows:
                self._spawn_poll(row)
                gevent.sleep(pause_s)
            if not rows:
                gevent.sleep(POLL_PERIOD_MIN_S)

    def _choose_rate(self, rows: list[TargetRow]) -> float:
        """Return the polls per second.

        The rate is higher while a new target has not reported its models, for at most
        UNREADY_POLLS_MAX rounds, so that a target that never responds does not keep it high.
        """
        unready = {row.address for row in rows if row.report is None or not row.report.models}
        self._unready_polls = {a: self._unready_polls.get(a, 0) + 1 for a in unready}
        awaits_models = any(polls <= UNREADY_POLLS_MAX for polls in self._unready_polls.values())
        return POLLS_UNREADY_PER_S if awaits_models else POLLS_PER_S

    def stop(self) -> None:
        """Cancel the polls in progress."""
        self._pool.kill(block=False)

    def _list_followed(self) -> list[TargetRow]:
        """Return the engines to poll, and drop the clients of engines no longer followed."""
        view, tables = self._decider.view, self._decider.tables
        if view.configuration is None:
            return []
        followed = []
        for spec in view.configuration.services.values():
            if spec.kind != KIND_ENGINE:
                continue
            followed_names = tables.owned.union(tables.followed.get(spec.name, ()))
            pool = tables.targets.list_service(spec.name)
            followed += [row for row in pool if row.name in followed_names]
        addresses = {row.address for row in followed}
        self._engines = {a: e for a, e in self._engines.items() if a in addresses}
        self._sequences = {a: s for a, s in self._sequences.items() if a in addresses}
        return followed

    def _spawn_poll(self, row: TargetRow) -> None:
        """Start a poll, unless one of this target is running or POLLS_PARALLEL others are."""
        if row.address in self._busy or self._pool.full():
            return
        self._busy.add(row.address)
        self._pool.spawn(self._poll, row)

    def _poll(self, row: TargetRow) -> None:
        """Fetch the load report and cache events of a target; failures are only logged."""
        engine = self._engines.get(row.address) or self._create_engine(row.address)
        self._engines[row.address] = engine
        try:
            report = engine.fetch_load()
            self._decider.tables.targets.update(row.name, report=report)
            after = self._sequences.get(row.address, 0)
            self._record_events(row, engine.fetch_cache_events(after))
        except ClementinepinError as err:
            logger.debug("{} No load report from {}: {}.", LOG_PREFIX, row.name, err.code)
        finally:
            self._busy.discard(row.address)

    def _record_events(self, row: TargetRow, events: list[CacheEvent]) -> None:
        """Record which prefixes a target has cached, as hints for routing.

        A gap in the sequence means lost events, so the prefixes known before are discarded.
        """
        if not events:
            return
        current = self._decider.tables.targets.get(row.name)
        if current is None:
            return
        after = self._sequences.get(row.address, 0)
        prefixes = dict.fromkeys(current.cached_prefixes if events[0].sequence == after + 1 else ())
        for event in events:
            prefixes.pop(event.prefix_hash, None)
            if event.stored:
                prefixes[event.prefix_hash] = None
        self._sequences[row.address] = events[-1].sequence
        newest = frozenset(list(prefixes)[-PREFIXES_MAX:])
        self._decider.tables.targets.update(row.name, cached_prefixes=newest)
