"""Protocols of the platform's services, and the rows that they exchange."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final, NamedTuple, Protocol

PORT_MAX: Final = 65_535


class KeyValue(NamedTuple):
    """A key with its value. ``version`` is the store revision of its last change."""

    key: str
    value: bytes
    version: int


class LeaseGrant(NamedTuple):
    """A lease. ``deadline`` is in monotonic seconds.

    It counts from before the call was sent, so the holder never trusts the lease for longer
    than the store does.
    """

    lease_id: int
    deadline: float


class WatchEvent(NamedTuple):
    """A change reported by a watch; ``value`` is None for a deletion."""

    key: str
    value: bytes | None
    version: int


class KeyValueStore(Protocol):
    """The platform's key-value service.

    Every method may raise PlatformUnavailableError (the call had no effect). Writes may raise
    VersionConflictError, or ReplyLostError: the outcome is unknown, and a later read resolves it.
    """

    def get(self, key: str) -> KeyValue | None:
        """Return the value of a key, or None."""

    def put(self, key: str, value: bytes, *, expected: int | None, lease_id: int = 0) -> int:
        """Write the value if the key has the expected version, and return its new version.

        ``expected`` 0 means that the key must be absent; None writes unconditionally. With
        ``lease_id`` the key is deleted when that lease ends.
        """

    def delete(self, key: str, *, expected: int | None) -> None:
        """Delete the key if it has the expected version; None deletes unconditionally."""

    def list_range(self, prefix: str, *, after: str = "", limit: int = 1000) -> list[KeyValue]:
        """Return at most ``limit`` values under a prefix, in key order, from after ``after``."""

    def grant_lease(self, ttl_s: float) -> LeaseGrant:
        """Create a lease that expires after ``ttl_s`` seconds unless it is extended."""

    def keep_lease(self, lease_id: int) -> LeaseGrant:
        """Extend a lease. Raise LeaseLostError if it has ended."""

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""

    def watch(self, prefix: str, *, after_version: int) -> Iterator[WatchEvent]:
        """Yield changes after a version until the connection drops (PlatformUnavailableError).

        Raise WatchCompactedError if the store no longer has all changes after the version.
        """


class Change(NamedTuple):
    """An atomic write: applied only if each key in ``expected`` has that version (0: absent)."""

    expected: dict[str, int]
    put: dict[str, bytes]
    remove: tuple[str, ...] = ()
    lease_id: int = 0


class Page(NamedTuple):
    """Values under a prefix in key order.

    A watch that starts after ``version`` misses no change of these values. ``is_last`` is False
    if more values follow.
    """

    values: list[KeyValue]
    version: int
    is_last: bool = True


class StateStore(Protocol):
    """A linearizable store with versions, leases and watches.

    Every method may raise PlatformUnavailableError (the call had no effect) or ReplyLostError
    (the outcome is unknown).
    """

    def get(self, key: str) -> KeyValue | None:
        """Return the current value of a key, or None."""

    def list_range(self, prefix: str) -> Page:
        """Return all values under a prefix."""

    def list_page(self, prefix: str, after: str) -> Page:
        """Return the first values under a prefix after a key, as many as fit in one response."""

    def watch(self, prefix: str, after: int) -> tuple[list[WatchEvent], int]:
        """Wait for changes after a version; return them and the version to continue after."""

    def write(self, change: Change) -> int:
        """Apply a change atomically and return its version."""

    def grant_lease(self, ttl_s: float) -> LeaseGrant:
        """Create a lease that expires after ``ttl_s`` seconds unless it is extended."""

    def keep_lease(self, lease_id: int) -> LeaseGrant:
        """Extend a lease. Raise LeaseLostError if it has ended."""

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""


class ListedInstance(NamedTuple):
    """A row of the platform's instance list, which lags behind the real state.

    ``service`` is ``clementinepin`` for instances of this product, and the name of the service
    for targets. ``peer_port`` is 0 for targets.
    """

    name: str
    service: str
    address: str
    port: int
    peer_port: int
    data_centre: str
    region: str
    state: str


def is_reachable(row: ListedInstance) -> bool:
    """Return whether the name, address and ports of a row, which another process wrote, are valid.

    Sockets raise other errors than OSError for an invalid address or port.
    """
    is_printable = row.name.isprintable() and row.address.isprintable()
    has_ports = 0 < row.port <= PORT_MAX and 0 <= row.peer_port <= PORT_MAX
    return bool(row.name and row.address) and is_printable and has_ports


class InstanceList(Protocol):
    """The platform's list of live and leaving instances."""

    def fetch(self) -> list[ListedInstance]:
        """Return the list. Raise PlatformUnavailableError if it can't be read."""


class WeightStore(Protocol):
    """The platform's rate-limited store of model weights."""

    def check_rate(self, path: str) -> float:
        """Return the earliest time, in wall-clock seconds, at which a load of the path may start.

        Raise PlatformUnavailableError if the store can't be reached.
        """
