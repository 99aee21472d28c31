"""Directory of the fleet's data folders in the key-value service.

A folder that can hold copies of segments is a holder, named by its folder id.
"""

from __future__ import annotations

from clementinepin.core import Core
from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.rows import encode_row, read_row
from clementinepin.infrastructure import KeyValueStore
from clementinepin.peers import PeerNetwork
from clementinepin.tables import HolderRow

PREFIX_HOLDERS = "holders/"
REFRESH_PERIOD_S = 60.0
REFRESH_EMPTY_PERIOD_S = 5.0  # also after a failed refresh
PUBLISH_PERIOD_S = 600.0
HOLDERS_MAX = 1000


class HolderDirectory:
    """Cached list of data folders; each instance publishes its own folder."""

    def __init__(self, core: Core, key_value: KeyValueStore, peers: PeerNetwork) -> None:
        self._core = core
        self._key_value = key_value
        self._peers = peers
        self._rows: dict[str, HolderRow] = {}
        self._next_refresh_at = 0.0
        self._next_publish_at = 0.0

    def list_live(self) -> dict[str, HolderRow]:
        """Return the newest folder of each live instance, by folder id.

        An older folder of an instance was replaced, and its copies are lost.
        """
        self._refresh_if_due()
        live = set(self._peers.list_live()) | {self._core.settings.instance.name}
        newest: dict[str, HolderRow] = {}
        for row in self._rows.values():
            current = newest.get(row.instance)
            if row.instance in live and (current is None or row.updated_at > current.updated_at):
                newest[row.instance] = row
        return {row.folder_id: row for row in newest.values()}

    def find(self, folder_id: str) -> HolderRow | None:
        """Return a folder's row, whether its instance is live or not, or None if unknown."""
        return self._rows.get(folder_id)

    def publish(self, folder_id: str, free_bytes: int) -> None:
        """Write the own folder's row if due, and delete rows of this instance's earlier folders.

        The errors of the key-value service are raised.
        """
        now = self._core.clock.monotonic()
        if now < self._next_publish_at:
            return
        instance = self._core.settings.instance
        row = HolderRow(
            folder_id, instance.name, instance.data_centre, free_bytes, self._core.clock.wall()
        )
        self._key_value.put(PREFIX_HOLDERS + folder_id, encode_row(row), expected=None)
        self._next_publish_at = now + PUBLISH_PERIOD_S
        self.refresh()
        for stale in list(self._rows.values()):
            if stale.instance == instance.name and stale.folder_id != folder_id:
                self._key_value.delete(PREFIX_HOLDERS + stale.folder_id, expected=None)
                self._rows.pop(stale.folder_id, None)

    def refresh(self) -> None:
        """Read the list from the key-value service; rows that can't be decoded are left out."""
        stored = self._key_value.list_range(PREFIX_HOLDERS, limit=HOLDERS_MAX)
        found = (read_row(kv.key, kv.value, HolderRow) for kv in stored)
        rows = [row for row in found if row is not None]
        self._rows = {row.folder_id: row for row in rows}
        pause_s = REFRESH_PERIOD_S if rows else REFRESH_EMPTY_PERIOD_S
        jitter = self._core.random.uniform(0.75, 1.25)
        self._next_refresh_at = self._core.clock.monotonic() + pause_s * jitter

    def _refresh_if_due(self) -> None:
        """Refresh the list if due; keep the old list while the platform is unavailable."""
        if self._core.clock.monotonic() < self._next_refresh_at:
            return
        try:
            self.refresh()
        except ClementinepinError:
            self._next_refresh_at = self._core.clock.monotonic() + REFRESH_EMPTY_PERIOD_S
