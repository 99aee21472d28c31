"""Broadcasts along trees: each instance gets one message, in few steps.

A message covers a range of the ring of members. Its receiver splits the range into branches and
forwards the message to the head of each.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

import gevent
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.peers import _messages as messages
from clementinepin.peers.exceptions import PeerMessageInvalidError, PeerUnavailableError
from clementinepin.peers.models import PeerNetwork
from clementinepin.systems.rings import WHOLE_RING, Branch, RingRange, split_range
from clementinepin.tables.membership import MembershipTable

if TYPE_CHECKING:
    from clementinepin.core import Core

LOG_PREFIX = "peers:"
METHOD_BROADCAST = "tree.spread"
METHOD_GATHER = "tree.gather"
HEADS_TRIED_MAX = 4
BROADCAST_TIMEOUT_S = 5.0
BRANCH_TIMEOUT_S = 1.0
GATHER_SHARE = 0.8  # each level of the tree keeps the remaining time for its own reply

Dispatch = Callable[[str, str, dict[str, Any]], Mapping[str, Any]]


class TreeService:
    """Sends, forwards and handles tree messages.

    The first member of a branch that can be reached is its head and forwards the message further.
    """

    def __init__(
        self, core: Core, network: PeerNetwork, table: MembershipTable, dispatch: Dispatch
    ) -> None:
        self._core = core
        self._network = network
        self._table = table
        self._dispatch = dispatch
        network.register(METHOD_BROADCAST, self._handle_broadcast)
        network.register(METHOD_GATHER, self._handle_gather)

    def broadcast(self, method: str, message: Mapping[str, Any]) -> None:
        """Call a method on all other live instances, best effort, without waiting for them."""
        deadline = self._core.clock.wall() + BROADCAST_TIMEOUT_S
        tree = _create_message(method, message, WHOLE_RING, [], deadline)
        self._forward(tree)

    def gather(
        self, method: str, message: Mapping[str, Any], *, deadline: float
    ) -> dict[str, dict[str, Any]]:
        """Return the replies that instances gave before the monotonic deadline, by name."""
        remaining_s = deadline - self._core.clock.monotonic()
        wall_deadline = self._core.clock.wall() + remaining_s
        tree = _create_message(method, message, WHOLE_RING, [], wall_deadline)
        return self._collect(self._table.own, tree)

    def _handle_broadcast(self, sender: str, raw: dict[str, Any]) -> dict[str, Any]:
        tree = messages.read_message(raw, messages.TreeMessage)
        self._forward(tree)
        gevent.spawn(self._handle_message, sender, tree)
        return {}

    def _handle_gather(self, sender: str, raw: dict[str, Any]) -> messages.TreeReply:
        tree = messages.read_message(raw, messages.TreeMessage)
        return messages.TreeReply(answers=self._collect(sender, tree))

    def _handle_message(self, sender: str, tree: messages.TreeMessage) -> None:
        try:
            self._dispatch(sender, tree["method"], tree["message"])
        except ClementinepinError as err:
            logger.debug("{} Broadcast of {} was not handled: {}.", LOG_PREFIX, tree["method"], err)

    def _forward(self, tree: messages.TreeMessage) -> None:
        """Forward a message to all branches without waiting."""
        for branch in self._split(tree):
            gevent.spawn(self._call_branch, METHOD_BROADCAST, branch, tree, BRANCH_TIMEOUT_S)

    def _collect(self, sender: str, tree: messages.TreeMessage) -> dict[str, dict[str, Any]]:
        """Return the replies of this instance and of all branches."""
        timeout_s = max(0.0, tree["deadline"] - self._core.clock.wall()) * GATHER_SHARE
        calls = [
            gevent.spawn(self._call_branch, METHOD_GATHER, branch, tree, timeout_s)
            for branch in self._split(tree)
        ]
        own_reply = dict(self._dispatch(sender, tree["method"], tree["message"]))
        gevent.joinall(calls, timeout=timeout_s)
        replies = {self._table.own: own_reply}
        for greenlet in calls:
            replies.update(_read_replies(greenlet))
        return replies

    def _split(self, tree: messages.TreeMessage) -> tuple[Branch, ...]:
        """Return the branches of a message's range, without the members it has passed."""
        ring_range = RingRange(tree["low"], tree["high"])
        excluded = {self._table.own, *tree["passed"]}
        return split_range(self._table.list_ring(), ring_range, excluded)

    def _call_branch(
        self, method: str, branch: Branch, tree: messages.TreeMessage, timeout_s: float
    ) -> dict[str, Any] | None:
        """Call the heads of a branch in turn; return the first reply, or None without one."""
        heads = branch.heads[:HEADS_TRIED_MAX]
        passed = [*tree["passed"], self._table.own]
        for index, head in enumerate(heads):
            remaining_s = min(timeout_s, tree["deadline"] - self._core.clock.wall())
            if remaining_s <= 0:
                return None
            # Later heads must have time left if the first one does not respond.
            share_s = remaining_s if index == len(heads) - 1 else remaining_s / 2
            deadline = self._core.clock.wall() + share_s
            message = _create_message(
                tree["method"], tree["message"], branch.range, passed, deadline
            )
            call_deadline = self._core.clock.monotonic() + share_s
            try:
                return self._network.call(head, method, message, deadline=call_deadline)
            except PeerUnavailableError:
                passed.append(head)
        return None


def _read_replies(greenlet: gevent.Greenlet) -> dict[str, dict[str, Any]]:
    if not greenlet.successful() or greenlet.value is None:
        return {}
    try:
        reply = messages.read_message(greenlet.value, messages.TreeReply)
    except PeerMessageInvalidError:
        return {}
    return reply["answers"]


def _create_message(
    method: str,
    message: Mapping[str, Any],
    ring_range: RingRange,
    passed: list[str],
    deadline: float,
) -> messages.TreeMessage:
    # The end of the ring is 2 ** 64, one more than the largest integer of MessagePack.
    return messages.TreeMessage(
        method=method,
        message=dict(message),
        low=ring_range.low,
        high=min(ring_range.high, WHOLE_RING.high - 1),
        passed=passed,
        deadline=deadline,
    )
