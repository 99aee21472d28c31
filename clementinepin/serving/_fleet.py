"""View of the fleet (configuration, targets, instances) and registration of this instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import gevent
import msgspec
from gevent.event import Event
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.containment import contain_failure, keep_running
from clementinepin.helpers.decoding import make_msgpack_decoder
from clementinepin.infrastructure import Change, KeyValue
from clementinepin.infrastructure.exceptions import LeaseLostError, PlatformUnavailableError
from clementinepin.serving._metrics import ServingMetrics
from clementinepin.serving._outages import ExpiryGrace, StoreOutages
from clementinepin.serving._target_view import TargetView
from clementinepin.serving.models import InstanceSettings, Member, RoutingConfiguration
from clementinepin.serving.store import HedgingStore, StoreFollower
from clementinepin.serving.wire import Wire

LEASE_S: Final = 3.0  # a lost instance disappears from the directory within this time
LEASE_RENEWAL_S: Final = 1.0  # two renewals may fail before the lease ends
PRUNE_PERIOD_S: Final = 0.2
WITHDRAW_S: Final = 0.3  # fits into the margin that a stopping process has left
# How long after a renewal the registration counts as valid; other instances take jobs over one
# second after a lease's end.
REGISTRATION_VALID_S: Final = 1.5
RETRY_S: Final = 0.3  # pause after a failed registration
PORT_MAX: Final = 65_535

_decode_row: Callable[[bytes], Member] = make_msgpack_decoder(Member)


def _decode_member(value: bytes) -> Member:
    """Return the instance in an entry. Raises msgspec.DecodeError."""
    member = _decode_row(value)
    if not 0 <= member.link_port <= PORT_MAX:
        raise msgspec.DecodeError(f"link port {member.link_port} is none")
    return member


class ConfigurationView:
    """Holds the newest configuration; an older one never replaces it.

    ``listeners`` are called after each change.
    """

    def __init__(self, wire: Wire) -> None:
        self._wire = wire
        self.current: RoutingConfiguration | None = None
        self.listeners: list[Callable[[], None]] = []

    def replace_rows(self, rows: list[KeyValue]) -> None:
        """Apply all rows of the range; only the configuration's key matters."""
        for row in rows:
            self.apply_change(row.key, row.value, row.version)

    def apply_change(self, key: str, value: bytes | None, version: int) -> None:
        """Use a configuration if it is newer than the current one; log an unreadable one."""
        if key != self._wire.config_key or value is None:
            return
        try:
            configuration = self._wire.read_configuration(value)
        except msgspec.DecodeError as err:
            logger.bind(store_version=version, error=str(err)).error("configuration_unreadable")
            return
        if self.current is None or configuration.version > self.current.version:
            self.current = configuration
            log = logger.bind(version=configuration.version, store_version=version)
            log.bind(routes=len(configuration.routes)).info("configuration_in_force")
            for listener in self.listeners:
                with contain_failure("configuration_listener"):
                    listener()


class MemberView:
    """Instances of the fleet by name, as registered under their leases.

    ``own_registration_lost`` is set when this instance's own entry is missing or replaced. It is
    replaced, and ``is_replaced`` set, if it differs from ``own``, the last one that this instance
    wrote, and is newer than ``own_version``, which the store has confirmed.
    """

    def __init__(
        self, prefix: str, own_name: str, outages: StoreOutages, on_change: Callable[[], None]
    ) -> None:
        self._prefix = prefix
        self._grace = ExpiryGrace(outages)
        self._own_key = prefix + own_name
        self._on_change = on_change
        self.rows: dict[str, Member] = {}
        self.own_registration_lost = Event()
        self.own: Member | None = None
        self.own_version = 0
        self.is_replaced = False
        self._stored_version = 0

    def replace_rows(self, rows: list[KeyValue]) -> None:
        """Replace the state by the rows of the whole range."""
        seen = {row.key.removeprefix(self._prefix) for row in rows}
        for name in set(self.rows) - seen:
            self._handle_missing(name)
        if all(row.key != self._own_key for row in rows):
            self.own_registration_lost.set()
        for row in rows:
            with contain_failure("instance_entry", key=row.key):
                self._put(row.key, row.value, row.version)
        self._on_change()

    def apply_change(self, key: str, value: bytes | None, version: int) -> None:
        """Apply one changed registration, or its removal."""
        if value is not None:
            self._put(key, value, version)
        else:
            name = key.removeprefix(self._prefix)
            if key == self._own_key:
                self.own_registration_lost.set()
            else:
                self._handle_missing(name)
        self._on_change()

    def confirm_own(self, version: int) -> None:
        """Record that the store has accepted ``own`` at a version."""
        self.own_version = version
        self._check_own()

    def prune(self) -> None:
        """Remove instances whose grace time ended."""
        ended = self._grace.pop_ended()
        for name in ended:
            self._remove(name, "lapsed")
        if ended:
            self._on_change()

    def _check_own(self) -> None:
        """Notice that a write of a former process of this name, or of this one, was done late.

        A process that started later is left alone: two of one name must not replace each other.
        """
        stored = self.rows.get(self._own_key.removeprefix(self._prefix))
        if stored is None or self.own is None or stored == self.own:
            return
        is_newer = 0 < self.own_version < self._stored_version
        if is_newer and stored.started_ms <= self.own.started_ms:
            logger.bind(store_version=self._stored_version).warning("registration_replaced")
            self.is_replaced = True
            self.own_registration_lost.set()

    def _handle_missing(self, name: str) -> None:
        if self._grace.record_missing(name):
            self._remove(name, "removed")

    def _remove(self, name: str, reason: str) -> None:
        if self.rows.pop(name, None) is not None:
            logger.bind(member=name, reason=reason).info("instance_gone")

    def _put(self, key: str, value: bytes, version: int) -> None:
        try:
            member = _decode_member(value)
        except msgspec.DecodeError as err:
            logger.bind(key=key, error=str(err)).warning("instance_entry_unreadable")
            return
        self._grace.record_present(member.name)
        former = self.rows.get(member.name)
        self.rows[member.name] = member
        if former is None:
            logger.bind(member=member.name, store_version=version).info("instance_known")
        if key == self._own_key:
            self._stored_version = version
            self._check_own()


class FleetView:
    """Follows configuration, targets and instances in the store, and registers this instance.

    ``registration_listeners`` are called when others may have taken this instance for lost.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        store: HedgingStore,
        wire: Wire,
        clock: Clock,
        outages: StoreOutages,
        metrics: ServingMetrics | None = None,
    ) -> None:
        self._settings = settings
        self._store = store
        self._wire = wire
        self._clock = clock
        self._listeners: list[Callable[[], None]] = []
        self._greenlets: list[gevent.Greenlet] = []
        self._members_prefix = wire.own_prefix + "nodes/"
        self._lease_id = 0
        self._registered_until = 0.0
        self._registered_until_wall = 0.0
        self.registration_listeners: list[Callable[[], None]] = []
        self._started_ms = int(clock.wall() * 1000)
        self.leaving = False
        self.configuration = ConfigurationView(wire)
        self.targets = TargetView(wire, outages, clock, self._notify_listeners, metrics)
        self.members = MemberView(
            self._members_prefix, settings.name, outages, self._notify_listeners
        )
        self.followers = {
            "configuration": StoreFollower(store, wire.config_key, self.configuration, clock),
            "targets": StoreFollower(
                store, wire.targets_prefix, self.targets, clock, self.targets.is_same
            ),
            "members": StoreFollower(store, self._members_prefix, self.members, clock),
        }
        self.fed_followers = {k: self.followers[k] for k in ("targets", "members")}

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of targets or members."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Start the followers and the registration."""
        runs = {f"{name}_follower": f.run for name, f in self.followers.items()}
        runs |= {"registration": self._keep_registered, "prune": self._prune}
        self._greenlets = [gevent.spawn(keep_running, *row) for row in runs.items()]

    def is_registration_valid(self) -> bool:
        """Return whether it is certain that no other instance considers this one lost.

        The monotonic clock stands still while the machine is suspended, the wall clock does not.
        """
        return (
            self._clock.monotonic() < self._registered_until
            and self._clock.wall() < self._registered_until_wall
        )

    def announce_leaving(self) -> None:
        """Register this instance as leaving, so that it gets no new callers."""
        self.leaving = True
        # Makes the registration task write the entry again, now marked as leaving.
        self.members.own_registration_lost.set()

    def withdraw(self) -> None:
        """Stop following and revoke the registration; if that fails, its lease expires."""
        gevent.killall(self._greenlets)
        try:
            with gevent.Timeout(
                WITHDRAW_S, PlatformUnavailableError(f"no reply from the store in {WITHDRAW_S} s")
            ):
                if self._lease_id:
                    self._store.revoke_lease(self._lease_id)
        except ClementinepinError as err:
            logger.bind(error=str(err)).info("registration_left_to_expire")

    def follows_targets(self) -> bool:
        """Return whether changes of the targets arrive, from the store or another instance."""
        follower = self.followers["targets"]
        return follower.is_fed() or follower.is_direct()

    def read_targets(self) -> None:
        """Read all targets from the store, which an instance that is out of step may not know.

        Raises PlatformUnavailableError or ReplyLostError.
        """
        page = self._store.list_hedged(self._wire.targets_prefix)
        self.followers["targets"].receive_rows(page.values, page.version)

    def list_entries(self) -> list[Member]:
        """Return the instances that serve callers and are not leaving, this one included."""
        own = self._describe_self()
        members = {**self.members.rows, own.name: own}
        return [m for m in members.values() if m.entry_address and not m.leaving]

    def list_job_runners(self) -> list[Member]:
        """Return the instances that run jobs and are not leaving, oldest first."""
        rows = [m for m in self.members.rows.values() if m.runs_jobs and not m.leaving]
        return sorted(rows, key=lambda member: (member.started_ms, member.name))

    def list_relays(self) -> list[Member]:
        """Return the possible relays to the store: job runners, then entries."""
        runners = self.list_job_runners()
        return runners + [m for m in self.list_entries() if not m.runs_jobs]

    def describe_state(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        configuration = self.configuration.current
        return {
            "configuration_version": configuration.version if configuration else 0,
            "targets": {k: t._asdict() for k, t in self.targets.rows.items()},
            "members": {k: m._asdict() for k, m in self.members.rows.items()},
            "followers": {k: f.describe_state() for k, f in self.followers.items()},
        }

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            with contain_failure("fleet_listener"):
                listener()

    def _describe_self(self) -> Member:
        settings = self._settings
        entry = settings.entry_address
        return Member(
            name=settings.name,
            runs_jobs=settings.runs_jobs,
            host=settings.host,
            link_port=settings.link_port,
            entry_address=f"{entry[0]}:{entry[1]}" if entry else "",
            data_centre=settings.data_centre,
            region=settings.region,
            leaving=self.leaving,
            started_ms=self._started_ms,
        )

    def _keep_registered(self) -> None:
        """Renew the lease periodically, and register again whenever the registration is lost."""
        lost = self.members.own_registration_lost
        lost.set()
        while True:
            try:
                if lost.is_set():
                    lost.clear()
                    if self.members.is_replaced or not self.is_registration_valid():
                        self._handle_registration_lost()
                    self.members.is_replaced = False
                    self._register()
                else:
                    sent_at, sent_wall = self._clock.monotonic(), self._clock.wall()
                    self._store.keep_lease(self._lease_id)
                    self._record_registered(sent_at, sent_wall)
            except LeaseLostError:
                logger.bind(lease=self._lease_id).warning("registration_lost")
                self._handle_registration_lost()
                self._lease_id = 0
                lost.set()
                continue
            except ClementinepinError as err:
                logger.bind(error=str(err)).debug("registration_failed")
                lost.set()
                gevent.sleep(RETRY_S)
                continue
            lost.wait(LEASE_RENEWAL_S)

    def _handle_registration_lost(self) -> None:
        """Tell the listeners that others may have taken over what this instance owns."""
        self._registered_until = 0.0
        for listener in self.registration_listeners:
            with contain_failure("registration_listener"):
                listener()

    def _register(self) -> None:
        if not self._lease_id:
            self._lease_id = self._store.grant_lease(LEASE_S).lease_id
        self.members.own = self._describe_self()
        value = msgspec.msgpack.encode(self.members.own)
        key = self._members_prefix + self._settings.name
        sent_at, sent_wall = self._clock.monotonic(), self._clock.wall()
        version = self._store.write(Change({}, {key: value}, lease_id=self._lease_id))
        self.members.confirm_own(version)
        self._record_registered(sent_at, sent_wall)

    def _record_registered(self, sent_at: float, sent_wall: float) -> None:
        """Record that the store confirmed the registration by a call that was sent at a time."""
        self._registered_until = sent_at + REGISTRATION_VALID_S
        self._registered_until_wall = sent_wall + REGISTRATION_VALID_S

    def _prune(self) -> None:
        while True:
            gevent.sleep(PRUNE_PERIOD_S)
            self.targets.prune()
            self.members.prune()
