"""View of the targets: their entries in the store, and what they said of themselves."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Final

from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.helpers.containment import contain_failure
from clementinepin.infrastructure import KeyValue
from clementinepin.serving._metrics import ServingMetrics
from clementinepin.serving._outages import ExpiryGrace, StoreOutages
from clementinepin.serving.models import Target
from clementinepin.serving.wire import Wire
from clementinepin.systems import leaving
from clementinepin.tables.leaving import LeavingTable, TargetStart

VALUE_SHOWN_MAX: Final = 80  # bytes of an entry that can't be read, in a log line


class TargetView:
    """Targets by id. Entries that expire in an outage of the store stay for a grace time.

    An entry may come from another writer. One that names no target ends the use of the target that
    it named before; ``_odd_keys`` has the keys of those that were logged.

    A target that said in a response that it leaves is draining here, whatever its entry says.
    """

    def __init__(
        self,
        wire: Wire,
        outages: StoreOutages,
        clock: Clock,
        on_change: Callable[[], None],
        metrics: ServingMetrics | None = None,
    ) -> None:
        self._wire = wire
        self._clock = clock
        self._on_change = on_change
        self._metrics = metrics
        self._leaving = LeavingTable()
        self.leaving_listeners: list[Callable[[TargetStart], None]] = []
        self._grace = ExpiryGrace(outages)
        self._odd_keys: set[str] = set()
        self.rows: dict[str, Target] = {}

    def list_services(self) -> set[str]:
        """Return the services that have a target that is not draining."""
        return {row.service for row in self.rows.values() if not row.draining}

    def replace_rows(self, rows: list[KeyValue]) -> None:
        """Replace the state by the rows of the whole range."""
        seen = set()
        for row in rows:
            with contain_failure("target_entry", key=row.key):
                target = self._read(row.key, row.value, row.version)
                if target is not None:
                    seen.add(target.target_id)
                    self._put(target)
        self._odd_keys &= {row.key for row in rows}
        for target_id in set(self.rows) - seen:
            self._handle_missing(target_id)
        self._on_change()

    def apply_change(self, key: str, value: bytes | None, version: int) -> None:
        """Apply one changed entry, or its removal."""
        if value is None:
            self._odd_keys.discard(key)
            self._handle_missing(self._wire.read_target_id(key))
        elif (target := self._read(key, value, version)) is not None:
            self._put(target)
        self._on_change()

    def is_same(self, old: bytes, new: bytes) -> bool:
        """Return whether two entries of a target differ in keep-alive data only."""
        key = self._wire.targets_prefix + "any"
        return self._wire.read_target(key, old) == self._wire.read_target(key, new)

    def prune(self) -> None:
        """Remove targets whose grace time ended."""
        ended = self._grace.pop_ended()
        for target_id in ended:
            self._remove(target_id, "lapsed")
        if ended:
            self._on_change()
        for start in leaving.take_ended(self._leaving, self._clock.monotonic()):
            _log_leaving_ended(start, "gone")

    def record_leaving(self, start: TargetStart, **source: str) -> None:
        """Give a target no new requests, as it said that it leaves.

        ``source`` says who heard it, for the log. A late word about an earlier start is ignored.
        """
        current = self.rows.get(start.target_id)
        if current is not None and start.started_at_ms < current.started_at_ms:
            return
        if not leaving.record_leaving(self._leaving, start):
            return
        log = logger.bind(target=start.target_id, started_at_ms=start.started_at_ms, **source)
        log.info("target_leaving")
        if self._metrics is not None:
            self._metrics.count_leaving_target()
        if current is None:
            leaving.record_gone(self._leaving, start.target_id, self._clock.monotonic())
        elif current.start == start:
            self.rows[start.target_id] = current._replace(draining=True)
            self._on_change()
        for listener in self.leaving_listeners:
            with contain_failure("leaving_listener", target=start.target_id):
                listener(start)

    def list_leaving(self) -> list[TargetStart]:
        """Return the starts of targets that said that they leave."""
        return list(self._leaving.gone_at)

    def find_usable(self, target_id: str, software_version: str) -> Target | None:
        """Return the target if it may get new requests and has the version, else None.

        An empty ``software_version`` allows any.
        """
        target = self.rows.get(target_id)
        if target is None or target.draining:
            return None
        return target if software_version in ("", target.software_version) else None

    def _read(self, key: str, value: bytes, version: int) -> Target | None:
        """Return the target in an entry.

        If it names none, its former target is removed at once, without the grace time of entries
        that expire, and that is logged once until the entry is read again.
        """
        target = self._wire.read_target(key, value)
        if target is not None:
            self._odd_keys.discard(key)
            return target
        target_id = self._wire.read_target_id(key)
        self._grace.record_present(target_id)
        self._remove(target_id, "entry unreadable")
        if key not in self._odd_keys:
            self._odd_keys.add(key)
            log = logger.bind(key=key, store_version=version, size=len(value))
            log.bind(value=repr(value[:VALUE_SHOWN_MAX])).warning("target_entry_unreadable")
        return None

    def has_other(self, target_id: str, excluded: Collection[str]) -> bool:
        """Return whether another target of the same service and version may get new requests."""
        target = self.rows.get(target_id)
        return target is not None and any(
            row.service == target.service
            and row.software_version == target.software_version
            and not row.draining
            and row.target_id != target_id
            and row.target_id not in excluded
            for row in self.rows.values()
        )

    def _put(self, target: Target) -> None:
        self._grace.record_present(target.target_id)
        for start in leaving.record_entry(self._leaving, target.start):
            _log_leaving_ended(start, "started again")
        if leaving.is_leaving(self._leaving, target.start):
            target = target._replace(draining=True)
        current = self.rows.get(target.target_id)
        if current != target:
            self.rows[target.target_id] = target
            log = logger.bind(target=target.target_id, draining=target.draining)
            log.bind(
                address=f"{target.host}:{target.port}", software_version=target.software_version
            ).info("target_known")

    def _handle_missing(self, target_id: str) -> None:
        if target_id in self.rows and self._grace.record_missing(target_id):
            self._remove(target_id, "removed")

    def _remove(self, target_id: str, reason: str) -> None:
        if self.rows.pop(target_id, None) is not None:
            leaving.record_gone(self._leaving, target_id, self._clock.monotonic())
            logger.bind(target=target_id, reason=reason).info("target_gone")


def _log_leaving_ended(start: TargetStart, reason: str) -> None:
    log = logger.bind(target=start.target_id, started_at_ms=start.started_at_ms, reason=reason)
    log.info("target_leaving_ended")
