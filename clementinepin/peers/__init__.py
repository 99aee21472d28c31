"""Messages between instances."""

from __future__ import annotations

from clementinepin.peers.models import Handler, PeerNetwork

__all__ = ["Handler", "PeerNetwork"]
