"""Durable storage of segments: write-once blobs that hold batch input and results."""

from __future__ import annotations

from clementinepin.storage._store import create_segment_store
from clementinepin.storage.models import SegmentStore

__all__ = ["SegmentStore", "create_segment_store"]
