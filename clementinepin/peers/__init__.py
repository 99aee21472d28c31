"""The network between instances: messages, membership and broadcasts."""

from __future__ import annotations

from clementinepin.peers._network import create_peer_network
from clementinepin.peers.exceptions import PeerRefusedError, PeerUnavailableError
from clementinepin.peers.models import Handler, PeerNetwork, Provider, Receiver

__all__ = [
    "Handler",
    "PeerNetwork",
    "PeerRefusedError",
    "PeerUnavailableError",
    "Provider",
    "Receiver",
    "create_peer_network",
]
