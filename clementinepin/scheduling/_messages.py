"""Messages between the schedulers of instances.

Durations on the wire are remaining seconds, because the monotonic clocks of two instances can't
be compared.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any, NotRequired, TypedDict

import msgspec

from clementinepin.helpers.decoding import guard_decoder
from clementinepin.peers.exceptions import PeerMessageInvalidError
from clementinepin.tables import Loss, SuspectRow
from clementinepin.tables.crashes import BrokenRun

METHOD_DEMAND = "scheduling.burst"
METHOD_CLOSE = "scheduling.close"
METHOD_LEAVING = "scheduling.leaving"
METHOD_SUSPECT = "quarantine.suspect"
METHOD_LIST_SUSPECTS = "quarantine.list"
METHOD_CRASHES = "quarantine.crashes"
METHOD_ISOLATE = "quarantine.isolate"
METHOD_RELEASE = "quarantine.release"


# A value that is no finite number would stay in the tables, where each decision meets it.
Number = Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class DemandMessage(TypedDict):
    """One instance's demand at one target, and the times that it measured, in seconds.

    ``online`` counts its online calls in flight. ``waiting`` is the target's share of its online
    calls that wait for the target's service.
    """

    target: str
    online: Count
    waiting: Count
    first_token_s: Number
    between_tokens_s: Number


class DemandsMessage(TypedDict):
    """Demand that one instance reports to the owner of the targets."""

    demands: list[DemandMessage]


class DemandsReply(TypedDict):
    """The number of online calls of all instances but the sender of the report, by target."""

    others: dict[str, Count]


class CloseMessage(TypedDict):
    """A target to close for new calls for some seconds; 0 opens it again."""

    target: str
    remaining_s: Number


class LeavingMessage(TypedDict):
    """A target that refused a call because it is leaving."""

    target: str


class IsolateMessage(TypedDict):
    """A request for exclusive use of a target by one suspect, or the release of it."""

    target: str
    fingerprint: str
    remaining_s: Number


class IsolateReply(TypedDict):
    """Whether the target was closed for the suspect."""

    granted: bool


class SuspectMessage(TypedDict):
    """A row of the suspect table; times are wall-clock seconds."""

    fingerprint: str
    losses: list[tuple[str, Number]]
    condemned: bool
    cleared_at: Number
    expires_at: Number


class PartsMessage(TypedDict):
    """Parts of prompts at a service."""

    service: str
    parts: list[str]


class CauseMessage(PartsMessage):
    """Parts of prompts that crash targets, found or tried in vain ``age_s`` seconds ago.

    An instance of an older build doesn't say when, and may have tried. ``was_sound`` says that the
    parts had succeeded shortly before.
    """

    age_s: NotRequired[Number]
    failed_trials: NotRequired[Count]
    was_sound: NotRequired[bool]


class SuspectsMessage(TypedDict):
    """Rows of the suspect table, and for an instance that starts the parts that crash targets."""

    suspects: list[SuspectMessage]
    causes: NotRequired[list[CauseMessage]]


class BrokenRunMessage(TypedDict):
    """A call that its target broke off ``age_s`` seconds ago, after ``tokens`` tokens."""

    member: str
    ticket: Count
    target: str
    service: str
    parts: list[str]
    tokens: Count
    age_s: Number


class CrashesMessage(TypedDict):
    """What an instance saw: calls that broke off, and parts of calls that succeeded."""

    broken: list[BrokenRunMessage]
    cleared: list[PartsMessage]


_convert = guard_decoder(msgspec.convert)


def read_message(message: Mapping[str, Any], message_type: Any) -> Any:
    """Return a peer's message or reply checked against its TypedDict.

    Raise PeerMessageInvalidError if it has values of another type or out of range.
    """
    try:
        return _convert(message, message_type)
    except msgspec.DecodeError as err:
        raise PeerMessageInvalidError(str(err)) from err


def encode_suspect(row: SuspectRow) -> SuspectMessage:
    """Return the message for a row."""
    return SuspectMessage(
        fingerprint=row.fingerprint,
        losses=[(loss.target, loss.lost_at) for loss in row.losses],
        condemned=row.condemned,
        cleared_at=row.cleared_at,
        expires_at=row.expires_at,
    )


def decode_suspect(message: SuspectMessage) -> SuspectRow:
    """Return the row in a message."""
    return SuspectRow(
        fingerprint=message["fingerprint"],
        losses=tuple(Loss(target, lost_at) for target, lost_at in message["losses"]),
        condemned=message["condemned"],
        cleared_at=message["cleared_at"],
        expires_at=message["expires_at"],
    )


def encode_broken_run(run: BrokenRun) -> BrokenRunMessage:
    """Return the message for a run that has just been broken off."""
    return BrokenRunMessage(
        member=run.key[0],
        ticket=run.key[1],
        target=run.target_id,
        service=run.service,
        parts=sorted(run.traits),
        tokens=run.events,
        age_s=0.0,
    )


def decode_broken_run(message: BrokenRunMessage) -> BrokenRun:
    """Return the run in a message."""
    key = (message["member"], message["ticket"])
    parts = frozenset(message["parts"])
    return BrokenRun(key, message["target"], message["service"], parts, message["tokens"])
