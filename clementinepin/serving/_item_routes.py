"""Routes of the items of an instance: which service an item may wait for, and for how long."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from gevent.event import Event
from gevent.lock import BoundedSemaphore

from clementinepin.serving._fleet import FleetView
from clementinepin.serving._item_state import ItemRun
from clementinepin.serving.models import Route
from clementinepin.systems import service_choice

# Items of a service running or waiting for a slot on an instance. A few instances must fill all
# slots.
CONCURRENT_ITEMS_MAX: Final = 200


class ItemRoutes:
    """Gives items places at a service of their route, and ends waits when that changes.

    ``_places`` bounds the items of each service that run or wait for a slot. ``_waiting`` has the
    items that wait for a slot, with the service for whose slots they wait. ``on_moved`` gets each
    of them whose route has left that service. ``_usable`` are the services that have targets.
    """

    def __init__(self, fleet: FleetView, on_moved: Callable[[ItemRun, str], None]) -> None:
        self._configuration = fleet.configuration
        self._targets = fleet.targets
        self._on_moved = on_moved
        self._usable: set[str] = set()
        self._places: defaultdict[str, BoundedSemaphore] = defaultdict(
            lambda: BoundedSemaphore(CONCURRENT_ITEMS_MAX)
        )
        self._waiting: dict[ItemRun, str] = {}
        self._changed = Event()
        fleet.configuration.listeners.append(self._handle_change)
        fleet.subscribe(self._handle_targets)

    def find_route(self, run: ItemRun) -> Route | None:
        """Return the route of an item, None while it has none."""
        configuration = self._configuration.current
        if configuration is None:
            return None
        return configuration.find_route(run.head.host, run.item.path.partition("?")[0])

    def find_service(self, run: ItemRun) -> str | None:
        """Return the service at which an item is to run, None while it has no route."""
        route = self.find_route(run)
        if route is None:
            return None
        if len(route.shares) == 1:
            return route.shares[0].service
        usable = self._targets.list_services()
        if run.service in usable and run.service in service_choice.sum_weights(route.shares):
            return run.service  # what another service writes does not go on with the events so far
        return service_choice.choose_service(route.shares, run.item.item_id, usable)

    def leads_to(self, run: ItemRun, service: str) -> bool:
        """Return whether an item is to run at a service."""
        return self.find_service(run) == service

    def take_place(self, service: str) -> BoundedSemaphore:
        """Return the context in which an item holds one of a service's places."""
        return self._places[service]

    def wait_for_change(self, timeout_s: float) -> None:
        """Wait for a new configuration, at most for a time."""
        self._changed.wait(timeout_s)

    @contextmanager
    def watch(self, run: ItemRun, service: str) -> Iterator[None]:
        """Call ``on_moved`` if the item's route leaves a service during the block."""
        self._waiting[run] = service
        try:
            yield
        finally:
            self._waiting.pop(run, None)

    def _handle_targets(self) -> None:
        """Let items move if a service of theirs has lost its last target, or has its first one."""
        usable = self._targets.list_services()
        if usable != self._usable:
            self._usable = usable
            self._handle_change()

    def _handle_change(self) -> None:
        self._changed.set()
        self._changed = Event()
        for run, service in list(self._waiting.items()):
            if not self.leads_to(run, service):
                self._on_moved(run, service)
