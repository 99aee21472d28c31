"""Segments of batch input and results."""

from __future__ import annotations

from clementinepin.storage.models import SegmentStore

__all__ = ["SegmentStore"]
