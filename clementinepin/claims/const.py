"""Constants of claims."""

from __future__ import annotations

from typing import Final

LOG_PREFIX: Final = "claims:"
METHOD_CLAIM: Final = "claims.claim"
METHOD_SETTLE: Final = "claims.settle"
PREFIX_CLAIM_LOGS: Final = "claims-logs/"
PREFIX_CLAIM_BODIES: Final = "claims-bodies/"

PARTITIONS_COUNT: Final = 16
# Operations that arrive within this interval share one compare-and-swap.
GROUP_COMMIT_INTERVAL_S: Final = 0.05
GROUP_COMMIT_RETRY_S: Final = 0.1
# A larger head moves its rows to a log.
HEAD_MAX_BYTES: Final = 32_768
# A larger body is stored under its own key.
INLINE_BODY_MAX_BYTES: Final = 1_024
RETENTION_S: Final = 86_400.0
# A claim on a running call waits at its owner for at most this time before the owner replies.
JOIN_LONG_POLL_S: Final = 2.0
JOIN_POLL_INTERVAL_S: Final = 0.25
# Added to the deadline of a call: its outcome is stored after the call has ended.
RUN_MARGIN_S: Final = 5.0
OWNER_RETRY_S: Final = 0.1
# The caller waits this long for its outcome to be stored; retries go on in the background.
SETTLE_WAIT_S: Final = 0.5
SETTLE_RETRY_S: Final = 30.0
# One lease is attached to new logs and bodies for LEASE_REUSE_S. The TTL exceeds that time plus
# RETENTION_S, so nothing expires before the rows that refer to it.
LEASE_REUSE_S: Final = 1_800.0
LEASE_TTL_S: Final = 93_600.0
