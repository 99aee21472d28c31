"""Stand-in for a model engine with continuous batching, a prefix cache, orders and faults."""

from __future__ import annotations

from standins.engine._state import (
    EngineOptions,
    EngineState,
    Fault,
    PrefixCache,
    Sequence,
    Token,
    make_prefix_hash,
    make_prompt_hash,
    make_token,
)

__all__ = [
    "EngineOptions",
    "EngineState",
    "Fault",
    "PrefixCache",
    "Sequence",
    "Token",
    "make_prefix_hash",
    "make_prompt_hash",
    "make_token",
]
