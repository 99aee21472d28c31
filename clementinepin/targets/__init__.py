"""Clients of model engines and plain services."""

from __future__ import annotations

from clementinepin.targets.models import (
    CacheEvent,
    Engine,
    GenerateRequest,
    LoadReport,
    StreamChunk,
    TargetAddress,
)

__all__ = [
    "CacheEvent",
    "Engine",
    "GenerateRequest",
    "LoadReport",
    "StreamChunk",
    "TargetAddress",
]
