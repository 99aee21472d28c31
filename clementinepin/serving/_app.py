"""One instance of the serving path: creates its parts and serves its listeners.

The listeners are the callers' entry, the readiness check, the directory and the metrics.
"""

from __future__ import annotations

import random
from typing import Any, Final, NamedTuple

import gevent
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.containment import keep_running
from clementinepin.infrastructure import StateStore
from clementinepin.serving._crash_records import CrashRecords
from clementinepin.serving._direct_store import DirectStore
from clementinepin.serving._dispatcher import Dispatcher
from clementinepin.serving._feed import FeedServer
from clementinepin.serving._fleet import FleetView
from clementinepin.serving._forward import STOPPED_RETRY_S, Forwarder, is_job_route
from clementinepin.serving._http import CallerConnection, CallerRequest, CallerServer
from clementinepin.serving._item_run import ItemRunner
from clementinepin.serving._jobs import CALL_MAX_S, JobService
from clementinepin.serving._links import InstanceLinks, LinkServer
from clementinepin.serving._metrics import ServingMetrics
from clementinepin.serving._outages import StoreOutages
from clementinepin.serving._pools import TargetPools
from clementinepin.serving._relay import RelayedStore, RelayServer
from clementinepin.serving._retirement import Retirement
from clementinepin.serving._runner import JobRunner
from clementinepin.serving._slots import SlotBroker
from clementinepin.serving._tunnels import TunnelClient, TunnelServer
from clementinepin.serving._version_checks import VersionChecks
from clementinepin.serving._version_records import VersionRecords
from clementinepin.serving.exceptions import (
    BadRequestError,
    CallerGoneError,
    NotConfiguredError,
    OverloadedError,
    RouteNotFoundError,
)
from clementinepin.serving.models import (
    DEFAULT_POLICY,
    CallerLimits,
    InstanceSettings,
    Member,
    Policy,
    Route,
)
from clementinepin.serving.wire import Wire
from clementinepin.targets import HedgedRelays

RESOLVE_TTL_S: Final = 2.0  # callers notice a lost instance at their next connection anyway
STOP_ACCEPTING_SHARE: Final = 0.78  # of the grace time; callers know other addresses by then
STOP_MARGIN_S: Final = 0.5  # time reserved to end the process
STARTING_RETRY_S: Final = 0.5
IDLE_CHECK_S: Final = 0.05
DEFAULT_LIMITS: Final = CallerLimits()
LIVE_SETTINGS: Final = (  # may change while the instance runs
    "grace_s",
    "status_retention_s",
    "connections_max",
    "directory_ttl_max_s",
    "is_first_start",
)


class _JobParts(NamedTuple):
    """The parts that only an instance that runs jobs has."""

    dispatcher: Dispatcher
    feed: FeedServer
    runner: JobRunner
    retirement: Retirement


class App:
    """One instance with all its parts."""

    def __init__(
        self,
        settings: InstanceSettings,
        store: StateStore,
        wire: Wire,
        clock: Clock,
        rng: random.Random,
        metrics: ServingMetrics,
        policy: Policy = DEFAULT_POLICY,
    ) -> None:
        self._metrics = metrics
        self._settings = settings
        self._wire = wire
        self._clock = clock
        self._active = 0
        outages = StoreOutages(clock)
        direct_store = DirectStore(store, wire.own_prefix, rng)
        links = InstanceLinks(clock)
        relayed = RelayedStore(
            direct_store, links, settings.name, clock, rng, outages, policy.disabled
        )
        self.fleet = FleetView(settings, relayed, wire, clock, outages, metrics)
        relayed.list_relays = self.fleet.list_relays
        tunnels = TunnelClient(self.fleet, settings.name, clock)
        relays = HedgedRelays(tunnels.list_relays, tunnels.open, clock, rng)
        pools = TargetPools(self.fleet, clock, relays)
        self._pools = pools
        self.slots = SlotBroker(
            settings.name, settings.data_centre, self.fleet, pools, clock, rng, policy
        )
        self._forwarder = Forwarder(self.fleet, self.slots, pools, wire, clock, metrics)
        self._jobs = JobService(relayed, self.fleet, links, wire, clock)
        self._link_server = LinkServer((settings.host, settings.link_port))
        RelayServer(self._link_server, direct_store, clock)
        self._tunnels = TunnelServer(self._link_server, self.fleet, clock)
        self._job_parts: _JobParts | None = None
        if settings.runs_jobs:
            link_server = self._link_server
            items = ItemRunner(self.fleet, self.slots, pools, wire, clock, metrics, policy.disabled)
            self._job_parts = _JobParts(
                Dispatcher(link_server, self.fleet, clock, rng, policy),
                FeedServer(link_server, self.fleet.fed_followers),
                JobRunner(
                    settings, relayed, self.fleet, items, wire, clock, link_server, policy.disabled
                ),
                Retirement(settings, relayed, wire, clock, self.leave),
            )
        self._crash_records = CrashRecords(relayed, wire.own_prefix, clock)
        self._connect_crash_records()
        self._version_records = VersionRecords(
            relayed, wire.own_prefix, self.fleet, clock, settings.name
        )
        self._version_checks = VersionChecks(self.fleet, self._version_records, clock)
        self._connect_versions()
        self._servers = self._create_servers()

    def start(self) -> None:
        """Start all parts and open the listeners."""
        self._link_server.start()
        parts = self._job_parts
        if parts is not None:
            parts.dispatcher.start()
            parts.feed.start()
        self.slots.start()
        self.fleet.start()
        self._crash_records.start()
        self._version_records.start(is_first_start=self._settings.is_first_start)
        if parts is not None:
            parts.runner.start()
            parts.retirement.start()
        for server in self._servers:
            server.start()
        gevent.spawn(keep_running, "counters", self._metrics.run_summaries)

    def leave(self) -> None:
        """Announce that this instance takes no new callers or jobs.

        Its job runner stops at once, so that other instances take its jobs over; requests of
        callers continue.
        """
        if self._job_parts is not None:
            self._job_parts.runner.leave()
        self.fleet.announce_leaving()
        self._tunnels.leave()

    def stop(self) -> None:
        """Leave the fleet and stop all parts within the grace time.

        Callers that still arrive are served as long as their responses end before this instance,
        and rejected from then on. The listeners close after a share of the grace time. The parts
        stop when no request is active, or STOP_MARGIN_S before the end of the grace time.
        """
        now = self._clock.monotonic()
        deadline = now + self._settings.grace_s - STOP_MARGIN_S
        accept_until = now + self._settings.grace_s * STOP_ACCEPTING_SHARE
        self._forwarder.finish_by = deadline
        self.leave()
        if self._settings.entry_address is not None:
            while self._clock.monotonic() < accept_until:
                gevent.sleep(IDLE_CHECK_S)
            for server in self._servers:
                server.stop_accepting()
        while self._count_active() and self._clock.monotonic() < deadline:
            gevent.sleep(IDLE_CHECK_S)
        self.fleet.withdraw()
        self.slots.stop()
        if self._job_parts is not None:
            self._job_parts.dispatcher.stop()
        self._link_server.stop()

    def _count_active(self) -> int:
        """Return the requests in progress, those that other instances send through this one too."""
        return self._active + self._tunnels.open_count

    def apply_settings(self, settings: InstanceSettings) -> list[str]:
        """Apply the settings that may change at run time; return the names of others that changed.

        Addresses and names are known to other instances and callers, so they need a restart.
        """
        live = {name: getattr(settings, name) for name in LIVE_SETTINGS}
        self._settings = self._settings._replace(**live)
        for server in self._servers:
            server.connections_max = settings.connections_max
        if self._job_parts is not None:
            self._job_parts.runner.status_retention_s = settings.status_retention_s
        pairs = zip(self._settings._asdict().items(), settings, strict=True)
        return [name for (name, value), desired in pairs if value != desired]

    def describe_state(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        parts = self._job_parts
        return {
            "instance": self._settings.name,
            "active": self._active,
            "fleet": self.fleet.describe_state(),
            "slots": self.slots.describe_state(),
            "links": {**self._pools.describe_state(), "tunnels": self._tunnels.open_count},
            "dispatcher": parts.dispatcher.describe_state() if parts else None,
            "jobs": parts.runner.describe_state() if parts else None,
        }

    def _connect_crash_records(self) -> None:
        records = self._crash_records
        records.add_table(self.slots.crashes)
        self.slots.on_broken_alone = records.record_run
        self.slots.on_causes_found = records.record_changes
        if self._job_parts is not None:
            dispatcher = self._job_parts.dispatcher
            records.add_table(dispatcher.table.crashes)
            dispatcher.on_causes_changed = records.record_changes

    def _connect_versions(self) -> None:
        self.slots.confirm_versions = self._version_checks.confirm
        tables = [self.slots.streams]
        if self._job_parts is not None:
            dispatcher = self._job_parts.dispatcher
            dispatcher.confirm_versions = self._version_checks.confirm
            tables.append(dispatcher.table.streams)
        for streams in tables:
            self._version_records.add_table(streams)
            self._version_checks.add_table(streams)

    def _create_servers(self) -> list[CallerServer]:
        settings = self._settings
        roles = (
            (settings.entry_address, self._serve_caller),
            (settings.ready_address, self._serve_ready),
            (settings.directory_address, self._serve_directory),
            (settings.metrics_address, self._serve_metrics),
        )
        return [
            CallerServer(address, handle, self._get_limits, settings.connections_max)
            for address, handle in roles
            if address is not None
        ]

    def _get_limits(self) -> CallerLimits:
        configuration = self.fleet.configuration.current
        return configuration.limits if configuration else DEFAULT_LIMITS

    def _serve_caller(self, connection: CallerConnection) -> None:
        """Serve the requests of one caller's connection until it ends."""
        while True:
            try:
                request = connection.read_request()
            except BadRequestError as err:
                self._log_failure(connection.head_path, connection.head_headers, err)
                connection.must_close = True
                connection.answer(err.status)
                connection.close()
                return
            if request is None:
                return
            self._active += 1
            try:
                if not self._answer(connection, request):
                    return
            finally:
                self._active -= 1
            if not connection.can_continue():
                connection.close()
                return

    def _answer(self, connection: CallerConnection, request: CallerRequest) -> bool:
        """Answer one request; return whether its connection is still usable."""
        started_at = self._clock.monotonic()
        connection.must_close = connection.must_close or self.fleet.leaving
        try:
            self._route_request(connection, request, started_at)
        except CallerGoneError:
            return False
        except ClementinepinError as err:
            if connection.answered:
                connection.close(abruptly=True)
                return False
            header_lines = []
            if isinstance(err, OverloadedError):
                header_lines.append(("Retry-After", f"{err.retry_after_s:.3f}"))
            elif isinstance(err, NotConfiguredError):
                header_lines.append(("Retry-After", f"{STARTING_RETRY_S}"))
            self._log_failure(request.path, request.headers, err)
            connection.answer(err.status, header_lines=header_lines)
        except Exception as err:
            request_id = self._wire.read_request_id(request.path, request.headers)
            return connection.answer_failure(err, request_id)
        return True

    def _log_failure(self, path: str, headers: dict[str, str], err: ClementinepinError) -> None:
        request_id = self._wire.read_request_id(path, headers)
        log = logger.bind(request_id=request_id, path=path, code=err.code)
        log.bind(status=err.status, error=str(err)).info("request_failed")

    def _route_request(
        self, connection: CallerConnection, request: CallerRequest, started_at: float
    ) -> None:
        configuration = self.fleet.configuration.current
        if configuration is None:
            raise NotConfiguredError("no configuration has been read yet")
        if self._answer_job_call(connection, request, started_at):
            return
        host = request.headers.get("host", "")
        route = configuration.find_route(host, request.path.partition("?")[0])
        if route is None:
            raise RouteNotFoundError(f"no route for {host}{request.path}")
        if is_job_route(route):
            self._check_job_time(started_at)
            self._submit_job(connection, request, route)
            return
        self._forwarder.serve(connection, request, route, started_at)

    def _submit_job(
        self, connection: CallerConnection, request: CallerRequest, route: Route
    ) -> None:
        if request.method != "POST":
            raise BadRequestError("a job is submitted by POST", 405)
        facts = self._wire.read_request(request.headers)
        items = self._wire.read_job(request.body)
        self._jobs.submit(facts.request_id, request.headers.get("host", ""), route, items)
        connection.answer(202)

    def _check_job_time(self, started_at: float) -> None:
        """Raise OverloadedError if a call on a job may not be complete before this instance."""
        left_s = self._forwarder.finish_by - started_at
        if left_s < CALL_MAX_S:
            raise OverloadedError(
                f"this instance ends in {left_s:.3f} s, maybe before the call on the job",
                STOPPED_RETRY_S,
            )

    def _answer_job_call(
        self, connection: CallerConnection, request: CallerRequest, started_at: float
    ) -> bool:
        """Answer a call on an existing job; return False if the request is no such call."""
        call = self._wire.read_job_call(request.method, request.path, request.headers)
        if call is None:
            return False
        self._check_job_time(started_at)
        if call.verb == "read":
            header_lines = [("Content-Type", "application/json")]
            connection.answer(200, self._jobs.read(call), header_lines)
        elif call.verb == "body":
            connection.answer(200, self._jobs.read_body(call))
        else:
            self._jobs.end(call)
            connection.answer(200)
        return True

    def _serve_ready(self, connection: CallerConnection) -> None:
        self._serve_requests(connection, self._answer_ready)

    def _serve_directory(self, connection: CallerConnection) -> None:
        self._serve_requests(connection, self._answer_directory)

    def _serve_metrics(self, connection: CallerConnection) -> None:
        self._serve_requests(connection, self._answer_metrics)

    def _answer_metrics(self, connection: CallerConnection, _request: CallerRequest) -> None:
        connection.answer(200, self._metrics.render(), [("Content-Type", "text/plain")])

    def _serve_requests(self, connection: CallerConnection, answer: Any) -> None:
        """Answer a connection's requests with ``answer(connection, request)`` until it ends."""
        while True:
            try:
                request = connection.read_request()
            except BadRequestError as err:
                connection.must_close = True
                connection.answer(err.status)
                return
            if request is None:
                return
            try:
                answer(connection, request)
            except Exception as err:
                if not connection.answer_failure(err):
                    return
            if not connection.can_continue():
                return

    def _answer_ready(self, connection: CallerConnection, _request: CallerRequest) -> None:
        ready = not self.fleet.leaving and self.fleet.configuration.current is not None
        connection.answer(200 if ready else 503)

    def _answer_directory(self, connection: CallerConnection, request: CallerRequest) -> None:
        if request.path.partition("?")[0] != self._wire.resolve_path:
            connection.answer(404)
            return
        addresses = choose_addresses(self.fleet.list_entries())
        if not addresses:
            connection.answer(503, header_lines=[("Retry-After", f"{STARTING_RETRY_S}")])
            return
        ttl_s = min(RESOLVE_TTL_S, self._settings.directory_ttl_max_s)
        body = self._wire.make_resolve_response(addresses, ttl_s)
        connection.answer(200, body, [("Content-Type", "application/json")])


def choose_addresses(entries: list[Member]) -> list[str]:
    """Return the addresses that callers may connect to, at most 64."""
    return [member.entry_address for member in entries][:64]
