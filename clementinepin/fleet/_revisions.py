"""Configuration revisions and their parts in the key-value service.

Once N is known to be the newest revision, revision N + 1 is created with a conditional write
that succeeds only if it is absent. The first writer wins; the others get the winner's manifest
from the version conflict.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import gevent
from loguru import logger

from clementinepin.config import ConfigurationPartError
from clementinepin.const import PREFIX_CONFIG
from clementinepin.fleet._messages import Manifest, decode_manifest, encode_manifest
from clementinepin.fleet.exceptions import (
    ConfigurationConflictError,
    ConfigurationUnavailableError,
    ConfigurationUnknownError,
)
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.rows import KEY_MAX_CHARS
from clementinepin.infrastructure import KeyValue, KeyValueStore
from clementinepin.infrastructure.exceptions import (
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)

LOG_PREFIX = "configuration:"
PREFIX_REVISIONS = PREFIX_CONFIG + "revisions/"
PREFIX_PARTS = PREFIX_CONFIG + "parts/"
REVISION_DIGITS = 20
PAGE_ROWS = 100
RESOLVE_PAUSE_S = 0.2
RESOLVE_ATTEMPTS_MAX = 25
RETRY_AFTER_S = 5.0
VERIFY_AFTER_S = 60.0


def format_revision_key(revision: int) -> str:
    """Return the key of a revision; the order of keys is that of the revision numbers."""
    return f"{PREFIX_REVISIONS}{revision:0{REVISION_DIGITS}d}"


class RevisionStore:
    """Reads and creates revisions and parts."""

    def __init__(self, key_value: KeyValueStore, clock: Clock) -> None:
        self._key_value = key_value
        self._clock = clock

    def read_newest(self, known_newest: Manifest | None) -> Manifest | None:
        """Return the newest manifest, which is ``known_newest`` if no later revision exists.

        Rows that are no revisions are skipped. Raise PlatformUnavailableError.
        """
        newest = known_newest
        after = format_revision_key(known_newest["revision"]) if known_newest else ""
        while True:
            rows = self._key_value.list_range(PREFIX_REVISIONS, after=after, limit=PAGE_ROWS)
            found = (_read_manifest(row) for row in reversed(rows))
            newest = next((manifest for manifest in found if manifest is not None), newest)
            if len(rows) < PAGE_ROWS:
                return newest
            after = rows[-1].key

    def read_parts(self, digests: Iterable[str]) -> dict[str, bytes]:
        """Return the stored parts by digest; missing ones are left out."""
        rows = ((digest, self._key_value.get(PREFIX_PARTS + digest)) for digest in digests)
        return {digest: row.value for digest, row in rows if row is not None}

    def create_revision(self, manifest: Manifest, parts: Mapping[str, bytes]) -> None:
        """Write the parts, then the manifest; on return the file set is accepted.

        Raise ConfigurationConflictError (another file set was accepted first),
        ConfigurationUnavailableError (nothing was accepted) or ConfigurationUnknownError (it may
        be accepted).
        """
        started_at = self._clock.monotonic()
        try:
            for digest, data in parts.items():
                self._write_part(digest, data)
        except (PlatformUnavailableError, ReplyLostError, VersionConflictError) as err:
            raise self._create_unavailable_error() from err
        self._write_manifest(manifest)
        if self._clock.monotonic() - started_at > VERIFY_AFTER_S:
            self._verify_base(manifest, parts)

    def _write_part(self, digest: str, data: bytes) -> None:
        key = PREFIX_PARTS + digest
        try:
            self._key_value.put(key, data, expected=0)
        except VersionConflictError as err:
            # The rewrite changes the part's version, so the collector does not delete the part
            # before the new revision refers to it.
            self._key_value.put(key, data, expected=err.current)
        except ReplyLostError:
            if self._key_value.get(key) is None:
                raise

    def _verify_base(self, manifest: Manifest, parts: Mapping[str, bytes]) -> None:
        """Check after a slow write whether the base revision or parts were collected meanwhile.

        A collected part is written again. If the base revision is gone and later revisions exist,
        the write may have recreated an old revision: raise the conflict with the newest one.
        """
        revision = manifest["revision"]
        try:
            base = self._key_value.get(format_revision_key(revision - 1))
            newest = self.read_newest(manifest)
            stored = self.read_parts(parts)
            for digest in [digest for digest in parts if digest not in stored]:
                self._write_part(digest, parts[digest])
        except (PlatformUnavailableError, ReplyLostError, VersionConflictError) as err:
            raise ConfigurationUnknownError(f"revision {revision} may be accepted") from err
        if base is None and newest is not None and newest["revision"] > revision:
            raise create_conflict(newest)

    def _write_manifest(self, manifest: Manifest) -> None:
        key = format_revision_key(manifest["revision"])
        value = encode_manifest(manifest)
        was_sent = False
        for _ in range(RESOLVE_ATTEMPTS_MAX):
            try:
                self._key_value.put(key, value, expected=0)
                return
            except VersionConflictError as err:
                self._check_winner(manifest, err)
                return
            except ReplyLostError:
                # The next write resolves the outcome: it finds either this writer's revision or
                # the winner's.
                was_sent = True
            except PlatformUnavailableError as err:
                if not was_sent:
                    raise self._create_unavailable_error() from err
            gevent.sleep(RESOLVE_PAUSE_S)
        raise ConfigurationUnknownError(f"revision {manifest['revision']} may be accepted")

    def _check_winner(self, manifest: Manifest, conflict: VersionConflictError) -> None:
        """Raise the conflict unless the stored revision is this writer's own."""
        if conflict.value is None:
            raise ConfigurationUnknownError(f"key {conflict.key} was deleted during the write")
        try:
            winner = decode_manifest(conflict.value)
        except ConfigurationPartError as err:
            # An earlier attempt, whose reply was lost, may have been accepted and overwritten.
            raise ConfigurationUnknownError(f"{conflict.key} can't be read: {err}") from err
        if winner["operation_id"] != manifest["operation_id"]:
            raise create_conflict(winner)

    def _create_unavailable_error(self) -> ConfigurationUnavailableError:
        return ConfigurationUnavailableError(
            "the key-value service can't be reached", retry_at=self._clock.wall() + RETRY_AFTER_S
        )


def _read_manifest(row: KeyValue) -> Manifest | None:
    """Return the manifest in a row, or None if the row is no revision, which is logged."""
    try:
        manifest = decode_manifest(row.value)
    except ConfigurationPartError as err:
        logger.warning("{} Skipped {}: {}.", LOG_PREFIX, row.key[:KEY_MAX_CHARS], err)
        return None
    if format_revision_key(manifest["revision"]) != row.key:
        logger.warning("{} Skipped {}, which is no revision.", LOG_PREFIX, row.key[:KEY_MAX_CHARS])
        return None
    return manifest


def create_conflict(winner: Manifest) -> ConfigurationConflictError:
    """Return the error that names the file set which was accepted first."""
    return ConfigurationConflictError(
        winner["revision"], winner["digest"], winner["accepted_by"], winner["accepted_at"]
    )
