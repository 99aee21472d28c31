"""Messages of tunnels between instances; unknown keys are ignored."""

from __future__ import annotations

from typing import Any, Final, TypedDict, TypeVar

import msgspec

from clementinepin.helpers.decoding import guard_decoder

M = TypeVar("M")
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


def read_message(message: object, kind: type[M]) -> M:
    """Return a message or reply with the keys of its kind. Raises msgspec.DecodeError."""
    # Without builtin_types text in the place of bytes would be read as base64.
    return _convert(message, kind, builtin_types=(bytes,))  # type: ignore[no-any-return]


_convert: Any = guard_decoder(msgspec.convert)
