"""Leases in the key-value service that make an instance the steward of a service."""

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
PREFIX_HAD_STEWARD = PREFIX_LEASES + "stewards-known/"
HOLDERS_MAX = 1000

UNREACHABLE_ERRORS = (PlatformUnavailableError, ReplyLostError)


class LeaseKeeper:
    """Acquires, extends and releases leases.

    The version of the key that names the holder is the lease's fencing number, so each new
    lease has a higher one.
    """

    def __init__(self, key_value: KeyValueStore, clock: Clock, own_name: str) -> None:
        self._key_value = key_value
        self._clock = clock
        self._own_name = own_name

    def acquire(self, service: str, *, checks_fencing: bool) -> StewardLease | None:
        """Return a new lease of a service.

        Return None if another instance holds it, or if the key-value service can't be reached or
        a reply was lost.
        """
        key = PREFIX_STEWARDS + service
        try:
            if self._key_value.get(key) is not None:
                return None
            grant = self._key_value.grant_lease(LEASE_TTL_S)
        except UNREACHABLE_ERRORS:
            return None
        try:
            fencing_number = self._key_value.put(
                key, self._own_name.encode(), expected=0, lease_id=grant.lease_id
            )
        except (VersionConflictError, LeaseLostError, *UNREACHABLE_ERRORS):
            # After a lost reply the key may name this instance; it is deleted with the lease.
            self.release(grant.lease_id)
            return None
        logger.info(
            "{} Became steward of {} with fencing number {}.", LOG_PREFIX, service, fencing_number
        )
        # The mark is also written for services whose engines check fencing numbers, because
        # checks_fencing may be false in a later configuration.
        is_first = self._mark_first_steward(service)
        return self._create_lease(
            grant, fencing_number, must_wait=not checks_fencing and not is_first
        )

    def extend(self, lease: StewardLease) -> StewardLease | None:
        """Extend a lease and return it with its new deadline.

        Return it unchanged if the key-value service can't be reached or the reply was lost, and
        None if the lease has ended.
        """
        try:
            grant = self._key_value.keep_lease(lease.lease_id)
        except LeaseLostError:
            return None
        except UNREACHABLE_ERRORS:
            return lease
        return lease._replace(deadline=grant.deadline)

    def release(self, lease_id: int) -> None:
        """End a lease; if the key-value service can't be reached it expires by itself."""
        try:
            self._key_value.revoke_lease(lease_id)
        except (LeaseLostError, *UNREACHABLE_ERRORS):
            logger.debug("{} Lease {} was not revoked and is left to expire.", LOG_PREFIX, lease_id)

    def list_holders(self) -> dict[str, str]:
        """Return the steward's instance name by service; raises PlatformUnavailableError."""
        rows = self._key_value.list_range(PREFIX_STEWARDS, limit=HOLDERS_MAX)
        return {
            row.key.removeprefix(PREFIX_STEWARDS): row.value.decode("utf-8", "replace")
            for row in rows
        }

    def _mark_first_steward(self, service: str) -> bool:
        """Create the mark that the service has had a steward, and return whether it was absent.

        Only one instance can create the mark. Return False if the outcome is unknown.
        """
        try:
            self._key_value.put(PREFIX_HAD_STEWARD + service, self._own_name.encode(), expected=0)
        except (VersionConflictError, *UNREACHABLE_ERRORS):
            return False
        return True

    def _create_lease(
        self, grant: LeaseGrant, fencing_number: int, *, must_wait: bool
    ) -> StewardLease:
        # The previous lease has ended, but an order sent under it may still be running at an
        # engine that does not check fencing numbers.
        wait_s = ORDER_MAX_S if must_wait else 0.0
        orders_from = self._clock.monotonic() + wait_s
        return StewardLease(grant.lease_id, fencing_number, grant.deadline, orders_from)
