"""Clients of model engines and plain services."""

from __future__ import annotations

from clementinepin.targets._bodies import (
    is_plain_body,
    make_engine_body,
    make_engine_model,
)
from clementinepin.targets._engine import create_engine
from clementinepin.targets._plain import PlainRequest, PlainResponse, PlainService, create_plain
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
    "PlainRequest",
    "PlainResponse",
    "PlainService",
    "StreamChunk",
    "TargetAddress",
    "create_engine",
    "create_plain",
    "is_plain_body",
    "make_engine_body",
    "make_engine_model",
]
