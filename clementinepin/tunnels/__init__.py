"""Ways to targets through other instances, for one whose own links to them fail."""

from __future__ import annotations

from clementinepin.tunnels._component import Tunnels, create_tunnels

__all__ = ["Tunnels", "create_tunnels"]
