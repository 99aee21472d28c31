"""The lease that makes one instance the steward of a service."""

from __future__ import annotations

from loguru import logger

from clementinepin.const import PREFIX_LEASES
from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure import KeyValueStore, LeaseGrant
from clementinepin.infrastructure.exceptions import (
    LeaseLostError,
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)
from clementinepin.systems.stewardship import LEASE_TTL_S, ORDER_MAX_S
from clementinepin.tables.stewardship import StewardLease

LOG_PREFIX = "stewards:"
PREFIX_STEWARDS = PREFIX_LEASES + "stewards/"
PREFIX_KNOWN = PREFIX_LEASES + "stewards-known/"
HOLDERS_MAX = 1000

UNREACHED = (PlatformUnavailableError, ReplyLostError)


class LeaseKeeper:
    """Takes, extends and ends leases. The version of the lease's key is the fencing number."""

    def __init__(self, key_value: KeyValueStore, clock: Clock, own: str) -> None:
        self._key_value = key_value
        self._clock = clock
        self._own = own

    def acquire(self, service: str, *, checks_fencing: bool) -> StewardLease | None:
        """Return the lease of a service, or None when another holds it or nothing is known."""
        key = PREFIX_STEWARDS + service
        try:
            if self._key_value.get(key) is not None:
                return None
            grant = self._key_value.grant_lease(LEASE_TTL_S)
        except UNREACHED:
            return None
        try:
            number = self._key_value.put(
                key, self._own.encode(), expected=0, lease_id=grant.lease_id
            )
        except (VersionConflictError, LeaseLostError, *UNREACHED):
            # After a lost reply the key may name us; it goes with the lease.
            self.release(grant.lease_id)
            return None
        logger.info("{} Steward of {} with number {}.", LOG_PREFIX, service, number)
        # Marked even where numbers are checked: the configuration may say otherwise later.
        is_first = self._is_first(service)
        return self._create_lease(grant, number, waits=not checks_fencing and not is_first)

    def extend(self, lease: StewardLease) -> StewardLease | None:
        """Return the lease with its new deadline, as it was when out of reach, None if lost."""
        try:
            grant = self._key_value.keep_lease(lease.lease_id)
        except LeaseLostError:
            return None
        except UNREACHED:
            return lease
        return lease._replace(deadline=grant.deadline)

    def release(self, lease_id: int) -> None:
        """End a lease; out of reach it ends by itself."""
        try:
            self._key_value.revoke_lease(lease_id)
        except (LeaseLostError, *UNREACHED):
            logger.debug("{} Lease {} is left to lapse.", LOG_PREFIX, lease_id)

    def list_holders(self) -> dict[str, str]:
        """Return the holder by service; raises PlatformUnavailableError."""
        rows = self._key_value.list_range(PREFIX_STEWARDS, limit=HOLDERS_MAX)
        return {row.key.removeprefix(PREFIX_STEWARDS): row.value.decode() for row in rows}

    def _is_first(self, service: str) -> bool:
        """Tell whether no instance was ever steward: only one can create the service's mark."""
        try:
            self._key_value.put(PREFIX_KNOWN + service, self._own.encode(), expected=0)
        except (VersionConflictError, *UNREACHED):
            return False
        return True

    def _create_lease(self, grant: LeaseGrant, number: int, *, waits: bool) -> StewardLease:
        # The old lease is over, but an order sent in it may still be running at an engine
        # that does not look at numbers.
        wait_s = ORDER_MAX_S if waits else 0.0
        orders_from = self._clock.monotonic() + wait_s
        return StewardLease(grant.lease_id, number, grant.deadline, orders_from)
