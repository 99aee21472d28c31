"""Messages of tunnels between instances; unknown keys are ignored."""

from __future__ import annotations

from typing import Final, TypedDict

METHOD_OPEN: Final = "tunnels.open"
METHOD_SEND: Final = "tunnels.send"
METHOD_RECEIVE: Final = "tunnels.receive"
METHOD_CLOSE: Final = "tunnels.close"


class OpenMessage(TypedDict):
    """Asks for a connection to a target within ``timeout_s``."""

    target: str
    timeout_s: float


class OpenReply(TypedDict):
    """The number of the tunnel; 0 if there is none, then ``failure`` says why."""

    tunnel: int
    failure: str
    refused: bool


class SendMessage(TypedDict):
    """Bytes to the target."""

    tunnel: int
    data: bytes


class SendReply(TypedDict):
    """Whether the target's connection took all bytes."""

    sent: bool


class ReceiveMessage(TypedDict):
    """Asks for bytes of the target; the reply may be kept for ``wait_s``."""

    tunnel: int
    wait_s: float


class ReceiveReply(TypedDict):
    """Bytes of the target, and whether its connection has ended behind them, or broken."""

    data: bytes
    ended: bool
    broken: bool


class CloseMessage(TypedDict):
    """Closes the target's connection."""

    tunnel: int
