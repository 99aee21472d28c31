"""Configuration of this instance: accepts file sets, learns revisions and passes them on.

A revision is in force on an instance once the instance has its manifest and all its parts and
has given it to the other components. Revisions reach an instance by the announcement of the
accepting instance, by membership probes, or from the key-value service, which a few watchers
poll.
"""

from __future__ import annotations

import uuid
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import gevent
from loguru import logger

from clementinepin.config import (
    Configuration,
    ConfigurationPartError,
    Part,
    check_part,
    decode_part,
    digest_parts,
    encode_parts,
    load_files,
    merge_parts,
)
from clementinepin.core import InstancesChanged
from clementinepin.fleet import _messages as messages
from clementinepin.fleet._messages import Manifest
from clementinepin.fleet._revisions import RETRY_AFTER_S, RevisionStore, create_conflict
from clementinepin.fleet.exceptions import ConfigurationUnavailableError
from clementinepin.fleet.models import ApplyResult
from clementinepin.infrastructure import KeyValueStore
from clementinepin.infrastructure.exceptions import PlatformUnavailableError, ReplyLostError
from clementinepin.peers import PeerNetwork, PeerUnavailableError
from clementinepin.systems.watchers import is_watcher

if TYPE_CHECKING:
    from clementinepin.core import Core

LOG_PREFIX = "configuration:"
WATCH_PERIOD_S = 1.0
FETCH_TIMEOUT_S = 2.0
REVISIONS_TIMEOUT_S = 3.0
ANNOUNCE_PARTS_MAX_BYTES = 32_000
PARTS_REPLY_MAX_BYTES = 500_000
PARTS_PER_REQUEST_MAX = 200
PARTS_EMPTY_REPLIES_MAX = 8
PARTS_RETRY_PAUSE_S = 0.2
FIRST_FETCH_PEERS_MAX = 3


class ConfigurationService:
    """Keeps the manifest and the parts of the revision in force."""

    def __init__(self, core: Core, key_value: KeyValueStore, peers: PeerNetwork) -> None:
        self._core = core
        self._peers = peers
        self._store = RevisionStore(key_value, core.clock)
        self._manifest: Manifest | None = None
        self._data: dict[str, bytes] = {}
        self._parts: dict[str, Part] = {}
        self._pending: tuple[Manifest, dict[str, bytes]] | None = None
        self._publishing = False
        peers.register(messages.METHOD_ANNOUNCE, self._handle_announcement)
        peers.register(messages.METHOD_FETCH, self._handle_fetch)
        peers.register(messages.METHOD_PARTS, self._handle_parts)
        peers.register(messages.METHOD_IN_FORCE, self._handle_in_force)
        peers.attach(messages.TOPIC_CONFIGURATION, self._provide_digest, self._handle_digest)
        core.subscribe(InstancesChanged, self._fetch_from_first_peers)

    @property
    def revision(self) -> int:
        """Return the number of the revision in force, 0 if there is none yet."""
        return self._manifest["revision"] if self._manifest else 0

    def apply(self, files: Mapping[str, bytes], base: int | None) -> ApplyResult:
        """Check a file set and accept it as revision ``base`` + 1 (None: the newest + 1).

        A file set that equals the newest revision is taken for a repeated request whose response
        was lost, and gets that revision. Raise the errors of ``Fleet.apply``.
        """
        # Checking 13,000 accounts takes most of a second, so it runs outside the event loop.
        configuration, data = gevent.get_hub().threadpool.apply(_load_parts, (dict(files),))
        newest = self._read_newest()
        newest_revision = newest["revision"] if newest else 0
        is_resend = base is None or newest_revision - 1 <= base <= newest_revision
        if newest is not None and newest["digest"] == configuration.digest and is_resend:
            self.learn(newest, data, "the key-value service")
            return ApplyResult(newest_revision, configuration.digest)
        if base is not None and base != newest_revision:
            raise create_conflict(newest or _create_empty_manifest())
        manifest = self._create_manifest(newest_revision + 1, configuration, data)
        stored_digests = set(newest["parts"]) if newest else set()
        changed = {digest: part for digest, part in data.items() if digest not in stored_digests}
        self._store.create_revision(manifest, changed)
        logger.info("{} Accepted revision {}.", LOG_PREFIX, manifest["revision"])
        self.learn(manifest, data, "an operator")
        self._announce(manifest, changed)
        return ApplyResult(manifest["revision"], manifest["digest"])

    def run_watch(self) -> None:
        """Poll the key-value service for a newer revision, if this instance is a watcher.

        Watchers are a few instances of each data centre; the others learn from them.
        """
        own = self._core.settings.instance
        if not is_watcher(own.name, own.data_centre, self._peers.list_members()):
            return
        try:
            newest = self._store.read_newest(self._manifest)
            if newest is None or newest["revision"] <= self.revision:
                return
            missing = [digest for digest in newest["parts"] if digest not in self._data]
            fetched_parts = self._store.read_parts(missing)
        except (PlatformUnavailableError, ReplyLostError):
            self._core.metrics.incr("configuration.watch_failed")
            return
        if self.learn(newest, fetched_parts, "the key-value service"):
            self._announce(newest, fetched_parts)

    def fetch_revisions_in_force(self) -> dict[str, int]:
        """Return the revision in force by instance name, for the instances that replied."""
        deadline = self._core.clock.monotonic() + REVISIONS_TIMEOUT_S
        replies = self._peers.gather(messages.METHOD_IN_FORCE, {}, deadline=deadline)
        revisions = {name: reply.get("revision", 0) for name, reply in replies.items()}
        return {name: rev for name, rev in revisions.items() if isinstance(rev, int)}

    def learn(self, manifest: Manifest, fetched_parts: Mapping[str, bytes], source: str) -> bool:
        """Put a newer revision in force if all its parts are present; return whether it will be.

        ``fetched_parts`` has parts that this instance may lack, by digest. ``source`` is for the
        log. A revision that is learned while another is being published waits until all subscribers
        have seen that one. Raise ConfigurationPartError if the manifest is damaged.
        """
        newest = self._pending[0] if self._pending else self._manifest
        if newest is not None and manifest["revision"] <= newest["revision"]:
            return False
        if digest_parts(manifest["parts"]) != manifest["digest"]:
            raise ConfigurationPartError(
                f"parts of manifest {manifest['revision']} don't match its digest"
            )
        if self._list_missing(manifest, fetched_parts):
            return False
        data = {
            d: self._data[d] if d in self._data else fetched_parts[d] for d in manifest["parts"]
        }
        self._pending = (manifest, data)
        logger.info("{} Learned revision {} from {}.", LOG_PREFIX, manifest["revision"], source)
        if not self._publishing:
            self._put_pending_in_force()
        return True

    def _put_pending_in_force(self) -> None:
        self._publishing = True
        try:
            while self._pending is not None:
                manifest, data = self._pending
                self._pending = None
                self._put_in_force(manifest, data)
        finally:
            self._publishing = False

    def _put_in_force(self, manifest: Manifest, data: dict[str, bytes]) -> None:
        parts = {
            digest: self._parts.get(digest) or decode_part(digest, data[digest]) for digest in data
        }
        configuration = merge_parts(manifest["revision"], parts)
        self._manifest, self._data, self._parts = manifest, data, parts
        self._core.set_configuration(configuration)
        self._core.metrics.gauge("configuration.revision", manifest["revision"])

    def _read_newest(self) -> Manifest | None:
        try:
            return self._store.read_newest(self._manifest)
        except (PlatformUnavailableError, ReplyLostError) as err:
            retry_at = self._core.clock.wall() + RETRY_AFTER_S
            raise ConfigurationUnavailableError(str(err), retry_at=retry_at) from err

    def _create_manifest(
        self, revision: int, configuration: Configuration, data: Mapping[str, bytes]
    ) -> Manifest:
        return Manifest(
            revision=revision,
            digest=configuration.digest,
            parts=sorted(data),
            operation_id=uuid.uuid4().hex,
            accepted_by=self._core.settings.instance.name,
            accepted_at=self._core.clock.wall(),
        )

    def _announce(self, manifest: Manifest, changed: Mapping[str, bytes]) -> None:
        size_bytes = sum(len(data) for data in changed.values())
        parts = dict(changed) if size_bytes <= ANNOUNCE_PARTS_MAX_BYTES else {}
        message = messages.AnnounceMessage(manifest=manifest, parts=parts)
        self._peers.broadcast(messages.METHOD_ANNOUNCE, message)

    def _handle_announcement(self, sender: str, raw: dict[str, Any]) -> dict[str, Any]:
        message = messages.read_message(raw, messages.AnnounceMessage)
        self._learn_from_peer(sender, message["manifest"], message["parts"])
        return {}

    def _handle_digest(self, sender: str, raw: dict[str, Any]) -> None:
        if messages.read_message(raw, messages.DigestMessage)["revision"] > self.revision:
            gevent.spawn(self._fetch_from_peer, sender)

    def _fetch_from_first_peers(self, _event: InstancesChanged) -> None:
        # Without a configuration this instance rejects every call, so it does not wait for the
        # first probe.
        if self._manifest is not None:
            return
        own = self._core.settings.instance.name
        others = [name for name in self._peers.list_live() if name != own]
        for peer in self._core.random.sample(others, min(FIRST_FETCH_PEERS_MAX, len(others))):
            gevent.spawn(self._fetch_from_peer, peer)

    def _fetch_from_peer(self, peer: str) -> None:
        deadline = self._core.clock.monotonic() + FETCH_TIMEOUT_S
        message = messages.FetchMessage(revision=self.revision)
        try:
            raw = self._peers.call(peer, messages.METHOD_FETCH, message, deadline=deadline)
            manifest = messages.read_message(raw, messages.FetchReply)["manifest"]
            if manifest is not None:
                self._learn_from_peer(peer, manifest, {})
        except (PeerUnavailableError, ConfigurationPartError) as err:
            logger.debug("{} No configuration learned from {}: {}.", LOG_PREFIX, peer, err)

    def _learn_from_peer(
        self, peer: str, manifest: Manifest, fetched_parts: dict[str, bytes]
    ) -> None:
        if manifest["revision"] <= self.revision:
            return
        fetched_parts = dict(fetched_parts)
        empty_replies_left = PARTS_EMPTY_REPLIES_MAX
        while missing := self._list_missing(manifest, fetched_parts):
            deadline = self._core.clock.monotonic() + FETCH_TIMEOUT_S
            message = messages.PartsMessage(digests=missing[:PARTS_PER_REQUEST_MAX])
            raw = self._peers.call(peer, messages.METHOD_PARTS, message, deadline=deadline)
            reply = messages.read_message(raw, messages.PartsReply)["parts"]
            if not reply:
                # The peer may have forwarded the announcement before it had the parts itself.
                empty_replies_left -= 1
                if empty_replies_left == 0:
                    return
                gevent.sleep(PARTS_RETRY_PAUSE_S)
            for digest, data in reply.items():
                check_part(digest, data)
            fetched_parts.update(reply)
        self.learn(manifest, fetched_parts, peer)

    def _list_missing(self, manifest: Manifest, fetched_parts: Mapping[str, bytes]) -> list[str]:
        return [d for d in manifest["parts"] if d not in self._data and d not in fetched_parts]

    def _handle_fetch(self, sender: str, raw: dict[str, Any]) -> messages.FetchReply:
        message = messages.read_message(raw, messages.FetchMessage)
        newer = self._manifest if self.revision > message["revision"] else None
        return messages.FetchReply(manifest=newer)

    def _handle_parts(self, sender: str, raw: dict[str, Any]) -> messages.PartsReply:
        message = messages.read_message(raw, messages.PartsMessage)
        parts: dict[str, bytes] = {}
        size_bytes = 0
        for digest in message["digests"]:
            data = self._data.get(digest)
            if data is None or size_bytes + len(data) > PARTS_REPLY_MAX_BYTES:
                continue
            parts[digest] = data
            size_bytes += len(data)
        return messages.PartsReply(parts=parts)

    def _handle_in_force(self, sender: str, raw: dict[str, Any]) -> messages.InForceReply:
        return messages.InForceReply(revision=self.revision)

    def _provide_digest(self) -> messages.DigestMessage:
        return messages.DigestMessage(revision=self.revision)


def _load_parts(files: dict[str, bytes]) -> tuple[Configuration, dict[str, bytes]]:
    """Return the checked configuration of a file set, and its encoded parts by digest."""
    configuration = load_files(files)
    return configuration, encode_parts(configuration)


def _create_empty_manifest() -> Manifest:
    """Return the manifest that a conflict names if no revision exists yet."""
    return Manifest(
        revision=0, digest="", parts=[], operation_id="", accepted_by="nobody", accepted_at=0.0
    )
