from __future__ import annotations

from tests.peers.conftest import start_networks

__all__ = ["start_networks"]
