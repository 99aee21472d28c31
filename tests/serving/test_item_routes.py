"""Tests of the places and waits of items whose routes are removed or moved."""

from __future__ import annotations

from typing import Any

import gevent
import pytest
from gevent.event import AsyncResult
from loguru import logger

from clementinepin.serving import _item_run
from clementinepin.serving._item_routes import CONCURRENT_ITEMS_MAX
from clementinepin.serving._item_state import ItemRun
from clementinepin.serving.exceptions import CallerGoneError
from clementinepin.serving.models import (
    CallerLimits,
    ItemState,
    RouteKind,
    RoutingConfiguration,
    ServiceShare,
)
from tests.serving.harness import send_events
from tests.serving.parts import make_head, make_items, make_route
from tests.serving.test_item_run import Harness, PreemptingSlots


class PathSlots(PreemptingSlots):
    """Grants slots of one service only; requests for others wait until they are cancelled."""

    def __init__(self, service: str) -> None:
        super().__init__()
        self._service = service

    def acquire(self, request: Any, on_waiting: Any) -> Any:
        if request.service == self._service:
            return super().acquire(request, on_waiting)
        reply: AsyncResult = AsyncResult()
        on_waiting(lambda: reply.set_exception(CallerGoneError("cancelled")))
        return reply.get()


def set_routes(harness: Harness, **services: str) -> None:
    """Put routes in force whose path prefixes are the names, as a newer configuration."""
    routes = tuple(
        make_route(
            name=name,
            kind=RouteKind.JOB,
            path_prefix=f"/{name}/",
            shares=(ServiceShare(service, 1.0),),
        )
        for name, service in services.items()
    )
    version = harness.fleet.configuration.current.version + 1
    harness.fleet.configuration.current = RoutingConfiguration(version, routes, {}, CallerLimits())
    for listener in harness.fleet.configuration.listeners:
        listener()


def start_items(harness: Harness, count: int, path: str) -> list[ItemRun]:
    """Start items of a path and return their runs."""
    head = make_head(now_s=harness.clock.wall())
    runs = [ItemRun(item._replace(path=path), head, 0) for item in make_items(count)]
    for run in runs:
        gevent.spawn(harness.runner.run, run)
    return runs


def wait_until_completed(runs: list[ItemRun]) -> None:
    with gevent.Timeout(5.0):
        while any(run.state is not ItemState.COMPLETED for run in runs):
            gevent.sleep(0.01)


@pytest.mark.parametrize(
    "services", [{"x": "llm"}, {"y": "other", "x": "llm"}], ids=["no route", "no slots"]
)
def test_items_that_cannot_run_keep_no_place_from_items_of_other_services(
    services: dict[str, str],
) -> None:
    """Guards against 200 items of a removed route that stop all other jobs (review/2)."""
    harness = Harness(*[send_events(1) for _ in range(3)])
    harness.runner._slots = PathSlots("llm")
    harness.runner._slots.target_ids.append("t0")
    set_routes(harness, **services)
    waiting = start_items(harness, CONCURRENT_ITEMS_MAX, "/y/1")
    gevent.sleep(0.05)
    wait_until_completed(start_items(harness, 3, "/x/1"))
    assert all(run.state is None for run in waiting)
    for run in waiting:
        run.cancel()


def test_items_that_wait_for_a_slot_follow_their_route_to_its_service():
    """Guards against items that wait for a service that their route has left (review/4)."""
    harness = Harness(*[send_events(1) for _ in range(3)])
    harness.runner._slots = PathSlots("llm")
    harness.runner._slots.target_ids.append("t0")
    set_routes(harness, x="former")
    waiting = start_items(harness, 3, "/x/1")
    with gevent.Timeout(5.0):
        while len(harness.runner._routes._waiting) < 3:
            gevent.sleep(0.01)
    reasons: list[str] = []
    sink = logger.add(lambda m: reasons.append(m.record["extra"].get("reason", "")), level="INFO")
    set_routes(harness, x="llm")
    logger.remove(sink)
    wait_until_completed(waiting)
    assert reasons == ["its route has left service 'former'"] * 3


def test_an_item_whose_route_moved_during_its_wait_uses_no_slot_of_the_former_service():
    harness = Harness(send_events(1), send_events(2))
    acquire = harness.slots.acquire
    asked: list[str] = []

    def move_route(request: Any, on_waiting: Any) -> Any:
        slot = acquire(request, on_waiting)
        asked.append(request.service)
        if len(asked) == 1:
            set_routes(harness, x="other")
        return slot

    harness.slots.acquire = move_route
    harness.run_item()
    assert asked == ["llm", "other"]
    assert len(harness.target.requests) == 1


def test_items_of_a_removed_route_run_as_soon_as_it_is_back(monkeypatch):
    monkeypatch.setattr(_item_run, "ROUTE_PAUSE_S", 3600.0)
    harness = Harness(send_events(1))
    set_routes(harness)
    waiting = start_items(harness, 1, "/x/1")
    gevent.sleep(0.02)
    set_routes(harness, x="llm")
    wait_until_completed(waiting)


def set_split(harness: Harness, **weights: float) -> None:
    """Put one route in force that is split between services by weights."""
    shares = tuple(ServiceShare(service, weight) for service, weight in weights.items())
    route = make_route(kind=RouteKind.JOB, shares=shares, attempts_max=2)
    version = harness.fleet.configuration.current.version + 1
    harness.fleet.configuration.current = RoutingConfiguration(
        version, (route,), {}, CallerLimits()
    )
    for listener in harness.fleet.configuration.listeners:
        listener()


@pytest.mark.parametrize("is_accepted_before", [True, False])
def test_items_follow_the_weights_of_their_route(is_accepted_before: bool) -> None:
    """Guards against items that stay at the first service of a split (review/7)."""
    harness = Harness(*[send_events(1) for _ in range(3)])
    harness.runner._slots = PathSlots("llm")
    harness.runner._slots.target_ids.append("t0")
    set_split(harness, former=100.0, llm=0.0)
    waiting = start_items(harness, 3, "/x/1") if is_accepted_before else []
    gevent.sleep(0.02)
    set_split(harness, former=0.0, llm=100.0)
    wait_until_completed(waiting or start_items(harness, 3, "/x/1"))


def test_items_wait_for_no_service_without_targets_while_another_one_of_their_route_has_some():
    """Guards against items that are never run as their service has no target left (review/7)."""
    harness = Harness(*[send_events(1) for _ in range(6)])
    harness.runner._slots = PathSlots("llm")
    harness.runner._slots.target_ids.append("t0")
    rows = harness.fleet.targets.rows
    rows["t1"] = rows["t0"]._replace(target_id="t1", service="other")
    harness.fleet.notify()
    set_split(harness, other=90.0, llm=10.0)
    waiting = start_items(harness, 6, "/x/1")
    gevent.sleep(0.05)
    assert any(run.state is None for run in waiting)
    del rows["t1"]
    harness.fleet.notify()
    wait_until_completed(waiting)


@pytest.mark.parametrize("is_moved_back", [False, True])
def test_an_item_goes_on_at_no_other_service(is_moved_back: bool) -> None:
    """Guards against a text joined from two services as the route of its item moved (review/8)."""
    harness = Harness()
    rows = harness.fleet.targets.rows
    rows["t1"] = rows["t0"]._replace(target_id="t1", service="other")

    def move_route(sock: Any, request: bytes) -> bool:
        send_events(1, 2, end=False)(sock, request)
        set_routes(harness, x="other")
        harness.slots.target_ids = ["t1"]
        if is_moved_back:
            set_routes(harness, x="llm")
            harness.slots.target_ids = ["t0"]
        return False

    harness.target._scripts = [move_route, send_events(3) if is_moved_back else send_events(1)]
    run = harness.run_item()
    assert run.text == ("e1\ne2\ne3" if is_moved_back else "e1")
    assert (b"Last-Event-Id" in harness.target.requests[1]) is is_moved_back
    assert run.service == ("llm" if is_moved_back else "other")


def test_an_item_stays_at_the_service_of_its_events_while_its_route_allows_it() -> None:
    """Guards against work done again for each change of a weight."""
    harness = Harness()
    rows = harness.fleet.targets.rows
    rows["t1"] = rows["t0"]._replace(target_id="t1", service="other")
    routes = harness.runner._routes
    for service, other in (("llm", "other"), ("other", "llm")):
        harness.run.service = service
        set_split(harness, **{service: 1.0, other: 1000.0})
        assert routes.find_service(harness.run) == service
        set_split(harness, **{service: 0.0, other: 1.0})
        assert routes.find_service(harness.run) == other
