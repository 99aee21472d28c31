"""Stand-in for the platform's weight store: a rate limit, a client and a server."""

from __future__ import annotations

from standins.weight_store._limit import LoadLimit, MemoryWeightStore
from standins.weight_store._server import create_server

__all__ = ["LoadLimit", "MemoryWeightStore", "create_server"]
