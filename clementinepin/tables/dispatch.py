"""State of the dispatcher: load of targets, waiting requests and granted slots."""

from __future__ import annotations

import heapq
from collections import OrderedDict, defaultdict
from collections.abc import Iterator, Sequence
from enum import StrEnum
from typing import Final, NamedTuple

from clementinepin.tables.crashes import CrashTable
from clementinepin.tables.mechanisms import Mechanism
from clementinepin.tables.streams import StreamTable
from clementinepin.tables.target_limits import TargetLimit

GrantKey = tuple[str, int]  # the requesting instance and its number for the request
RATE_BUCKET_S: Final = 0.25  # old work leaves a window in steps of this size
LASTING_PATIENCES: Final = 3  # an overload of this many times callers' patience is a lasting one
MEAN_WEIGHT: Final = 0.05  # of the newest request in a mean
PACE_DECAY: Final = 0.97  # of the weight of earlier runs with each further one
PACE_PRIOR_S: Final = 3.0  # weight of the expected pace, in slot seconds of runs


class QueueOrder(StrEnum):
    """Which callers are served first among those that can still be on time."""

    NEW_FIRST = "new-first"
    RETURNED_FIRST = "returned-first"


class PendingRequest(NamedTuple):
    """A request for a slot. Times are monotonic seconds of the dispatcher's clock.

    ``key`` is the requesting instance and its number for the request. ``on_time_by`` is the
    latest start at which the first event meets its objective; ``deadline`` is the latest useful
    start. ``run_s`` is the expected time in the slot. ``returned`` marks a caller that was
    rejected before. ``is_firm`` marks a batch item that is not preemptible, as it would become
    overdue. ``warm`` names the targets to which the requesting instance has a connection.
    ``priority`` is that of the route, 0 is the most urgent. ``fingerprint`` is the same each time
    that a request is sent again. ``pace`` is the factor by which ``run_s`` was corrected.
    The caller gives up at ``timeout_at``, after all retries. With ``software_version`` only targets
    of that version may run it. ``stream_id`` is the request that began the stream, which its caller
    may resume until ``stream_until``; ``is_resumption`` says that the caller does so, with a
    request that arrived at ``resumed_at``.
    """

    key: GrantKey
    service: str
    is_batch: bool
    requested_at: float
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
    pace: float = 1.0
    timeout_at: float = float("inf")
    software_version: str = ""
    stream_id: str = ""
    stream_until: float = 0.0
    is_resumption: bool = False
    resumed_at: float = float("inf")

    @property
    def traits(self) -> frozenset[str]:
        """Return what the request may share with others."""
        return make_traits(self.prefix_ids, self.fingerprint)

    @property
    def parts(self) -> frozenset[str]:
        """Return the parts of its prompt that the request may share with others."""
        return make_traits(self.prefix_ids, "")

    def get_time_after_share(self, share: float) -> float:
        """Return the time at which a share of the time for a start in time has passed."""
        return self.requested_at + share * max(0.0, self.on_time_by - self.requested_at)


def make_traits(prefix_ids: Sequence[str], fingerprint: str) -> frozenset[str]:
    """Return what a request may share with others; the last part of its prompt is its own."""
    return frozenset((*prefix_ids[:-1], fingerprint)) - {""}


class Grant:
    """A granted slot. Times are monotonic seconds.

    ``ends_at`` is an estimate. ``due_at`` is the latest end at which the run is on time.
    ``preempting`` is True once the run was asked to stop, at ``preempted_at``. ``new_stream_id`` is
    the stream that the run is to begin, empty for others; ``has_response`` says that the target
    has begun to respond.
    """

    __slots__ = (
        "due_at",
        "ends_at",
        "has_response",
        "is_batch",
        "is_firm",
        "key",
        "new_stream_id",
        "pace",
        "parts",
        "preempted_at",
        "preempting",
        "run_s",
        "service",
        "started_at",
        "target_id",
        "traits",
    )

    def __init__(self, request: PendingRequest, target_id: str, now: float) -> None:
        self.key = request.key
        self.target_id = target_id
        self.is_batch = request.is_batch
        self.service = request.service
        self.traits = request.traits
        self.parts = request.parts
        self.is_firm = request.is_firm
        self.started_at = now
        self.run_s = request.run_s
        self.pace = request.pace
        self.ends_at = now + request.run_s
        self.due_at = request.on_time_by + request.run_s
        self.preempting = False
        self.preempted_at = 0.0
        self.new_stream_id = "" if request.is_resumption else request.stream_id
        self.has_response = False

    def request_preemption(self, now: float) -> None:
        """Record that the run was asked to stop."""
        self.preempting = True
        self.preempted_at = now


class Pace:
    """How long runs take in comparison with their estimates; recent runs weigh more."""

    __slots__ = ("_estimated_s", "_observed_s")

    def __init__(self) -> None:
        self._observed_s = 0.0
        self._estimated_s = 0.0

    def add(self, observed_s: float, estimated_s: float) -> None:
        """Add a run that has ended."""
        self._observed_s = self._observed_s * PACE_DECAY + observed_s
        self._estimated_s = self._estimated_s * PACE_DECAY + estimated_s

    def estimate_factor(self, expected: float) -> float:
        """Return the factor by which estimates should be multiplied.

        ``expected`` is the factor that is assumed before any run; it loses weight with each.
        """
        observed_s = self._observed_s + PACE_PRIOR_S * expected
        return observed_s / (self._estimated_s + PACE_PRIOR_S)


class TargetLoad:
    """State of one target as the dispatcher knows it. Times are monotonic seconds.

    ``avoid_until`` is set after failures, ``full_until`` after the target refused a request.
    ``untracked`` counts requests that the target reports beyond the known grants: runs whose
    callers are lost, or that another dispatcher granted. It is valid until ``untracked_until``.
    ``limit`` is the one that the target names.
    """

    def __init__(self, target_id: str, service: str, data_centre: str, slots: int) -> None:
        self.target_id = target_id
        self.service = service
        self.data_centre = data_centre
        self.slots = slots
        self.started_at_ms = 0
        self.software_version = ""
        self.grants: dict[GrantKey, Grant] = {}
        self.failures = 0
        self.avoid_until = 0.0
        self.full_until = 0.0
        self.untracked = 0
        self.untracked_until = 0.0
        self.limit: TargetLimit | None = None
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.pace = Pace()

    @property
    def taken(self) -> int:
        """Return the granted slots, including those of items that are being preempted."""
        return len(self.grants)

    def count_untracked(self, now: float) -> int:
        """Return the slots taken by runs without a known grant."""
        return self.untracked if now < self.untracked_until else 0

    def count_free(self, now: float) -> int:
        """Return the slots without a grant or an untracked run; negative when overloaded."""
        return self.slots - len(self.grants) - self.count_untracked(now)

    def count_not_preempting(self) -> int:
        """Return the granted slots that are not being preempted."""
        return sum(1 for grant in self.grants.values() if not grant.preempting)


_QueueEntry = tuple[float, float, GrantKey]  # due time, expected time in the slot, key


class BatchQueue:
    """Waiting batch items of one service; a backlog may hold thousands.

    Items that can still be on time come first, by their due time and then by the least work left,
    so that items of one job end one after the other and not all too late. Overdue ones follow,
    unless ``overdue_last`` is False.
    """

    def __init__(self, *, overdue_last: bool = True) -> None:
        self._overdue_last = overdue_last
        self._requests: dict[GrantKey, PendingRequest] = {}
        self._heap: list[_QueueEntry] = []
        self._overdue: list[_QueueEntry] = []

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[GrantKey]:
        return iter(self._requests)

    def add(self, request: PendingRequest) -> None:
        """Add an item to the queue."""
        self._requests[request.key] = request
        heapq.heappush(self._heap, (request.on_time_by + request.run_s, request.run_s, request.key))

    def remove(self, key: GrantKey) -> None:
        """Remove an item from the queue if it is there."""
        self._requests.pop(key, None)

    def get_first(self, now: float) -> PendingRequest | None:
        """Return the item that should start next, or None."""
        while (first := self._peek(self._heap)) is not None:
            if first.on_time_by >= now or not self._overdue_last:
                return first
            heapq.heappush(self._overdue, heapq.heappop(self._heap))
        return self._peek(self._overdue)

    def _peek(self, heap: list[_QueueEntry]) -> PendingRequest | None:
        """Return the first item of a heap that still waits, or None; drops removed items."""
        while heap:
            due_at, _, key = heap[0]
            request = self._requests.get(key)
            if request is not None and request.on_time_by + request.run_s == due_at:
                return request
            heapq.heappop(heap)
        return None


class WorkRate:
    """Arrival rate of work, in slot seconds per second, and the times of those who bring it.

    ``run_s`` is the mean expected time in a slot, ``patience_s`` the mean time for which a request
    is useful to its caller. Both follow the newest requests, and set the windows of the rates.
    """

    def __init__(self) -> None:
        self.run_s = 0.0
        self.patience_s = 0.0
        self._buckets: dict[int, float] = {}

    def add(self, run_s: float, patience_s: float, now: float) -> None:
        """Add the work of one request."""
        weight = MEAN_WEIGHT if self._buckets else 1.0
        self.run_s += weight * (run_s - self.run_s)
        self.patience_s += weight * (patience_s - self.patience_s)
        bucket = int(now / RATE_BUCKET_S)
        if bucket not in self._buckets:
            oldest = bucket - _count_buckets(max(self.lasting_window_s, self.run_s))
            self._buckets = {k: v for k, v in self._buckets.items() if k >= oldest}
        self._buckets[bucket] = self._buckets.get(bucket, 0.0) + run_s

    @property
    def lasting_window_s(self) -> float:
        """Return the time after which callers who came before have given up, several times over."""
        return LASTING_PATIENCES * self.patience_s

    def get_lasting_rate(self, now: float) -> float:
        """Return the mean rate over ``lasting_window_s``, peaks and idle periods together."""
        return self._get_rate(now, self.lasting_window_s)

    def get_recent_rate(self, now: float) -> float:
        """Return the mean rate over a run time: the slots that the arrivals of late take."""
        return self._get_rate(now, self.run_s)

    def _get_rate(self, now: float, window_s: float) -> float:
        """Return the mean rate over a window of whole buckets and the current one so far."""
        current = int(now / RATE_BUCKET_S)
        count = _count_buckets(window_s)
        work = sum(v for k, v in self._buckets.items() if k >= current - count)
        return work / (now - (current - count) * RATE_BUCKET_S)


def _count_buckets(window_s: float) -> int:
    return max(1, round(window_s / RATE_BUCKET_S))


class DispatchTable:
    """All state of one dispatcher. ``waiting`` holds online requests, ``items`` batch items.

    By service, ``arrivals`` is the work that new callers bring, ``latest_return_at`` the last
    retry time booked for a rejected caller, and ``paces`` how long runs take. ``crashes`` has what
    crashes targets. ``streams`` has the software versions of streams.
    """

    def __init__(
        self,
        order: QueueOrder = QueueOrder.NEW_FIRST,
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self.order = order
        self.disabled = disabled
        self.targets: dict[str, TargetLoad] = {}
        self.waiting: dict[GrantKey, PendingRequest] = {}
        self.items: dict[str, BatchQueue] = {}
        self.grants: dict[GrantKey, Grant] = {}
        self.latest_return_at: dict[str, float] = {}
        self.crashes = CrashTable()
        self.arrivals: defaultdict[str, WorkRate] = defaultdict(WorkRate)
        self.paces: defaultdict[str, Pace] = defaultdict(Pace)
        self.streams = StreamTable()

    def uses(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is in use; experiments switch single ones off."""
        return mechanism not in self.disabled

    def list_waiting(self) -> list[GrantKey]:
        """Return the keys of all waiting requests and items."""
        return [*self.waiting, *(key for queue in self.items.values() for key in queue)]

    def remove_waiting(self, key: GrantKey) -> None:
        """Remove a request or item from its queue if it waits."""
        self.waiting.pop(key, None)
        for queue in self.items.values():
            queue.remove(key)
