"""Clients for model engines and plain services."""

from __future__ import annotations

from clementinepin.targets._bodies import (
    is_streamable_body,
    make_engine_body,
    make_engine_model,
)
from clementinepin.targets._connection import Abort, Dialer
from clementinepin.targets._dialing import RelayingDialer, connect_directly, create_dialer
from clementinepin.targets._engine import create_engine
from clementinepin.targets._exchange import BodyFraming, HttpExchange, HttpRequest
from clementinepin.targets._parser import ResponseParser
from clementinepin.targets._plain import (
    PlainRequest,
    PlainResponse,
    PlainService,
    create_plain_service,
)
from clementinepin.targets._relays import HedgedRelays, Relay
from clementinepin.targets._sockets import TargetSocket
from clementinepin.targets._transport import Transport
from clementinepin.targets.models import (
    CacheEvent,
    Channel,
    Engine,
    GenerateRequest,
    LoadReport,
    Relays,
    StreamChunk,
    TargetAddress,
)

__all__ = [
    "Abort",
    "BodyFraming",
    "CacheEvent",
    "Channel",
    "Dialer",
    "Engine",
    "GenerateRequest",
    "HedgedRelays",
    "HttpExchange",
    "HttpRequest",
    "LoadReport",
    "PlainRequest",
    "PlainResponse",
    "PlainService",
    "Relay",
    "RelayingDialer",
    "Relays",
    "ResponseParser",
    "StreamChunk",
    "TargetAddress",
    "TargetSocket",
    "Transport",
    "connect_directly",
    "create_dialer",
    "create_engine",
    "create_plain_service",
    "is_streamable_body",
    "make_engine_body",
    "make_engine_model",
]
