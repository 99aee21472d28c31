"""Revisions and parts in the key-value service.

Revision N + 1 is created if absent, once N is known to be the newest. Whoever creates it
wins; everyone else finds the winner in the failed write.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import gevent

from clementinepin.const import PREFIX_CONFIG
from clementinepin.fleet._messages import Manifest, decode_manifest, encode_manifest
from clementinepin.fleet.exceptions import (
    ConfigurationConflictError,
    ConfigurationUnavailableError,
    ConfigurationUnknownError,
)
from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure import KeyValueStore
from clementinepin.infrastructure.exceptions import (
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)

PREFIX_REVISIONS = PREFIX_CONFIG + "revisions/"
PREFIX_PARTS = PREFIX_CONFIG + "parts/"
REVISION_DIGITS = 20
PAGE_ROWS = 100
SETTLE_PAUSE_S = 0.2
SETTLE_ATTEMPTS_MAX = 25
RETRY_S = 5.0
PAUSE_S = 60.0


def format_revision_key(revision: int) -> str:
    """Return the key of a revision; keys sort like numbers."""
    return f"{PREFIX_REVISIONS}{revision:0{REVISION_DIGITS}d}"


class RevisionStore:
    """Reads and creates revisions."""

    def __init__(self, key_value: KeyValueStore, clock: Clock) -> None:
        self._key_value = key_value
        self._clock = clock

    def read_newest(self, known: Manifest | None) -> Manifest | None:
        """Return the newest revision, ``known`` itself when there is none above it."""
        newest = known
        after = format_revision_key(known["revision"]) if known else ""
        while True:
            rows = self._key_value.list_range(PREFIX_REVISIONS, after=after, limit=PAGE_ROWS)
            if rows:
                newest = decode_manifest(rows[-1].value)
                after = rows[-1].key
            if len(rows) < PAGE_ROWS:
                return newest

    def read_parts(self, digests: Iterable[str]) -> dict[str, bytes]:
        """Return the stored parts; missing ones are left out."""
        found = ((digest, self._key_value.get(PREFIX_PARTS + digest)) for digest in digests)
        return {digest: row.value for digest, row in found if row is not None}

    def create_revision(self, manifest: Manifest, parts: Mapping[str, bytes]) -> None:
        """Write parts, then the revision; on return the file set is accepted.

        Raises ConfigurationConflictError, ConfigurationUnavailableError (nothing accepted) or
        ConfigurationUnknownError.
        """
        began = self._clock.monotonic()
        try:
            for digest, data in parts.items():
                self._write_part(digest, data)
        except (PlatformUnavailableError, ReplyLostError, VersionConflictError) as err:
            raise self._refuse() from err
        self._write_manifest(manifest)
        if self._clock.monotonic() - began > PAUSE_S:
            self._verify_base(manifest, parts)

    def _write_part(self, digest: str, data: bytes) -> None:
        key = PREFIX_PARTS + digest
        try:
            self._key_value.put(key, data, expected=0)
        except VersionConflictError as err:
            # Written anew, a part that no revision refers to yet is not collected.
            self._key_value.put(key, data, expected=err.current)
        except ReplyLostError:
            if self._key_value.get(key) is None:
                raise

    def _verify_base(self, manifest: Manifest, parts: Mapping[str, bytes]) -> None:
        """Make sure, after a pause, that neither base nor parts were collected meanwhile."""
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
        for _ in range(SETTLE_ATTEMPTS_MAX):
            try:
                self._key_value.put(key, value, expected=0)
                return
            except VersionConflictError as err:
                self._check_winner(manifest, err)
                return
            except ReplyLostError:
                # The next write settles it: it meets either our own revision or a winner's.
                was_sent = True
            except PlatformUnavailableError as err:
                if not was_sent:
                    raise self._refuse() from err
            gevent.sleep(SETTLE_PAUSE_S)
        raise ConfigurationUnknownError(f"revision {manifest['revision']} may be accepted")

    def _check_winner(self, manifest: Manifest, conflict: VersionConflictError) -> None:
        if conflict.value is None:
            raise ConfigurationUnknownError(f"{conflict.key} was removed")
        winner = decode_manifest(conflict.value)
        if winner["operation_id"] != manifest["operation_id"]:
            raise create_conflict(winner)

    def _refuse(self) -> ConfigurationUnavailableError:
        return ConfigurationUnavailableError(
            "the key-value service is unavailable", retry_at=self._clock.wall() + RETRY_S
        )


def create_conflict(winner: Manifest) -> ConfigurationConflictError:
    """Return the conflict that names the winner."""
    return ConfigurationConflictError(
        winner["revision"], winner["digest"], winner["accepted_by"], winner["accepted_at"]
    )
