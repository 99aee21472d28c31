"""Stand-in of the platform's weight store: a rate limit and a small server."""

from __future__ import annotations

from standins.weight_store._limit import LoadLimit, MemoryWeightStore
from standins.weight_store._server import create_server

__all__ = ["LoadLimit", "MemoryWeightStore", "create_server"]
