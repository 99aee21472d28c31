"""Peers and instances whose reply is broken off by a reset."""

from __future__ import annotations

from typing import Any

import pytest
from gevent.server import StreamServer

from clementinepin.helpers.clock import create_system_clock
from clementinepin.infrastructure.exceptions import ReplyLostError
from clementinepin.peers.exceptions import PeerUnavailableError
from clementinepin.serving import _messages as messages
from clementinepin.serving._links import InstanceLinks
from clementinepin.serving.models import Member
from tests.serving.cut_links import reset

SETTINGS_FRAME = b"\0\0\0\4\0\0\0\0\0"  # of HTTP/2, which a server sends first
REPLY = messages.pack_message(messages.StoreReply(1, "", b"x" * 1000))


class ResettingPeer:
    """Sends ``reply`` once it has read something, and resets the connection."""

    def __init__(self, reply: bytes) -> None:
        self._reply = reply
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.port: int = self._server.server_port

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def _serve(self, sock: Any, _peer: Any) -> None:
        sock.recv(65_536)
        sock.sendall(self._reply)
        reset(sock)


@pytest.mark.parametrize("reply", [b"", SETTINGS_FRAME, SETTINGS_FRAME[:5], b"HTTP/1.1 200 OK\r\n"])
def test_a_reply_of_a_peer_that_is_reset_is_none(start_networks: Any, reply: bytes) -> None:
    (network,) = start_networks("a")
    peer = ResettingPeer(reply)
    address = ("127.0.0.1", peer.port)
    with pytest.raises(PeerUnavailableError):
        network._bridge.call(
            lambda: network._transport.send("b", address, b"m" * 4_000_000, {}, 5.0), 5.0
        )
    peer.stop()


@pytest.mark.parametrize("size", [0, 3, 10, len(REPLY) - 1])
def test_a_part_of_a_reply_of_an_instance_is_none(size: int) -> None:
    peer = ResettingPeer(REPLY[:size])
    member = Member("b", True, "127.0.0.1", peer.port, "", "a", "r", False)
    with pytest.raises(ReplyLostError):
        InstanceLinks(create_system_clock()).send_request(
            member, messages.StoreCall(0, "get", key="k" * 4_000_000), 5.0
        )
    peer.stop()
