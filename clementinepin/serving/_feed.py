"""Feeds changes of targets and instances from the dispatcher to all linked instances.

Load pattern: in a large fleet each change would cost one billed watch response per instance.
An instance that is fed does not watch the store; one whose feed ends watches it again.
"""

from __future__ import annotations

from functools import partial
from typing import Final

import gevent
from loguru import logger

from clementinepin.helpers.containment import keep_running
from clementinepin.infrastructure import KeyValue
from clementinepin.serving import _messages as messages
from clementinepin.serving._links import Link, LinkServer
from clementinepin.serving.store import StoreFollower

HEARTBEAT_PERIOD_S: Final = 0.4
FEED_TRUST_S: Final = 1.3  # three missed heartbeats; leaves time to react to a leaving target
ROWS_MAX_BYTES: Final = messages.FRAME_MAX_BYTES // 2  # of the values in one message
HAND_OVER_S: Final = 0.6  # time to find the next dispatcher before watching the store directly


class FeedServer:
    """Sends the rows of this instance's followers, and their changes, to all linked instances."""

    def __init__(self, links: LinkServer, followers: dict[str, StoreFollower]) -> None:
        self._links = links
        self._followers = followers
        links.handle(messages.Hello, self._handle_hello)
        for name, follower in followers.items():
            follower.subscribe(partial(self._send_change, name))

    def start(self) -> None:
        """Send heartbeats periodically."""
        gevent.spawn(keep_running, "feed_heartbeats", self._run_heartbeats)

    def _handle_hello(self, link: Link, _hello: messages.Hello) -> None:
        for name, follower in self._followers.items():
            rows = fit_rows(list(follower.rows.values()))
            link.send(messages.FeedRows(name, rows, follower.version))
        link.send(self._make_heartbeat())

    def _send_change(self, name: str, row: KeyValue, gone: bool) -> None:
        value = None if gone else row.value
        self._links.broadcast(messages.FeedChange(name, row.key, value, row.version))

    def _run_heartbeats(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_PERIOD_S)
            self._links.broadcast(self._make_heartbeat())

    def _make_heartbeat(self) -> messages.FeedHeartbeat:
        """Return a heartbeat; it is fresh only if all followers follow the store directly."""
        fresh = all(follower.is_direct() for follower in self._followers.values())
        return messages.FeedHeartbeat(fresh)


class FeedClient:
    """Applies the messages of the dispatcher's feed to this instance's followers.

    ``_complete_ranges`` names the ranges of which all rows were received from the current source.
    """

    def __init__(self, own_name: str, followers: dict[str, StoreFollower]) -> None:
        self._own_name = own_name
        self._followers = followers
        self._source = ""
        self._complete_ranges: set[str] = set()

    def open(self, source: str) -> None:
        """Start a feed from another instance; its rows are not yet complete."""
        self._source = source
        self._complete_ranges.clear()

    def close(self) -> None:
        """End the feed; followers wait HAND_OVER_S for the next source, then watch the store."""
        if self._complete_ranges:
            logger.bind(source=self._source).info("feed_lost")
            for follower in self._followers.values():
                follower.limit_feed_trust(HAND_OVER_S)
        self._complete_ranges.clear()

    def receive(
        self, message: messages.FeedRows | messages.FeedChange | messages.FeedHeartbeat
    ) -> None:
        """Apply one message; ignore it if this instance is the source itself."""
        if self._source == self._own_name:
            return
        if not isinstance(message, messages.FeedHeartbeat) and message.name not in self._followers:
            logger.bind(source=self._source, range=message.name[:80]).debug("feed_range_unknown")
            return
        if isinstance(message, messages.FeedRows):
            rows = [KeyValue(*row) for row in message.rows]
            if message.version >= 0:
                self._followers[message.name].receive_rows(rows, message.version)
                self._complete_ranges.add(message.name)
                log = logger.bind(source=self._source, range=message.name)
                log.bind(version=message.version, rows=len(rows)).info("feed_followed")
        elif isinstance(message, messages.FeedChange):
            follower = self._followers[message.name]
            follower.receive_change(message.key, message.value, message.version)
        elif message.fresh and len(self._complete_ranges) == len(self._followers):
            for follower in self._followers.values():
                follower.trust_feed_for(FEED_TRUST_S)


def fit_rows(rows: list[KeyValue]) -> list[tuple[str, bytes, int]]:
    """Return the rows of a message; the longest values are left empty if they don't fit into one.

    Entries of targets and instances are short. Long ones come from other writers, and no reader
    takes an empty one for an entry either.
    """
    size = sum(len(row.value) for row in rows)
    emptied = set()
    for row in sorted(rows, key=lambda row: -len(row.value)):
        if size <= ROWS_MAX_BYTES:
            break
        size -= len(row.value)
        emptied.add(row.key)
    return [(r.key, b"" if r.key in emptied else r.value, r.version) for r in rows]
