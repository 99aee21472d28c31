"""Context that all resources of the entry share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple

from gevent.pool import Group

from clementinepin.batch import BatchService
from clementinepin.claims import ClaimStore
from clementinepin.config import Configuration
from clementinepin.const import HEADER_DEADLINE
from clementinepin.core import Core
from clementinepin.entry._http import Request
from clementinepin.entry._resume import ResumeSigner
from clementinepin.entry.exceptions import (
    ConfigurationMissingError,
    DeadlineInvalidError,
    DeadlinePassedError,
)
from clementinepin.fleet import Fleet
from clementinepin.helpers.clock import Clock
from clementinepin.scheduling import Scheduler
from clementinepin.targets import Engine, PlainService, TargetAddress

# All clients are dropped when this many addresses are known.
CLIENTS_MAX: Final = 4_096


class TargetClients:
    """Clients of targets, one per address, created on first use."""

    def __init__(
        self,
        clock: Clock,
        create_engine: Callable[[TargetAddress], Engine],
        create_plain_service: Callable[[TargetAddress, Clock], PlainService],
    ) -> None:
        self._clock = clock
        self._create_engine = create_engine
        self._create_plain = create_plain_service
        self._engine_clients: dict[TargetAddress, Engine] = {}
        self._plain_clients: dict[TargetAddress, PlainService] = {}

    def get_engine(self, address: TargetAddress) -> Engine:
        """Return the client for an engine."""
        engine = self._engine_clients.get(address)
        if engine is None:
            if len(self._engine_clients) >= CLIENTS_MAX:
                self._engine_clients.clear()
            engine = self._engine_clients[address] = self._create_engine(address)
        return engine

    def get_plain(self, address: TargetAddress) -> PlainService:
        """Return the client for a target of a plain service."""
        plain = self._plain_clients.get(address)
        if plain is None:
            if len(self._plain_clients) >= CLIENTS_MAX:
                self._plain_clients.clear()
            plain = self._plain_clients[address] = self._create_plain(address, self._clock)
        return plain


class BackgroundCalls:
    """Calls that continue after their caller has disconnected. ``Entry.stop`` waits for them."""

    def __init__(self) -> None:
        self._group = Group()

    @property
    def active(self) -> int:
        """Return the number of running calls."""
        return len(self._group)

    def spawn(self, function: Callable[..., object], *args: object) -> None:
        """Run a function in a greenlet."""
        self._group.spawn(function, *args)


class EntryContext(NamedTuple):
    """Components that the resources use.

    ``background`` runs calls that continue without their caller.
    """

    core: Core
    scheduler: Scheduler
    batch: BatchService
    claims: ClaimStore
    fleet: Fleet
    targets: TargetClients
    signer: ResumeSigner
    background: BackgroundCalls

    def get_configuration(self) -> Configuration:
        """Return the current configuration; raise ConfigurationMissingError if there is none."""
        if self.core.configuration is None:
            raise ConfigurationMissingError("this instance has no configuration yet")
        return self.core.configuration

    def compute_deadline(self, request: Request, timeout_s: float) -> float:
        """Return the deadline of a request in monotonic seconds.

        It is the caller's wall-clock deadline, limited to ``timeout_s`` from now. Raise
        DeadlineInvalidError or DeadlinePassedError.
        """
        now = self.core.clock.monotonic()
        text = request.get_header(HEADER_DEADLINE)
        if not text:
            return now + timeout_s
        try:
            remaining_s = float(text) - self.core.clock.wall()
        except ValueError as err:
            raise DeadlineInvalidError(
                f"{HEADER_DEADLINE} must be a wall-clock time in seconds"
            ) from err
        # Only NaN, which float() accepts, is unequal to itself.
        if remaining_s != remaining_s:
            raise DeadlineInvalidError(f"{HEADER_DEADLINE} must be a wall-clock time in seconds")
        if remaining_s <= 0:
            raise DeadlinePassedError("the deadline passed before the request arrived")
        return now + min(remaining_s, timeout_s)
