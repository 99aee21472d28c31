"""Stand-in for the platform's instance list: a table with a lag, a client and a server."""

from __future__ import annotations

from standins.instance_list._server import create_server
from standins.instance_list._table import LaggingTable, MemoryInstanceList

__all__ = ["LaggingTable", "MemoryInstanceList", "create_server"]
