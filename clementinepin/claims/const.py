"""Constants of claims. Units stand in the names."""

from __future__ import annotations

from typing import Final

LOG_PREFIX: Final = "claims:"
METHOD_CLAIM: Final = "claims.claim"
METHOD_SETTLE: Final = "claims.settle"
PREFIX_CLAIM_LOGS: Final = "claims-logs/"
PREFIX_CLAIM_BODIES: Final = "claims-bodies/"

PARTITIONS_COUNT: Final = 16
GROUP_INTERVAL_S: Final = 0.05
GROUP_RETRY_S: Final = 0.1
HEAD_MAX_BYTES: Final = 32_768
INLINE_BODY_MAX_BYTES: Final = 1_024
RETENTION_S: Final = 86_400.0
JOIN_HOLD_S: Final = 2.0
JOIN_REFRESH_S: Final = 0.25
RUN_MARGIN_S: Final = 5.0
ASK_RETRY_S: Final = 0.1
SETTLE_WAIT_S: Final = 0.5
SETTLE_RETRY_S: Final = 30.0
LEASE_USE_S: Final = 1_800.0
LEASE_TTL_S: Final = 93_600.0
