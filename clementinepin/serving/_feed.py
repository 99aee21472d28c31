"""Passes targets and instances on from the dispatcher, so that not each instance watches them.

Load pattern: a fleet of many instances, where each change would cost a priced answer an
instance. Who is fed watches nothing; who is not fed any more watches the store itself.
"""

from __future__ import annotations

from functools import partial
from typing import Final

import gevent
from loguru import logger

from clementinepin.infrastructure import KeyValue
from clementinepin.serving import _messages as messages
from clementinepin.serving._links import Link, LinkServer
from clementinepin.serving.store import StoreFollower

BEAT_S: Final = 0.4
FEED_TRUST_S: Final = 1.3  # three beats missed; leaves time to act on a target that leaves
HAND_OVER_S: Final = 0.6  # time to find the next dispatcher before watching the store oneself


class FeedServer:
    """Sends what the followers of this instance hold and learn to all linked instances."""

    def __init__(self, links: LinkServer, followers: dict[str, StoreFollower]) -> None:
        self._links = links
        self._followers = followers
        links.handle(messages.Hello, self._greet)
        for name, follower in followers.items():
            follower.subscribe(partial(self._pass_on, name))

    def start(self) -> None:
        """Send beats."""
        gevent.spawn(self._run_beats)

    def _greet(self, link: Link, _hello: messages.Hello) -> None:
        for name, follower in self._followers.items():
            rows = [(row.key, row.value, row.version) for row in follower.rows.values()]
            link.send(messages.FeedRows(name, rows, follower.version))
        link.send(self._make_beat())

    def _pass_on(self, name: str, row: KeyValue, gone: bool) -> None:
        value = None if gone else row.value
        self._links.broadcast(messages.FeedChange(name, row.key, value, row.version))

    def _run_beats(self) -> None:
        while True:
            gevent.sleep(BEAT_S)
            self._links.broadcast(self._make_beat())

    def _make_beat(self) -> messages.FeedBeat:
        """Vouch only for what comes from the store without another instance between."""
        fresh = all(follower.is_direct() for follower in self._followers.values())
        return messages.FeedBeat(fresh)


class FeedClient:
    """Takes the dispatcher's words in."""

    def __init__(self, own_name: str, followers: dict[str, StoreFollower]) -> None:
        self._own_name = own_name
        self._followers = followers
        self._source = ""
        self._complete: set[str] = set()

    def open(self, source: str) -> None:
        """Start anew with another source."""
        self._source = source
        self._complete.clear()

    def close(self) -> None:
        """The source is lost: its successor has a moment before the store is watched."""
        if self._complete:
            logger.bind(source=self._source).info("feed_lost")
            for follower in self._followers.values():
                follower.limit_trust(HAND_OVER_S)
        self._complete.clear()

    def take(self, message: messages.FeedRows | messages.FeedChange | messages.FeedBeat) -> None:
        """Take in one message; an instance never feeds itself."""
        if self._source == self._own_name:
            return
        if isinstance(message, messages.FeedRows):
            rows = [KeyValue(*row) for row in message.rows]
            if message.version >= 0:
                self._followers[message.name].take_rows(rows, message.version)
                self._complete.add(message.name)
                facts = logger.bind(source=self._source, range=message.name)
                facts.bind(version=message.version, rows=len(rows)).info("feed_followed")
        elif isinstance(message, messages.FeedChange):
            follower = self._followers[message.name]
            follower.take_change(message.key, message.value, message.version)
        elif message.fresh and len(self._complete) == len(self._followers):
            for follower in self._followers.values():
                follower.trust_feed(FEED_TRUST_S)
