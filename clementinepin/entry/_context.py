"""What all resources of the entry share."""

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

CLIENTS_MAX: Final = 4_096


class Targets:
    """Clients of targets, one an address, made on first use."""

    def __init__(
        self,
        clock: Clock,
        create_engine: Callable[[TargetAddress], Engine],
        create_plain: Callable[[TargetAddress, Clock], PlainService],
    ) -> None:
        self._clock = clock
        self._create_engine = create_engine
        self._create_plain = create_plain
        self._engines: dict[TargetAddress, Engine] = {}
        self._plains: dict[TargetAddress, PlainService] = {}

    def get_engine(self, address: TargetAddress) -> Engine:
        """Return the client of an engine."""
        engine = self._engines.get(address)
        if engine is None:
            if len(self._engines) >= CLIENTS_MAX:
                self._engines.clear()
            engine = self._engines[address] = self._create_engine(address)
        return engine

    def get_plain(self, address: TargetAddress) -> PlainService:
        """Return the client of a plain service."""
        plain = self._plains.get(address)
        if plain is None:
            if len(self._plains) >= CLIENTS_MAX:
                self._plains.clear()
            plain = self._plains[address] = self._create_plain(address, self._clock)
        return plain


class Background:
    """Calls that go on without their caller; a stop waits for them."""

    def __init__(self) -> None:
        self._group = Group()

    @property
    def active(self) -> int:
        """Return how many run."""
        return len(self._group)

    def spawn(self, function: Callable[..., object], *args: object) -> None:
        """Run a function in a greenlet."""
        self._group.spawn(function, *args)


class EntryContext(NamedTuple):
    """Components that the resources call, and ``background`` for what outlives its caller."""

    core: Core
    scheduler: Scheduler
    batch: BatchService
    claims: ClaimStore
    fleet: Fleet
    targets: Targets
    signer: ResumeSigner
    background: Background

    def get_configuration(self) -> Configuration:
        """Return the configuration in force; raises ConfigurationMissingError."""
        if self.core.configuration is None:
            raise ConfigurationMissingError("no configuration is in force here yet")
        return self.core.configuration

    def compute_deadline(self, request: Request, timeout_s: float) -> float:
        """Return the monotonic deadline: the caller's wall-clock one, bounded by a timeout."""
        now = self.core.clock.monotonic()
        text = request.get_header(HEADER_DEADLINE)
        if not text:
            return now + timeout_s
        try:
            left_s = float(text) - self.core.clock.wall()
        except ValueError as err:
            raise DeadlineInvalidError(f"{HEADER_DEADLINE} must be a time in seconds") from err
        if left_s != left_s:
            raise DeadlineInvalidError(f"{HEADER_DEADLINE} must be a time in seconds")
        if left_s <= 0:
            raise DeadlinePassedError("the deadline had passed on arrival")
        return now + min(left_s, timeout_s)
