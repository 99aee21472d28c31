"""Rows of a service's steward. Times are monotonic seconds."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from clementinepin.targets import LoadReport


class StewardLease(NamedTuple):
    """A held lease; no order may be sent before ``orders_from``."""

    lease_id: int
    fencing_number: int
    deadline: float
    orders_from: float


class OrderKind(StrEnum):
    """What an order changes."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


class Order(NamedTuple):
    """A declarative order to one target; safe to repeat."""

    target: str
    kind: OrderKind
    name: str
    version: str
    weights: str


class TargetView(NamedTuple):
    """A live target and its latest report, None before the first."""

    name: str
    report: LoadReport | None


class PendingOrder(NamedTuple):
    """An order whose effect is not reported yet; after ``deadline`` it is planned again.

    ``disrupts`` is True if the target serves what the order replaces.
    """

    order: Order
    disrupts: bool
    deadline: float


class OrderPlan(NamedTuple):
    """Orders to send now, and those held back so that enough targets keep serving."""

    orders: tuple[PendingOrder, ...]
    held_back: tuple[Order, ...]
