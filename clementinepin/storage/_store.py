"""The segment store: write-once data, named by digest."""

from __future__ import annotations

from typing import Any

from clementinepin.const import PREFIX_SEGMENTS, VALUE_MAX_BYTES
from clementinepin.core import Core
from clementinepin.peers import PeerNetwork
from clementinepin.platform import KeyValueStore
from clementinepin.platform.exceptions import (
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)
from clementinepin.storage._codec import compress, decompress, name_segment
from clementinepin.storage.exceptions import SegmentLostError, StorageUnavailableError

LOG_PREFIX = "storage:"


class SegmentStoreComponent:
    """SegmentStore and Component of one instance."""

    name = "storage"

    def __init__(self, core: Core, key_value: KeyValueStore, peers: PeerNetwork) -> None:
        self._core = core
        self._key_value = key_value
        self._peers = peers

    def start(self) -> None:
        """Start nothing yet."""

    def stop(self, deadline: float) -> None:
        """Stop nothing yet."""

    def describe_state(self) -> dict[str, Any]:
        """Return a JSON-ready dump."""
        return {}

    def write(self, data: bytes) -> str:
        """Make the data durable and return its name."""
        name = name_segment(data)
        frame = compress(data)
        if len(frame) > VALUE_MAX_BYTES:
            raise StorageUnavailableError("the segment is too large")
        try:
            self._key_value.put(PREFIX_SEGMENTS + name, frame, expected=0)
        except VersionConflictError:
            return name
        except (PlatformUnavailableError, ReplyLostError) as err:
            raise StorageUnavailableError(name, retry_at=err.retry_at) from err
        return name

    def read(self, name: str) -> bytes:
        """Return the data; raises SegmentLostError when no good copy is left in reach."""
        stored = self._key_value.get(PREFIX_SEGMENTS + name)
        if stored is None:
            raise SegmentLostError(name)
        return decompress(name, stored.value)


def create_segment_store(
    core: Core, key_value: KeyValueStore, peers: PeerNetwork
) -> SegmentStoreComponent:
    """Create the segment store and register it."""
    component = SegmentStoreComponent(core, key_value, peers)
    core.register(component)
    return component
