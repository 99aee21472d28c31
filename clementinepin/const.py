"""Constants that several components share. Names include the unit."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

VALUE_MAX_BYTES: Final = 1_000_000
BODY_MAX_BYTES: Final = 8_000_000

HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_DEADLINE: Final = "X-Request-Deadline"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_FENCING: Final = "X-Fencing-Number"
HEADER_RESUME_TOKEN: Final = "X-Resume-Token"
HEADER_OUTCOME: Final = "X-Outcome"

PREFIX_CONFIG: Final = "config/"
PREFIX_JOBS: Final = "jobs/"
PREFIX_SHARDS: Final = "shards/"
PREFIX_FILES: Final = "files/"
PREFIX_SEGMENTS: Final = "segments/"
PREFIX_LEASES: Final = "leases/"
PREFIX_CLAIMS: Final = "claims/"
PREFIX_QUARANTINE: Final = "quarantine/"


class Priority(StrEnum):
    """Scheduling class of a request."""

    ONLINE = "online"
    BATCH = "batch"


class InstanceState(StrEnum):
    """State of an instance or target in the platform's instance list."""

    LIVE = "live"
    LEAVING = "leaving"
