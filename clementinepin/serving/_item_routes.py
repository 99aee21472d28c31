"""Routes of the items of an instance: which service an item may wait for, and for how long."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from gevent.event import Event
from gevent.lock import BoundedSemaphore

from clementinepin.serving._fleet import ConfigurationView
from clementinepin.serving._item_state import ItemRun
from clementinepin.serving.models import Route

# Items of a service running or waiting for a slot on an instance. A few instances must fill all
# slots.
CONCURRENT_ITEMS_MAX: Final = 200


class ItemRoutes:
    """Gives items places at the service of their route, and ends waits when the route moves.

    ``_places`` bounds the items of each service that run or wait for a slot. ``_waiting`` has the
    items that wait for a slot, with the service for whose slots they wait. ``on_moved`` gets each
    of them whose route has left that service.
    """

    def __init__(
        self, configuration: ConfigurationView, on_moved: Callable[[ItemRun, str], None]
    ) -> None:
        self._configuration = configuration
        self._on_moved = on_moved
        self._places: defaultdict[str, BoundedSemaphore] = defaultdict(
            lambda: BoundedSemaphore(CONCURRENT_ITEMS_MAX)
        )
        self._waiting: dict[ItemRun, str] = {}
        self._changed = Event()
        configuration.listeners.append(self._handle_change)

    def find_route(self, run: ItemRun) -> Route | None:
        """Return the route of an item, None while it has none."""
        configuration = self._configuration.current
        if configuration is None:
            return None
        return configuration.find_route(run.head.host, run.item.path.partition("?")[0])

    def leads_to(self, run: ItemRun, service: str) -> bool:
        """Return whether the item's route leads to a service."""
        route = self.find_route(run)
        return route is not None and get_service(route) == service

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

    def _handle_change(self) -> None:
        self._changed.set()
        self._changed = Event()
        for run, service in list(self._waiting.items()):
            if not self.leads_to(run, service):
                self._on_moved(run, service)


def get_service(route: Route) -> str:
    """Return the service at which the items of a route run."""
    return route.shares[0].service
