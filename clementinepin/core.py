"""The small core: context that components share, their life cycle and an event bus."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

import gevent
from loguru import logger

if TYPE_CHECKING:
    from clementinepin.config import Configuration, Settings
    from clementinepin.helpers.clock import Clock
    from clementinepin.helpers.metrics import Metrics
    from clementinepin.infrastructure import ListedInstance

LOG_PREFIX = "core:"
E = TypeVar("E")


class Component(Protocol):
    """A part of the daemon with a paired start and stop."""

    name: str

    def start(self) -> None:
        """Start greenlets and listeners; return at once."""

    def stop(self, deadline: float) -> None:
        """Hand over and finish before the monotonic deadline."""

    def describe_state(self) -> dict[str, Any]:
        """Return a JSON-ready dump without secrets."""


class ConfigurationChanged:
    """Event: another configuration revision is in force on this instance."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration


class InstancesChanged:
    """Event: a new view of instances and targets, from the list and peers' words."""

    def __init__(self, rows: tuple[ListedInstance, ...]) -> None:
        self.rows = rows


class DrainStarted:
    """Event: this instance is leaving; ``deadline`` is monotonic seconds."""

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline


class Core:
    """What every component of one process shares.

    Components register in start order and stop in reverse. ``configuration`` is the
    operators' configuration in force here, or None before the first is learnt.
    """

    def __init__(
        self, settings: Settings, clock: Clock, metrics: Metrics, rng: random.Random
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.random = rng
        self.configuration: Configuration | None = None
        self.draining = False
        self.components: dict[str, Component] = {}
        self._listeners: defaultdict[type, list[Callable[[Any], None]]] = defaultdict(list)

    def register(self, component: Component) -> None:
        """Add a component; the order of calls is the start order."""
        self.components[component.name] = component

    def subscribe(self, event_type: type[E], listener: Callable[[E], None]) -> None:
        """Call ``listener`` for each published event of the type."""
        self._listeners[event_type].append(listener)

    def publish(self, event: object) -> None:
        """Call all listeners of the event's type in order; the failure of one stops no other."""
        for listener in self._listeners[type(event)]:
            try:
                listener(event)
            except Exception as err:
                name = type(event).__name__
                logger.opt(exception=err).error("{} Listener of {} failed.", LOG_PREFIX, name)

    def set_configuration(self, configuration: Configuration) -> bool:
        """Put a newer revision in force; return False for an older or equal one."""
        current = self.configuration
        if current is not None and configuration.revision <= current.revision:
            return False
        self.configuration = configuration
        self.publish(ConfigurationChanged(configuration))
        return True

    def start(self) -> None:
        """Start all components in registration order."""
        for component in self.components.values():
            component.start()
            logger.debug("{} Started {}.", LOG_PREFIX, component.name)

    def drain(self, deadline: float) -> None:
        """Announce once that this instance is leaving."""
        if self.draining:
            return
        self.draining = True
        self.publish(DrainStarted(deadline))

    def stop(self, deadline: float) -> None:
        """Stop all components in reverse order; the failure of one stops no other."""
        for component in reversed(self.components.values()):
            try:
                component.stop(deadline)
            except Exception as err:
                logger.opt(exception=err).error("{} Stop of {} failed.", LOG_PREFIX, component.name)
            else:
                logger.debug("{} Stopped {}.", LOG_PREFIX, component.name)

    def describe_state(self) -> dict[str, Any]:
        """Return the dump of every component."""
        configuration = self.configuration
        return {
            "instance": self.settings.instance._asdict(),
            "draining": self.draining,
            "configuration_revision": configuration.revision if configuration else 0,
            "components": {c.name: c.describe_state() for c in self.components.values()},
        }


def spawn_loop(step: Callable[[], object], period_s: float, prefix: str) -> gevent.Greenlet:
    """Run ``step`` every period in a greenlet; a failure is logged and the loop goes on."""

    def run() -> None:
        while True:
            try:
                step()
            except Exception as err:
                logger.opt(exception=err).warning("{} Step failed: {}.", prefix, err)
            gevent.sleep(period_s)

    return gevent.spawn(run)
