"""Tests that an odd reply of a peer ends at most its tunnel, and wakes who waits for it."""

from __future__ import annotations

from typing import Any

import gevent
import pytest

from clementinepin.helpers.clock import create_system_clock
from clementinepin.targets import TargetAddress
from clementinepin.targets.exceptions import RelayLostError, TargetNotReachedError
from clementinepin.tunnels import _messages as messages
from clementinepin.tunnels import create_tunnels
from clementinepin.tunnels._channel import PeerChannel

ODD_REPLIES: list[Any] = [
    {},
    {"data": "text", "ended": False, "broken": False},
    {"data": None, "ended": True, "broken": True, "sent": 1},
    {"sent": "yes", "tunnel": "1"},
    {"tunnel": -(2**63), "failure": 3, "refused": None},
    [],
    None,
]


class FakePeers:
    """Replies to each call with the same, except to the opening of a tunnel if it is sound."""

    def __init__(self, reply: Any) -> None:
        self._reply = reply

    def call(self, _peer: str, _method: str, _message: Any, *, deadline: float) -> Any:
        gevent.sleep(0)
        return self._reply


@pytest.mark.parametrize("reply", ODD_REPLIES)
def test_an_odd_reply_ends_the_tunnel_for_its_reader(reply: Any) -> None:
    """Guards against a reader that waits for ever, because the greenlet that reads ended."""
    channel = PeerChannel(FakePeers(reply), create_system_clock(), "b", 1)  # type: ignore[arg-type]
    with gevent.Timeout(5.0), pytest.raises(RelayLostError):
        channel.recv(10)


@pytest.mark.parametrize("reply", ODD_REPLIES)
def test_an_odd_reply_to_bytes_that_were_sent_is_a_lost_relay(reply: Any) -> None:
    channel = PeerChannel(FakePeers(reply), create_system_clock(), "b", 1)  # type: ignore[arg-type]
    assert channel.send(memoryview(b"abc")) == 3
    with gevent.Timeout(5.0), pytest.raises(RelayLostError):
        channel.recv(10)


@pytest.mark.parametrize("reply", ODD_REPLIES)
def test_an_odd_reply_to_an_opening_is_a_target_that_is_not_reached(
    reply: Any, start_networks: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    (network,) = start_networks("a")
    tunnels = create_tunnels(network._core, network)
    monkeypatch.setattr(network, "call", FakePeers(reply).call)
    target = TargetAddress("t0", "127.0.0.1", 1)
    with pytest.raises(TargetNotReachedError):
        tunnels._open("b", target, create_system_clock().monotonic() + 1.0)


def test_a_sound_reply_is_read_with_keys_of_a_later_release() -> None:
    reply = {"data": b"x", "ended": True, "broken": False, "more": 1}
    assert messages.read_message(reply, messages.ReceiveReply)["data"] == b"x"
