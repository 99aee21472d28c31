"""Data types of the serving path, independent of the platform's names and formats."""

from __future__ import annotations

from enum import StrEnum
from typing import Final, NamedTuple

from clementinepin.tables.dispatch import QueueOrder
from clementinepin.tables.leaving import TargetStart
from clementinepin.tables.mechanisms import Mechanism


class RouteKind(StrEnum):
    """The kind of requests on a route, which decides whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    JOB = "job"


class ServiceShare(NamedTuple):
    """A service that serves a share of a route's requests, by weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """A rule that sends requests of a host and path prefix to services.

    ``timeout_s`` limits the total time of a request; ``objective_s`` is the latency objective for
    the first event, ``gap_objective_s`` the one between events. ``priority`` 0 is the most urgent.
    ``attempts_max`` limits the targets that a request may be sent to. For jobs, ``due_s`` and
    ``retention_s`` count from the submission, and ``tokens_max`` limits the tokens of unfinished
    items in the whole fleet (0: no limit).
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    objective_s: float
    gap_objective_s: float = 0.0
    priority: int = 0
    attempts_max: int = 1
    resumable: bool = False
    due_s: float = 0.0
    retention_s: float = 0.0
    tokens_max: int = 0

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request of the route may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


class Service(NamedTuple):
    """A service provided by targets. ``slots`` is the batch size of its engines, 0 if unknown."""

    name: str
    health_path: str
    connections_max: int
    slots: int


class CallerLimits(NamedTuple):
    """Limits on the size and timing of callers' requests."""

    header_max_bytes: int = 16_384
    body_max_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingConfiguration(NamedTuple):
    """The operators' complete configuration of routes, services and limits."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that matches the path, or None."""
        matches = [r for r in self.routes if r.host == host and path.startswith(r.path_prefix)]
        return max(matches, key=lambda route: len(route.path_prefix), default=None)


class Target(NamedTuple):
    """A target as it registered itself.

    ``started_at_ms`` differs between restarts of an id. Events that two targets of a different
    ``software_version`` generate don't fit together in one stream.
    """

    target_id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    started_at_ms: int = 0
    software_version: str = ""

    @property
    def start(self) -> TargetStart:
        """Return what tells this start of the target from others."""
        return TargetStart(self.target_id, self.started_at_ms)


class Member(NamedTuple):
    """A registered instance of the fleet. ``link_port`` accepts connections of other instances.

    ``entry_address`` is where callers connect, empty on instances that serve none.
    ``started_ms`` is the Unix time of its start, by which all instances sort in the same order.
    """

    name: str
    runs_jobs: bool
    host: str
    link_port: int
    entry_address: str
    data_centre: str
    region: str
    leaving: bool
    started_ms: int = 0


class InstanceSettings(NamedTuple):
    """The settings file of one instance. Addresses are ``(host, port)``.

    ``is_first_start`` says that the whole fleet starts for the first time.
    """

    name: str
    runs_jobs: bool
    host: str
    data_centre: str
    region: str
    link_port: int
    entry_address: tuple[str, int] | None
    ready_address: tuple[str, int] | None
    directory_address: tuple[str, int] | None
    metrics_address: tuple[str, int] | None
    store_address: tuple[str, int]
    grace_s: float
    directory_ttl_max_s: float
    settle_s: float
    status_retention_s: float
    connections_max: int
    is_first_start: bool = False


class Placement(StrEnum):
    """How the target of a request is chosen; all but the first are baselines for comparison."""

    DISPATCHER = "dispatcher"
    OWN_COUNTS = "own-counts"
    RANDOM = "random"


class Policy(NamedTuple):
    """How targets are chosen, in which order requests wait, and what an experiment disables."""

    placement: Placement = Placement.DISPATCHER
    order: QueueOrder = QueueOrder.NEW_FIRST
    disabled: frozenset[Mechanism] = frozenset()


DEFAULT_POLICY: Final = Policy()


class RequestFacts(NamedTuple):
    """Data from a request's headers. ``time_left_s`` is None if the caller sent no deadline.

    A caller that resumes a stream after ``last_event_id`` names in ``resumes`` the request that
    brought the first event; both are empty for a new stream.
    """

    request_id: str
    time_left_s: float | None
    prompt_tokens: int
    output_tokens_max: int
    length_hint: int
    prefix_ids: tuple[str, ...]
    last_event_id: int
    resumes: str = ""


class JobItem(NamedTuple):
    """One item of a job: a request that is run later, with its number of tokens."""

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


class ItemState(StrEnum):
    """Final state of an item."""

    COMPLETED = "completed"
    DEAD = "dead"


class ItemResult(NamedTuple):
    """The outcome of an item as listed to callers."""

    item_id: str
    state: ItemState
    text: str
