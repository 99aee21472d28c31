"""Record in the store of the software versions that targets have had.

Load pattern: all instances stop at once while a release ends. Callers resume streams of a version
whose last target went meanwhile, and only the other version is left for new instances to see.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import gevent
import msgspec
from gevent.event import Event
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.containment import keep_running
from clementinepin.helpers.decoding import make_msgpack_decoder
from clementinepin.infrastructure import Change, KeyValue
from clementinepin.serving._fleet import FleetView
from clementinepin.serving.store import HedgingStore
from clementinepin.systems import stream_versions
from clementinepin.tables.streams import StreamTable

CHECK_PERIOD_S: Final = 0.5  # until another instance takes the writing over
RETRY_S: Final = 0.5


class VersionRecord(msgspec.Struct, array_like=True, frozen=True):
    """The software versions of each service that are registered or went a short time ago.

    No other version was there since ``complete_since_ms`` (Unix time).
    """

    complete_since_ms: int
    versions: dict[str, list[str]]


_encode = msgspec.msgpack.Encoder().encode
_decode: Callable[[bytes], VersionRecord] = make_msgpack_decoder(VersionRecord)


class VersionRecords:
    """Reads the record when this instance starts, and keeps it up to date.

    One instance writes: the first of those that may relay to the store. ``is_first_start`` says
    that the whole fleet starts for the first time, so that no version can be unknown.
    """

    def __init__(
        self, store: HedgingStore, own_prefix: str, fleet: FleetView, clock: Clock, name: str
    ) -> None:
        self._store = store
        self._key = own_prefix + "versions"
        self._fleet = fleet
        self._clock = clock
        self._name = name
        self._tables: list[StreamTable] = []
        self._changed = Event()
        self._row: KeyValue | None = None
        self._complete_since_ms: int | None = None

    def add_table(self, streams: StreamTable) -> None:
        """Tell a table of the versions in the record; until it is read, they are unknown."""
        streams.complete_since = float("inf")
        self._tables.append(streams)

    def start(self, *, is_first_start: bool) -> None:
        """Read the record and keep it up to date in the background."""
        self._fleet.subscribe(self._changed.set)
        gevent.spawn(keep_running, "version_records", lambda: self._run(is_first_start))

    def read_again(self) -> None:
        """Merge the versions that other instances have recorded since the last reading.

        Raises PlatformUnavailableError or ReplyLostError.
        """
        for row in self._store.list_hedged(self._key).values:
            record = self._decode(row) if row.key == self._key else None
            if record is not None and self._complete_since_ms is not None:
                self._merge(record.versions, record.complete_since_ms)

    def _run(self, is_first_start: bool) -> None:
        while True:
            try:
                if self._row is None:
                    self._read(is_first_start)
                if self._is_writer():
                    self._write()
            except ClementinepinError as err:
                logger.bind(error=str(err)).info("version_record_not_written")
                self._row = None
                gevent.sleep(RETRY_S)
            self._changed.wait(CHECK_PERIOD_S)
            self._changed.clear()

    def _is_writer(self) -> bool:
        first = next(iter(self._fleet.list_relays()), None)
        return first is not None and first.name == self._name and self._fleet.follows_targets()

    def _read(self, is_first_start: bool) -> None:
        """Merge the record into the tables.

        Without one, the versions before now are unknown, but for the first start of the fleet.
        """
        row = self._store.get(self._key)
        record = self._decode(row) if row is not None else None
        if record is not None:
            since_ms = record.complete_since_ms
        else:
            is_first = is_first_start and row is None
            since_ms = 0 if is_first else int(self._clock.wall() * 1000)
        versions = record.versions if record is not None else {}
        since_ms = self._merge(versions, since_ms)
        self._row = row or KeyValue(self._key, b"", 0)
        log = logger.bind(versions=versions, complete_since_ms=since_ms)
        log.bind(store_version=self._row.version).info("version_record_read")

    def _merge(self, versions: dict[str, list[str]], since_ms: int) -> int:
        """Merge the versions of a record; return since when they are complete (Unix ms).

        A time that is known already is not converted again, as the wall clock may be set meanwhile.
        """
        now, known_ms = self._clock.monotonic(), self._complete_since_ms
        complete_since = float("inf")
        if known_ms is None or since_ms < known_ms:
            self._complete_since_ms = since_ms
            complete_since = now - max(0.0, self._clock.wall() - since_ms / 1000)
        else:
            since_ms = known_ms
        for streams in self._tables:
            stream_versions.merge_versions(streams, versions, complete_since, now)
        return since_ms

    def _decode(self, row: KeyValue) -> VersionRecord | None:
        try:
            return _decode(row.value)
        except msgspec.DecodeError as err:
            logger.bind(key=row.key, error=str(err)).error("version_record_unreadable")
            return None

    def _write(self) -> None:
        """Write the versions that this instance knows, unless the record has them already."""
        now = self._clock.monotonic()
        versions: dict[str, set[str]] = {}
        for streams in self._tables:
            for service, known in stream_versions.list_versions(streams, now).items():
                versions.setdefault(service, set()).update(known)
        rows = {service: sorted(known) for service, known in sorted(versions.items()) if known}
        value = _encode(VersionRecord(self._complete_since_ms or 0, rows))
        row = self._row
        if row is None or value == row.value:
            return
        version = self._store.write(Change({self._key: row.version}, {self._key: value}))
        self._row = KeyValue(self._key, value, version)
        logger.bind(versions=rows, store_version=version).info("version_record_written")
