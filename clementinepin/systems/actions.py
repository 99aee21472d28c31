"""Actions that the scheduler carries out for the decisions of the systems."""

from __future__ import annotations

from typing import NamedTuple

from clementinepin.exceptions import NotRunError


class Grant(NamedTuple):
    """Give a waiting call a slot at a target."""

    waiting_id: int
    ticket: int
    target: str


class Refuse(NamedTuple):
    """End a waiting call with an error that proves that it did not run."""

    waiting_id: int
    error: NotRunError


class Preempt(NamedTuple):
    """Ask a batch call to stop and free its slot."""

    ticket: int


class Isolate(NamedTuple):
    """Ask the owner of a target to close it for all calls but one suspect."""

    waiting_id: int
    target: str


class ReportDemand(NamedTuple):
    """Report to the owner of a target's allowance the online calls in flight and waiting here."""

    owner: str
    target: str
    online: int
    waiting: int


Action = Grant | Refuse | Preempt | Isolate | ReportDemand
