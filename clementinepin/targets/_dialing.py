"""Opens connections to targets, through another instance where the own link fails."""

from __future__ import annotations

import weakref
from collections.abc import Callable
from functools import partial
from typing import Final

import gevent
from gevent import socket
from gevent.queue import Queue
from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.systems import reach
from clementinepin.tables.reach import ReachTable
from clementinepin.targets._attempts import start_attempt
from clementinepin.targets._connection import Connection, ConnectionPool, Dialer, set_options
from clementinepin.targets._sockets import TargetSocket
from clementinepin.targets.exceptions import TargetNotReachedError
from clementinepin.targets.models import Relays, TargetAddress

CONNECT_TIMEOUT_S: Final = 1.0
HEDGE_DELAY_S: Final = 0.1  # many round trips; shorter than a lost packet is sent again
RACE_TIMEOUT_S: Final = 0.5  # two instances that don't get through by then won't soon
CHECK_TIMEOUT_S: Final = 0.4  # a check delays the next attempt of a request that was lost
PROBE_TIMEOUT_S: Final = 0.25
SWEEP_PERIOD_S: Final = 0.1  # relays that leave wait for their users to close idle tunnels


class _DirectAttempt:
    """An attempt to connect to a target; it may go on after a first wait."""

    def __init__(self, address: TargetAddress, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._sock: socket.socket | None = None
        self.is_pending = True

    def wait(self, deadline: float) -> TargetSocket:
        """Return the socket. Raises TargetNotReachedError if that fails or takes too long.

        After a time-out ``is_pending`` is still set, and the attempt may be waited for again.
        """
        wait_s = deadline - self._clock.monotonic()
        try:
            if wait_s <= 0:
                raise TimeoutError("the deadline has passed")
            sock = self._connect(wait_s)
        except TimeoutError as err:
            raise self._make_error(err) from err
        except (OSError, OverflowError, ValueError) as err:
            # A socket raises OverflowError for a port out of range and ValueError for a name with
            # a NUL or that can't be encoded.
            self.close()
            raise self._make_error(err) from err
        self.is_pending = False
        return TargetSocket(sock)

    def close(self) -> None:
        """Give the attempt up."""
        self.is_pending = False
        if self._sock is not None:
            self._sock.close()

    def _connect(self, wait_s: float) -> socket.socket:
        host, port = self._address.address, self._address.port
        if self._sock is None:
            # Targets have IP addresses. The resolver would cost a switch to a native thread.
            self._sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        set_options(self._sock)
        self._sock.settimeout(wait_s)
        self._sock.connect((host, port))
        return self._sock

    def _make_error(self, err: Exception) -> TargetNotReachedError:
        refused = isinstance(err, ConnectionRefusedError)
        return TargetNotReachedError(
            f"can't connect to {self._address.name}: {err}", refused=refused
        )


def connect_directly(address: TargetAddress, deadline: float, clock: Clock) -> TargetSocket:
    """Return a socket that is connected by the own link. Raises TargetNotReachedError."""
    attempt = _DirectAttempt(address, clock)
    try:
        return attempt.wait(min(deadline, clock.monotonic() + CONNECT_TIMEOUT_S))
    except TargetNotReachedError:
        attempt.close()
        raise


class DirectDialer:
    """Opens connections by the own links only."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def dial(self, address: TargetAddress, deadline: float) -> Connection:
        """Return a new connection. Raises TargetNotReachedError if none opens in time."""
        return Connection(connect_directly(address, deadline, self._clock), self._clock)

    def may_use(self, address: TargetAddress, connection: Connection) -> bool:
        """Return True: all connections go the only way."""
        return True

    def check_link(self, address: TargetAddress, since: float) -> bool:
        """Return False: there are no other instances."""
        return False

    def list_relayed(self) -> list[str]:
        """Return an empty list."""
        return []

    def add(self, pool: ConnectionPool) -> None:
        """Ignore the pool: its connections need no care."""

    def remove(self, pool: ConnectionPool) -> None:
        """Ignore the pool."""


class RelayingDialer:
    """Opens connections through another instance if the own link fails or hangs.

    Shared by all pools of an instance, as links mostly fail together: once one is known to be cut,
    the others in use are checked.
    """

    def __init__(self, clock: Clock, relays: Relays) -> None:
        self._clock = clock
        self._relays = relays
        self._table = ReachTable()
        self._pools: weakref.WeakSet[ConnectionPool] = weakref.WeakSet()
        self._checks: dict[str, gevent.Greenlet] = {}
        self._link_keeper: gevent.Greenlet | None = None

    def list_relayed(self) -> list[str]:
        """Return the names of the targets that only other instances reach."""
        return sorted(self._table.probe_at)

    def dial(self, address: TargetAddress, deadline: float) -> Connection:
        """Return a new connection, by the own link or through another instance.

        Raises TargetNotReachedError if none opens in time.
        """
        now = self._clock.monotonic()
        deadline = min(deadline, now + HEDGE_DELAY_S + RACE_TIMEOUT_S)
        reach.record_use(self._table, address.name, now)
        refused = False
        if reach.is_relayed(self._table, address.name):
            try:
                return self._dial_relayed(address, deadline)
            except TargetNotReachedError as err:
                reach.record_unreached(self._table, address.name, self._clock.monotonic())
                refused = err.refused
                logger.bind(target=address.name, error=str(err)).info("relays_failed")
        attempt = _DirectAttempt(address, self._clock)
        try:
            sock = attempt.wait(min(deadline, now + HEDGE_DELAY_S))
        except TargetNotReachedError as err:
            err.refused = err.refused or refused
            return self._race(address, attempt, err, deadline)
        self._record_direct(address)
        return Connection(sock, self._clock)

    def may_use(self, address: TargetAddress, connection: Connection) -> bool:
        """Return whether an idle connection still goes the right way."""
        return reach.may_use_idle(self._table, address.name, relayed=bool(connection.relay))

    def check_link(self, address: TargetAddress, since: float) -> bool:
        """Return whether only other instances reach the target.

        Waits for a check unless the own link worked ``since`` then, in monotonic seconds.
        """
        if reach.must_check(self._table, address.name, since):
            check = self._checks.get(address.name)
            if check is None:
                check = self._checks[address.name] = gevent.spawn(self._check, address)
            check.join()
        return reach.is_link_cut(self._table, address.name, self._clock.monotonic())

    def add(self, pool: ConnectionPool) -> None:
        """Look after the idle connections of a pool until it is removed."""
        self._pools.add(pool)

    def remove(self, pool: ConnectionPool) -> None:
        """Forget a pool, and what is known of its target."""
        self._pools.discard(pool)
        name = pool.address.name
        if all(other.address.name != name for other in self._pools):
            reach.forget(self._table, name)

    def _dial_relayed(self, address: TargetAddress, deadline: float) -> Connection:
        channel, relay = self._relays.open(address, deadline)
        return Connection(channel, self._clock, relay)

    def _race(
        self,
        address: TargetAddress,
        attempt: _DirectAttempt,
        failure: TargetNotReachedError,
        deadline: float,
    ) -> Connection:
        """Return the first connection of a direct attempt that hangs or failed, and of relays."""
        outcomes: Queue = Queue()
        refused = failure.refused
        waits: list[Callable[[], Connection]] = []
        if attempt.is_pending:
            waits.append(lambda: Connection(attempt.wait(deadline), self._clock))
        if reach.may_ask_relays(self._table, address.name, self._clock.monotonic()):
            waits.append(partial(self._dial_relayed, address, deadline))
        for wait in waits:
            start_attempt(outcomes, address.name, wait)
        for left in reversed(range(len(waits))):
            outcome = outcomes.get()
            if outcome.failure is None:
                self._record_winner(address, outcome.result, hangs=attempt.is_pending)
                if left:
                    gevent.spawn(self._use_loser, address, outcomes, attempt)
                return outcome.result  # type: ignore[no-any-return]
            failure = outcome.failure
            refused = refused or failure.refused
        attempt.close()
        reach.record_unreached(self._table, address.name, self._clock.monotonic())
        raise TargetNotReachedError(failure.message, refused=refused) from failure

    def _record_winner(
        self, address: TargetAddress, connection: Connection, *, hangs: bool
    ) -> None:
        if not connection.relay:
            self._record_direct(address)
            return
        now = self._clock.monotonic()
        if not reach.record_relayed(self._table, address.name, now, hangs=hangs):
            return
        log = logger.bind(target=address.name, relay=connection.relay, hangs=hangs)
        log.warning("target_link_lost")
        if self._link_keeper is None or self._link_keeper.dead:
            self._link_keeper = gevent.spawn(self._keep_links)
        for other in {pool.address for pool in self._pools if pool.idle} - {address}:
            gevent.spawn(self.check_link, other, now)

    def _use_loser(self, address: TargetAddress, outcomes: Queue, attempt: _DirectAttempt) -> None:
        """Close what opened too late; a direct connection shows that the own link works."""
        connection = outcomes.get().result
        if connection is None:
            attempt.close()
        elif connection.relay:
            connection.close()
        else:
            self._record_direct(address)
            self._keep(address, connection)

    def _record_direct(self, address: TargetAddress) -> None:
        if reach.record_direct(self._table, address.name, self._clock.monotonic()):
            logger.bind(target=address.name).warning("target_link_restored")

    def _check(self, address: TargetAddress) -> None:
        """Open a connection to learn which way works, and keep it for later requests."""
        try:
            connection = self.dial(address, self._clock.monotonic() + CHECK_TIMEOUT_S)
        except TargetNotReachedError as err:
            logger.bind(target=address.name, error=str(err)).info("target_check_failed")
        else:
            self._keep(address, connection)
        finally:
            self._checks.pop(address.name, None)

    def _keep(self, address: TargetAddress, connection: Connection) -> None:
        pool = next((pool for pool in self._pools if pool.address == address), None)
        if pool is None:
            connection.close()
        else:
            pool.release(connection)

    def _keep_links(self) -> None:
        """Try lost links again, and close idle connections that are of no use any more."""
        while self._table.probe_at:
            gevent.sleep(SWEEP_PERIOD_S)
            due = reach.take_due_probes(self._table, self._clock.monotonic())
            for address in {pool.address for pool in self._pools}:
                if address.name in due:
                    gevent.spawn(self._probe, address)
            self._sweep()
        self._sweep()

    def _sweep(self) -> None:
        for pool in list(self._pools):
            pool.sweep()

    def _probe(self, address: TargetAddress) -> None:
        try:
            deadline = self._clock.monotonic() + PROBE_TIMEOUT_S
            sock = connect_directly(address, deadline, self._clock)
        except TargetNotReachedError as err:
            logger.bind(target=address.name, error=str(err)).debug("target_link_still_lost")
            return
        self._record_direct(address)
        self._keep(address, Connection(sock, self._clock))


def create_dialer(clock: Clock, relays: Relays | None = None) -> Dialer:
    """Return what opens connections; without ``relays`` by the own links only."""
    return DirectDialer(clock) if relays is None else RelayingDialer(clock, relays)
