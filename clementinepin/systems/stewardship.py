"""Plans the orders that make the engines of a service load the configured models and adapters."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from clementinepin.config import AdapterSpec, Configuration, ModelSpec
from clementinepin.tables.stewardship import (
    Order,
    OrderKind,
    OrderPlan,
    PendingOrder,
    StewardLease,
    TargetView,
)

LEASE_TTL_S = 30.0
LEASE_MARGIN_S = 2.0  # between the latest end of an order and the end of the lease
RENEW_BEFORE_S = 22.0  # before the lease ends; leaves 10 s to renew until orders must stop
ORDER_MAX_S = 10.0
REPORT_LAG_MAX_S = 10.0
ROLE_SERVE = "serve"
DISRUPTED_SHARE_MAX = 0.25  # of the targets of a service, at least one target
ORDERS_PER_ROUND = 4


class DesiredModels(NamedTuple):
    """Models and adapters that each engine of a service should serve."""

    models: tuple[ModelSpec, ...]
    adapters: tuple[AdapterSpec, ...]


def choose_desired_models(configuration: Configuration, service: str) -> DesiredModels:
    """Return the configured models and adapters of a service."""
    models = tuple(m for _, m in sorted(configuration.models.items()) if m.service == service)
    names = {model.name for model in models}
    adapters = tuple(a for _, a in sorted(configuration.adapters.items()) if a.model in names)
    return DesiredModels(models, adapters)


def may_order(lease: StewardLease, now: float) -> bool:
    """Return whether an order may be sent now.

    It must end within the lease and start after the orders of any earlier holder have ended.
    """
    return lease.orders_from <= now <= lease.deadline - ORDER_MAX_S - LEASE_MARGIN_S


def needs_renewal(lease: StewardLease, now: float) -> bool:
    """Return whether the lease should be extended now."""
    return now >= lease.deadline - RENEW_BEFORE_S


def drop_reported(
    pending: Mapping[str, PendingOrder], views: Iterable[TargetView], now: float
) -> dict[str, PendingOrder]:
    """Return the pending orders by target that have not taken effect and are not overdue.

    Orders to targets that are not in ``views`` are dropped too.
    """
    reports = {view.name: view for view in views}
    return {
        target: entry
        for target, entry in pending.items()
        if now < entry.deadline
        and target in reports
        and not _is_applied(reports[target], entry.order)
    }


def plan_orders(
    desired: DesiredModels,
    views: Iterable[TargetView],
    pending: Mapping[str, PendingOrder],
    now: float,
) -> OrderPlan:
    """Return the orders to send now, at most one per target.

    An order that interrupts a serving target is held back if fewer than the model's
    ``workers_min`` (at least one) would remain, or if too large a share of targets would be
    interrupted at once.
    """
    planner = _Planner(desired, tuple(views), pending)
    for view in planner.sort_views():
        order = planner.find_order(view)
        if order is not None:
            planner.add(view, order, now)
    return OrderPlan(tuple(planner.orders), tuple(planner.held_back))


class _Planner:
    def __init__(
        self,
        desired: DesiredModels,
        views: tuple[TargetView, ...],
        pending: Mapping[str, PendingOrder],
    ) -> None:
        self.orders: list[PendingOrder] = []
        self.held_back: list[Order] = []
        self._desired = desired
        self._views = views
        self._disrupted = {target for target, entry in pending.items() if entry.disrupts}
        self._pending = set(pending)

    def sort_views(self) -> list[TargetView]:
        """Return reported targets without a pending order, those that serve least first."""
        free = [v for v in self._views if v.report is not None and v.name not in self._pending]
        return sorted(free, key=lambda v: (self._count_served(v), _count_running(v), v.name))

    def find_order(self, view: TargetView) -> Order | None:
        """Return the first order that a target needs, or None."""
        report = view.report
        if report is None:
            return None
        if report.role not in ("", ROLE_SERVE):
            return Order(view.name, OrderKind.CHANGE_ROLE, ROLE_SERVE, "", "")
        for model in self._desired.models:
            if f"{model.name}:{model.version}" not in report.models:
                return _create_load(view.name, OrderKind.LOAD_MODEL, model)
        for adapter in self._desired.adapters:
            if f"{adapter.name}:{adapter.version}" not in report.adapters:
                return _create_load(view.name, OrderKind.LOAD_ADAPTER, adapter)
        return None

    def add(self, view: TargetView, order: Order, now: float) -> None:
        """Plan an order, or hold it back; ignore it once ORDERS_PER_ROUND are planned."""
        if len(self.orders) >= ORDERS_PER_ROUND:
            return
        disrupts = self._disrupts(view, order)
        if disrupts and not self._may_disrupt(view):
            self.held_back.append(order)
            return
        if disrupts:
            self._disrupted.add(view.name)
        self.orders.append(PendingOrder(order, disrupts, now + ORDER_MAX_S + REPORT_LAG_MAX_S))

    def _disrupts(self, view: TargetView, order: Order) -> bool:
        if order.kind == OrderKind.LOAD_MODEL:
            return _serves(view, order.name)
        if order.kind == OrderKind.LOAD_ADAPTER:
            loaded = view.report.adapters if view.report else ()
            return any(_split_name(entry) == order.name for entry in loaded)
        return False

    def _may_disrupt(self, view: TargetView) -> bool:
        if len(self._disrupted) + 1 > max(1, int(len(self._views) * DISRUPTED_SHARE_MAX)):
            return False
        for model in self._desired.models:
            if not _serves(view, model.name):
                continue
            remaining = sum(
                other.name != view.name
                and other.name not in self._disrupted
                and _is_serving(other, model.name)
                for other in self._views
            )
            if remaining < max(model.workers_min, 1):
                return False
        return True

    def _count_served(self, view: TargetView) -> int:
        return sum(_serves(view, model.name) for model in self._desired.models)


def _create_load(target: str, kind: OrderKind, spec: ModelSpec | AdapterSpec) -> Order:
    return Order(target, kind, spec.name, spec.version, spec.weights)


def _split_name(entry: str) -> str:
    return entry.partition(":")[0]


def _serves(view: TargetView, model: str) -> bool:
    return view.report is not None and any(_split_name(m) == model for m in view.report.models)


def _is_serving(view: TargetView, model: str) -> bool:
    in_role = view.report is not None and view.report.role in ("", ROLE_SERVE)
    return in_role and _serves(view, model)


def _count_running(view: TargetView) -> int:
    return view.report.running if view.report else 0


def _is_applied(view: TargetView, order: Order) -> bool:
    if view.report is None:
        return False
    if order.kind == OrderKind.CHANGE_ROLE:
        return view.report.role == order.name
    loaded = view.report.models if order.kind == OrderKind.LOAD_MODEL else view.report.adapters
    return f"{order.name}:{order.version}" in loaded
