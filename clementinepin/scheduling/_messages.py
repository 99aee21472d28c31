"""Messages of the scheduler between instances.

Waits on the wire are remaining seconds, as monotonic clocks of two instances have no common zero.
"""

from __future__ import annotations

from typing import TypedDict

from clementinepin.tables import Loss, SuspectRow

METHOD_BURST = "scheduling.burst"
METHOD_CLOSE = "scheduling.close"
METHOD_LEAVING = "scheduling.leaving"
METHOD_SUSPECT = "quarantine.suspect"
METHOD_LIST = "quarantine.list"
METHOD_ISOLATE = "quarantine.isolate"
METHOD_RELEASE = "quarantine.release"


class DemandMessage(TypedDict):
    """Online calls in flight at one target and waiting for it; measured times in seconds."""

    target: str
    online: int
    waiting: int
    first_token_s: float
    between_tokens_s: float


class BurstMessage(TypedDict):
    """What one instance tells the owner of some targets."""

    demands: list[DemandMessage]


class BurstReply(TypedDict):
    """Online calls of the other instances, by target."""

    others: dict[str, int]


class CloseMessage(TypedDict):
    """A target that takes no new work for some seconds; 0 opens it again."""

    target: str
    remaining_s: float


class LeavingMessage(TypedDict):
    """A target that refused because it leaves."""

    target: str


class IsolateMessage(TypedDict):
    """A request for the use of a target by one suspect alone."""

    target: str
    fingerprint: str
    remaining_s: float


class IsolateReply(TypedDict):
    """Whether the target is closed for the suspect."""

    granted: bool


class SuspectMessage(TypedDict):
    """A suspect's row; times are wall-clock seconds."""

    fingerprint: str
    losses: list[tuple[str, float]]
    condemned: bool
    cleared_at: float
    expires_at: float


class SuspectsMessage(TypedDict):
    """Rows of suspects."""

    suspects: list[SuspectMessage]


def encode_suspect(row: SuspectRow) -> SuspectMessage:
    """Return a row as a message."""
    return SuspectMessage(
        fingerprint=row.fingerprint,
        losses=[(loss.target, loss.lost_at) for loss in row.losses],
        condemned=row.condemned,
        cleared_at=row.cleared_at,
        expires_at=row.expires_at,
    )


def decode_suspect(message: SuspectMessage) -> SuspectRow:
    """Return a message as a row."""
    return SuspectRow(
        fingerprint=message["fingerprint"],
        losses=tuple(Loss(target, lost_at) for target, lost_at in message["losses"]),
        condemned=message["condemned"],
        cleared_at=message["cleared_at"],
        expires_at=message["expires_at"],
    )
