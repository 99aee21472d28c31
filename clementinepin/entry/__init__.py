"""HTTP interface for callers and operators."""

from __future__ import annotations

from clementinepin.entry._component import Entry, create_entry

__all__ = ["Entry", "create_entry"]
