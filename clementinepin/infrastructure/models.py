"""Protocols and rows of the platform's services."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple, Protocol


class KeyValue(NamedTuple):
    """A stored value. ``version`` is the store revision of its last change."""

    key: str
    value: bytes
    version: int


class LeaseGrant(NamedTuple):
    """A lease; ``deadline`` is monotonic seconds, counted from before the call was sent."""

    lease_id: int
    deadline: float


class WatchEvent(NamedTuple):
    """A change seen by a watch; ``value`` is None for a deletion."""

    key: str
    value: bytes | None
    version: int


class KeyValueStore(Protocol):
    """The platform's key-value service.

    Every method may raise PlatformUnavailableError (nothing happened). Writes may raise
    ReplyLostError (unknown; read back to settle) and VersionConflictError.
    """

    def get(self, key: str) -> KeyValue | None:
        """Return the value of a key, or None."""

    def put(self, key: str, value: bytes, *, expected: int | None, lease_id: int = 0) -> int:
        """Write if the version matches and return the new one.

        ``expected`` 0 means the key must be absent; None writes unconditionally.
        """

    def delete(self, key: str, *, expected: int | None) -> None:
        """Delete if the version matches."""

    def list_range(self, prefix: str, *, after: str = "", limit: int = 1000) -> list[KeyValue]:
        """Return values under a prefix in key order, starting behind key ``after``."""

    def grant_lease(self, ttl_s: float) -> LeaseGrant:
        """Create a lease."""

    def keep_lease(self, lease_id: int) -> LeaseGrant:
        """Extend a lease; raises LeaseLostError once it lapsed."""

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""

    def watch(self, prefix: str, *, after_version: int) -> Iterator[WatchEvent]:
        """Yield changes behind a version until the connection drops (PlatformUnavailableError)."""


class Change(NamedTuple):
    """A write that is applied as a whole when each key has its expected version (0: absent)."""

    expected: dict[str, int]
    put: dict[str, bytes]
    remove: tuple[str, ...] = ()
    lease_id: int = 0


class Page(NamedTuple):
    """Values under a prefix in key order; changes behind ``version`` may be watched.

    ``is_last`` is False when more values follow.
    """

    values: list[KeyValue]
    version: int
    is_last: bool = True


class StateStore(Protocol):
    """A linearizable store with versions, leases and watches.

    Every method may raise PlatformUnavailableError (nothing was done) or ReplyLostError.
    """

    def get(self, key: str) -> KeyValue | None:
        """Return the current value of a key, or None."""

    def list_range(self, prefix: str) -> Page:
        """Return all values under a prefix."""

    def list_page(self, prefix: str, after: str) -> Page:
        """Return the first values under a prefix behind a key, as many as fit in one answer."""

    def watch(self, prefix: str, after: int) -> tuple[list[WatchEvent], int]:
        """Wait for changes behind a version and return them with the version to go on from."""

    def write(self, change: Change) -> int:
        """Apply a change as a whole and return its version."""

    def grant_lease(self, ttl_s: float) -> LeaseGrant:
        """Create a lease."""

    def keep_lease(self, lease_id: int) -> LeaseGrant:
        """Extend a lease; raises LeaseLostError once it ended."""

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""


class ListedInstance(NamedTuple):
    """A row of the platform's lagging instance list.

    ``service`` is ``clementinepin`` for our own instances, else the service's name.
    ``peer_port`` is 0 for targets.
    """

    name: str
    service: str
    address: str
    port: int
    peer_port: int
    data_centre: str
    region: str
    state: str


class InstanceList(Protocol):
    """The platform's list of live and leaving instances."""

    def fetch(self) -> list[ListedInstance]:
        """Return the list; raises PlatformUnavailableError."""


class WeightStore(Protocol):
    """The platform's rate-limited store of model weights."""

    def check_rate(self, path: str) -> float:
        """Return the wall-clock time from which a load of the path may start."""
