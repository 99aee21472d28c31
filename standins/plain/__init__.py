"""Stand-in for a plain HTTP service whose calls may not be repeated."""

from __future__ import annotations

from standins.plain._service import PlainService

__all__ = ["PlainService"]
