"""Follow a key range: list it once, then watch it, and resume without a gap after a drop."""

from __future__ import annotations

import random
from typing import Protocol

import gevent
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.decoding import REASON_MAX_CHARS
from clementinepin.infrastructure._backoff import choose_backoff
from clementinepin.infrastructure.exceptions import WatchCompactedError
from clementinepin.infrastructure.models import KeyValueStore

LOG_PREFIX = "platform:"
PAGE_ROWS = 1000
DROP_PAUSE_MAX_S = 5.0
KEY_MAX_CHARS = 200


class RangeListener(Protocol):
    """Receives the rows of a range. The same change may be reported more than once."""

    def put_row(self, key: str, value: bytes, version: int) -> None:
        """Handle a new or changed row."""

    def remove_row(self, key: str) -> None:
        """Handle the removal of a row."""


class RangeFollower:
    """Keeps a listener up to date with the rows under a prefix.

    A row that the listener can't handle is logged and skipped.

    After a drop the watch continues after the last version that was received. After a compaction
    the range is listed again, and rows that are no longer listed are removed.
    """

    def __init__(
        self,
        key_value: KeyValueStore,
        prefix: str,
        listener: RangeListener,
        rng: random.Random,
    ) -> None:
        self._key_value = key_value
        self._prefix = prefix
        self._listener = listener
        self._random = rng
        self._keys: set[str] = set()
        self._watch_after: int | None = None
        self._compacted = 0
        self._drops = 0

    def run(self) -> None:
        """Follow the range until the greenlet is killed, with backoff between failures."""
        while True:
            try:
                self.follow_once()
            except WatchCompactedError as err:
                self._compacted = max(self._compacted, err.compacted)
                self._watch_after = None
            except ClementinepinError as err:
                logger.debug("{} Watch on {} dropped: {}.", LOG_PREFIX, self._prefix, err.code)
            except Exception as err:
                # The range is followed for the life of the process.
                logger.opt(exception=err).error("{} Watch on {} failed.", LOG_PREFIX, self._prefix)
            self._drops += 1
            pause_s = choose_backoff(self._drops, self._random)
            gevent.sleep(min(DROP_PAUSE_MAX_S, pause_s * min(self._drops, 10)))

    def follow_once(self) -> None:
        """List the range if needed, then watch it until the connection drops.

        Raise WatchCompactedError if the range must be listed again, and
        PlatformUnavailableError when the connection drops or the list can't be read.
        """
        if self._watch_after is None:
            self._watch_after = self.list_rows()
        for event in self._key_value.watch(self._prefix, after_version=self._watch_after):
            self._drops = 0
            self._watch_after = event.version
            if event.value is None:
                self._remove(event.key)
            else:
                self._put(event.key, event.value, event.version)

    def list_rows(self) -> int:
        """List the range, report its rows, and return the version to watch after.

        Only versions on the first page count: a row of an earlier page may change while later
        pages are read, and a watch after a version seen there would miss that change.
        """
        seen: set[str] = set()
        watch_after, after = self._compacted, ""
        while True:
            page = self._key_value.list_range(self._prefix, after=after, limit=PAGE_ROWS)
            if not after:
                watch_after = max([watch_after, *(row.version for row in page)])
            for row in page:
                seen.add(row.key)
                self._put(row.key, row.value, row.version)
            if len(page) < PAGE_ROWS:
                break
            after = page[-1].key
        for key in self._keys - seen:
            self._remove(key)
        return watch_after

    def _put(self, key: str, value: bytes, version: int) -> None:
        self._keys.add(key)
        try:
            self._listener.put_row(key, value, version)
        except Exception as err:
            self._log_skipped(key, err)

    def _remove(self, key: str) -> None:
        self._keys.discard(key)
        try:
            self._listener.remove_row(key)
        except Exception as err:
            self._log_skipped(key, err)

    def _log_skipped(self, key: str, err: Exception) -> None:
        """Log a change that the listener could not handle; the next ones are not affected."""
        reason = f"{type(err).__name__}: {err}"[:REASON_MAX_CHARS]
        logger.warning("{} Skipped the row {}: {}.", LOG_PREFIX, key[:KEY_MAX_CHARS], reason)
