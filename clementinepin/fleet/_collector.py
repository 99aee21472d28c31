"""Deletes old configuration revisions and unreferenced parts from the key-value service."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from loguru import logger

from clementinepin.config import ConfigurationPartError
from clementinepin.fleet._messages import decode_manifest
from clementinepin.fleet._revisions import PAGE_ROWS, PREFIX_PARTS, PREFIX_REVISIONS
from clementinepin.helpers.rendezvous import choose_owner
from clementinepin.infrastructure import KeyValue, KeyValueStore
from clementinepin.infrastructure.exceptions import (
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)
from clementinepin.peers import PeerNetwork
from clementinepin.systems import retention
from clementinepin.systems.retention import SeenPart, StoredRevision

if TYPE_CHECKING:
    from clementinepin.core import Core

LOG_PREFIX = "configuration:"
COLLECT_PERIOD_S = 600.0


class Collector:
    """Collects on the one instance that owns the role ``configuration/collector``.

    While membership views differ, two instances may collect at once; that is safe, because each
    key is deleted only at the version that was listed.
    """

    def __init__(self, core: Core, key_value: KeyValueStore, peers: PeerNetwork) -> None:
        self._core = core
        self._key_value = key_value
        self._peers = peers
        self._seen: dict[str, SeenPart] = {}

    def run(self) -> None:
        """Delete old revisions and unreferenced parts, if this instance is the collector."""
        own = self._core.settings.instance.name
        if choose_owner("configuration/collector", self._peers.list_live()) != own:
            self._seen = {}
            return
        try:
            self._collect()
        except (PlatformUnavailableError, ReplyLostError) as err:
            logger.debug("{} Collection of old revisions stopped: {}.", LOG_PREFIX, err)
        except ConfigurationPartError as err:
            # The parts of a revision that can't be decoded are unknown, so none may be deleted.
            logger.warning("{} Collection of old revisions stopped: {}.", LOG_PREFIX, err)

    def _collect(self) -> None:
        # Parts are listed before revisions. A writer that adds a stored part to a new revision
        # rewrites it first, so a part that was rewritten after its listing has a new version and
        # is not deleted.
        stored = {
            row.key.removeprefix(PREFIX_PARTS): row.version for row in self._list(PREFIX_PARTS)
        }
        revisions = [_read_revision(row) for row in self._list(PREFIX_REVISIONS)]
        outdated = retention.choose_revisions(revisions, self._core.clock.wall())
        for row in outdated:
            self._delete(row.key, row.version)
        kept = revisions[len(outdated) :]
        referenced = {digest for row in kept for digest in row.parts}
        now = self._core.clock.monotonic()
        choice = retention.choose_parts(stored, referenced, self._seen, now)
        self._seen = choice.seen
        for digest, version in choice.deletable.items():
            self._delete(PREFIX_PARTS + digest, version)

    def _list(self, prefix: str) -> Iterator[KeyValue]:
        after = ""
        while True:
            rows = self._key_value.list_range(prefix, after=after, limit=PAGE_ROWS)
            yield from rows
            if len(rows) < PAGE_ROWS:
                return
            after = rows[-1].key

    def _delete(self, key: str, version: int) -> None:
        try:
            self._key_value.delete(key, expected=version)
        except VersionConflictError:
            return
        self._core.metrics.incr("configuration.collected")


def _read_revision(row: KeyValue) -> StoredRevision:
    manifest = decode_manifest(row.value)
    return StoredRevision(row.key, row.version, manifest["accepted_at"], tuple(manifest["parts"]))
