"""Starts items of the owned shards on free batch slots, shared fairly between accounts."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from loguru import logger

from clementinepin.batch._items import ItemRunner, ItemWork
from clementinepin.batch._keeper import ShardKeeper
from clementinepin.batch._owned import OwnedShard
from clementinepin.core import Core
from clementinepin.exceptions import ClementinepinError
from clementinepin.systems.shard_order import AccountUse, JobCandidate, order_jobs

LOG_PREFIX = "batch:"
HELD_MAX_BYTES = 64_000_000
USE_HALF_LIFE_S = 60.0
FAILURE_PAUSE_S = 5.0
UNCONFIGURED_SLOTS = 4
STARVATION_TIMEOUT_S = 5.0


class ItemDispatcher:
    """Starts items, and gives their results or progress back to their shard."""

    def __init__(
        self,
        core: Core,
        keeper: ShardKeeper,
        runner: ItemRunner,
        count_slots: Callable[[str], int],
    ) -> None:
        self._core = core
        self._keeper = keeper
        self._runner = runner
        self._count_slots = count_slots
        self._starting: dict[str, int] = {}
        self._use: dict[str, float] = {}
        self._decayed_at = core.clock.monotonic()
        self._slots_seen_at: dict[str, float] = {}
        self.running = 0
        self.on_item_ended: Callable[[bool], None] = lambda _finished: None
        self.on_items_short: Callable[[], None] = lambda: None

    def count_free(self, application: str) -> int:
        """Return the number of free slots, less the started items that have no slot yet.

        An application that is not configured counts as ``UNCONFIGURED_SLOTS`` slots, so that its
        items run to wait for the configuration or to fail when due.
        """
        configuration = self._core.configuration
        if configuration is None:
            return 0
        is_configured = application in configuration.applications
        slots = self._count_slots(application) if is_configured else UNCONFIGURED_SLOTS
        return max(0, slots - self._starting.get(application, 0))

    def list_use(self) -> dict[str, AccountUse]:
        """Return the recent service and the weight of each account on this instance.

        The service counts started items and decays with a half-life of ``USE_HALF_LIFE_S``.
        """
        configuration = self._core.configuration
        accounts = configuration.accounts if configuration else {}
        weights = {name: accounts[name].weight for name in self._use if name in accounts}
        return {n: AccountUse(use, weights.get(n, 1.0)) for n, use in self._use.items()}

    def step(self) -> None:
        """Start as many items as there are free slots, and release starved shards.

        Starts nothing while uncommitted results fill ``HELD_MAX_BYTES``.
        """
        now = self._core.clock.monotonic()
        self._decay_use(now)
        if self._core.configuration is None or self._keeper.held_bytes >= HELD_MAX_BYTES:
            return
        applications = {owned.job.application for owned in self._keeper.owned.values()}
        for application in sorted(applications):
            for _ in range(self.count_free(application)):
                if not self._start_next(application, now):
                    self.on_items_short()
                    break
            self._release_starved(application, now)

    def _release_starved(self, application: str, now: float) -> None:
        """Release the shards of an application that has had no slots here for a while.

        The targets of this instance may be gone for good, while lease renewals would keep the
        shards from other instances.
        """
        shards = [o for o in self._keeper.owned.values() if o.job.application == application]
        if self.count_free(application) or any(owned.running for owned in shards):
            self._slots_seen_at[application] = now
            return
        if now - self._slots_seen_at.setdefault(application, now) < STARVATION_TIMEOUT_S:
            return
        for owned in shards:
            owned.leaving = True

    def _start_next(self, application: str, now: float) -> bool:
        """Start the next item of an application; return whether there was one."""
        wall = self._core.clock.wall()
        shards = {
            owned.key: owned
            for owned in self._keeper.owned.values()
            if owned.waiting and owned.job.application == application and owned.is_open(wall)
        }
        for owned in _order_shards(shards, self.list_use(), wall):
            work = owned.take_item(now)
            if work is not None:
                account = owned.job.account
                self._use[account] = self._use.get(account, 0.0) + 1.0
                self._starting[application] = self._starting.get(application, 0) + 1
                gevent.spawn(self._run, owned, work)
                return True
        return False

    def _run(self, owned: OwnedShard, work: ItemWork) -> None:
        """Run an item once, and give its result or its progress back to the shard."""
        configuration = self._core.configuration
        application = owned.job.application
        self.running += 1
        result = None
        try:
            if configuration is not None:
                on_placed = _Once(lambda: self._handle_placed(application))
                try:
                    result = self._runner.run(work, owned.job.account, configuration, on_placed)
                finally:
                    # An item that ended without a slot no longer waits for one.
                    on_placed()
        except ClementinepinError as err:
            work.not_before = self._core.clock.monotonic() + FAILURE_PAUSE_S
            logger.warning("{} Item postponed: {}.", LOG_PREFIX, err.code)
        except Exception as err:
            # An item that fails in the same way each time must not run without end.
            work.attempts += 1
            work.not_before = self._core.clock.monotonic() + FAILURE_PAUSE_S
            logger.opt(exception=err).error("{} Item {} failed.", LOG_PREFIX, work.request_id)
        finally:
            self.running -= 1
            if result is None:
                owned.put_back(work)
            else:
                owned.hold_result(work, result, self._core.clock.monotonic())
                self._core.metrics.incr("batch.items_done")
            self.on_item_ended(owned.finished)

    def _handle_placed(self, application: str) -> None:
        self._starting[application] -= 1

    def _decay_use(self, now: float) -> None:
        """Decay the recent service; forget accounts that have almost none."""
        factor = 0.5 ** ((now - self._decayed_at) / USE_HALF_LIFE_S)
        self._decayed_at = now
        self._use = {n: use * factor for n, use in self._use.items() if use * factor > 0.01}


class _Once:
    """Calls a function on the first call only."""

    def __init__(self, call: Callable[[], None]) -> None:
        self._call: Callable[[], None] | None = call

    def __call__(self) -> None:
        call, self._call = self._call, None
        if call is not None:
            call()


def _order_shards(
    shards: dict[tuple[str, int], OwnedShard], use: dict[str, AccountUse], now: float
) -> list[OwnedShard]:
    """Return the shards in the order of their jobs, and by number within a job."""
    jobs: dict[str, JobCandidate] = {}
    for owned in shards.values():
        row = owned.job
        jobs[row.job_id] = JobCandidate(row.job_id, row.account, row.due_at, row.items)
    position = {job.job_id: n for n, job in enumerate(order_jobs(jobs.values(), use, now))}
    return [shards[key] for key in sorted(shards, key=lambda key: (position[key[0]], key[1]))]
