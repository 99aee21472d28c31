"""What the systems ask the adapter to do."""

from __future__ import annotations

from typing import NamedTuple

from clementinepin.exceptions import NotRunError


class Grant(NamedTuple):
    """Give a waiting call a slot at a target."""

    waiting_id: int
    ticket: int
    target: str


class Refuse(NamedTuple):
    """End a waiting call with a typed refusal."""

    waiting_id: int
    error: NotRunError


class Preempt(NamedTuple):
    """Ask a batch call to give its slot back."""

    ticket: int


class Isolate(NamedTuple):
    """Ask the owner of a target to close it for one suspect."""

    waiting_id: int
    target: str


class Signal(NamedTuple):
    """Tell the owner of a target's allowance how many online calls are in flight here, and wait."""

    owner: str
    target: str
    online: int
    waiting: int


Action = Grant | Refuse | Preempt | Isolate | Signal
