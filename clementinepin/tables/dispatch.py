"""Rows of the dispatcher: load of targets, requests that wait, and slots that are taken."""

from __future__ import annotations

import heapq
from collections import OrderedDict, defaultdict
from collections.abc import Iterator
from enum import StrEnum
from typing import Final, NamedTuple

GrantKey = tuple[str, int]
RATE_WINDOW_S: Final = 6.0  # a peak and a lull of the users' traffic
RATE_BUCKET_S: Final = 0.5  # how coarsely old work leaves the window


class QueueOrder(StrEnum):
    """Which callers go first among those who can still be on time."""

    NEW_FIRST = "new-first"
    RETURNED_FIRST = "returned-first"


class Ask(NamedTuple):
    """A request for a slot. Times are monotonic seconds of the dispatcher's clock.

    ``key`` is the asking instance and its number for the request. ``on_time_by`` is the latest
    start at which the first event meets its objective; ``deadline`` the latest useful start.
    ``run_s`` is the expected time in the slot. ``returned`` marks a caller who was refused
    before. ``is_firm`` marks a batch item that would be overdue if it yielded its slot.
    ``warm`` names targets to which the asking instance keeps a connection; ``priority`` is the
    rank of the route, 0 the most urgent; ``fingerprint`` is equal for a request that comes again.
    """

    key: GrantKey
    service: str
    is_batch: bool
    asked_at: float
    on_time_by: float
    deadline: float
    run_s: float
    prefix_ids: tuple[str, ...] = ()
    data_centre: str = ""
    excluded: frozenset[str] = frozenset()
    returned: bool = False
    is_firm: bool = False
    warm: frozenset[str] = frozenset()
    priority: int = 0
    fingerprint: str = ""


class Grant:
    """A taken slot. ``ends_at`` is an estimate; ``yielding`` says that it was asked to end.

    ``due_at`` is when the run should have ended at the latest.
    """

    __slots__ = (
        "due_at",
        "ends_at",
        "fingerprint",
        "is_batch",
        "is_firm",
        "key",
        "run_s",
        "started_at",
        "target_id",
        "yielded_at",
        "yielding",
    )

    def __init__(self, ask: Ask, target_id: str, now: float) -> None:
        self.key = ask.key
        self.target_id = target_id
        self.is_batch = ask.is_batch
        self.fingerprint = ask.fingerprint
        self.is_firm = ask.is_firm
        self.started_at = now
        self.run_s = ask.run_s
        self.ends_at = now + ask.run_s
        self.due_at = ask.on_time_by + ask.run_s
        self.yielding = False
        self.yielded_at = 0.0

    def ask_back(self, now: float) -> None:
        """Note that the run was asked to end."""
        self.yielding = True
        self.yielded_at = now


class TargetLoad:
    """What the dispatcher knows of one target.

    ``avoid_until`` is set after failures; ``full_until`` after a refusal by the target itself.
    ``hidden`` counts requests that the target reports beyond the known grants: runs of callers
    that are lost, or of another dispatcher's. It holds until ``hidden_until``.
    """

    def __init__(self, target_id: str, service: str, data_centre: str, slots: int) -> None:
        self.target_id = target_id
        self.service = service
        self.data_centre = data_centre
        self.slots = slots
        self.started_at_ms = 0
        self.grants: dict[GrantKey, Grant] = {}
        self.failures = 0
        self.avoid_until = 0.0
        self.full_until = 0.0
        self.hidden = 0
        self.hidden_until = 0.0
        self.prefixes: OrderedDict[str, None] = OrderedDict()

    @property
    def taken(self) -> int:
        """Return slots in use; one that was asked to yield still counts for a moment."""
        return len(self.grants)

    def count_hidden(self, now: float) -> int:
        """Return slots taken by runs that nobody here knows."""
        return self.hidden if now < self.hidden_until else 0

    def count_free(self, now: float) -> int:
        """Return slots that are neither granted nor hidden."""
        return self.slots - len(self.grants) - self.count_hidden(now)

    def count_firm(self) -> int:
        """Return slots that no yielding will free."""
        return sum(1 for grant in self.grants.values() if not grant.yielding)


class BatchQueue:
    """Waiting items of one service; a backlog may hold thousands.

    Those that can still be in time go first, by the latest start for that, then overdue ones.
    """

    def __init__(self) -> None:
        self._asks: dict[GrantKey, Ask] = {}
        self._heap: list[tuple[float, GrantKey]] = []
        self._overdue: list[tuple[float, GrantKey]] = []

    def __len__(self) -> int:
        return len(self._asks)

    def __iter__(self) -> Iterator[GrantKey]:
        return iter(self._asks)

    def add(self, ask: Ask) -> None:
        """Put an item into the queue."""
        self._asks[ask.key] = ask
        heapq.heappush(self._heap, (ask.on_time_by, ask.key))

    def remove(self, key: GrantKey) -> None:
        """Take an item out of the queue, wherever it stands."""
        self._asks.pop(key, None)

    def get_first(self, now: float) -> Ask | None:
        """Return the item that should start next, or None."""
        while self._heap and self._heap[0][0] < now:
            heapq.heappush(self._overdue, heapq.heappop(self._heap))
        return self._peek(self._heap) or self._peek(self._overdue)

    def _peek(self, heap: list[tuple[float, GrantKey]]) -> Ask | None:
        """Return the first item of a heap that still waits; others are dropped."""
        while heap:
            on_time_by, key = heap[0]
            ask = self._asks.get(key)
            if ask is not None and ask.on_time_by == on_time_by:
                return ask
            heapq.heappop(heap)
        return None


class WorkRate:
    """How much work arrives, in seconds of slots a second, over a window of some seconds."""

    def __init__(self) -> None:
        self._buckets: dict[int, float] = {}

    def add(self, run_s: float, now: float) -> None:
        """Count the work of one request."""
        bucket = int(now / RATE_BUCKET_S)
        if bucket not in self._buckets:
            oldest = bucket - int(RATE_WINDOW_S / RATE_BUCKET_S)
            self._buckets = {k: v for k, v in self._buckets.items() if k > oldest}
        self._buckets[bucket] = self._buckets.get(bucket, 0.0) + run_s

    def get_rate(self, now: float) -> float:
        """Return the mean over the window; time before the first request counts as idle."""
        oldest = int(now / RATE_BUCKET_S) - int(RATE_WINDOW_S / RATE_BUCKET_S)
        return sum(v for k, v in self._buckets.items() if k > oldest) / RATE_WINDOW_S


class DispatchTable:
    """All rows of one dispatcher. ``waiting`` holds online requests, ``items`` batch ones.

    ``arrivals`` is the work of callers who come for the first time, by service.
    """

    def __init__(self, order: QueueOrder = QueueOrder.NEW_FIRST) -> None:
        self.order = order
        self.targets: dict[str, TargetLoad] = {}
        self.waiting: dict[GrantKey, Ask] = {}
        self.items: dict[str, BatchQueue] = {}
        self.grants: dict[GrantKey, Grant] = {}
        self.returns_at: dict[str, float] = {}
        self.batch_held_until: dict[str, float] = {}
        self.crashes: dict[str, list[float]] = {}
        self.arrivals: defaultdict[str, WorkRate] = defaultdict(WorkRate)

    def list_waiting(self) -> list[GrantKey]:
        """Return the keys of all that wait."""
        return [*self.waiting, *(key for queue in self.items.values() for key in queue)]

    def remove_waiting(self, key: GrantKey) -> None:
        """Take a request or item out of its queue."""
        self.waiting.pop(key, None)
        for queue in self.items.values():
            queue.remove(key)
