"""Stand-in of the platform's instance list: a lagging table and a small server."""

from __future__ import annotations

from standins.instance_list._server import create_server
from standins.instance_list._table import LaggingTable, MemoryInstanceList

__all__ = ["LaggingTable", "MemoryInstanceList", "create_server"]
