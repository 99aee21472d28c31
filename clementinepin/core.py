"""Context that the components of one process share, their life cycle and an event bus."""

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
    """A part of the daemon that is started and stopped with it."""

    name: str

    def start(self) -> None:
        """Start greenlets and listeners; return without waiting for them."""

    def stop(self, deadline: float) -> None:
        """Hand over work and finish before ``deadline`` (monotonic seconds)."""

    def describe_state(self) -> dict[str, Any]:
        """Return a dump that can be encoded as JSON and holds no secrets."""


class ConfigurationChanged:
    """Event: a newer configuration revision is now in force on this instance."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration


class InstancesChanged:
    """Event: new rows of instances and targets, from the instance list and peers' reports."""

    def __init__(self, rows: tuple[ListedInstance, ...]) -> None:
        self.rows = rows


class DrainStarted:
    """Event: this instance has started to drain and stops by ``deadline`` (monotonic seconds)."""

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline


class Core:
    """Context that all components of one process share.

    Components start in the order of registration and stop in reverse order. ``configuration``
    is the operators' configuration in force on this instance, None until one is received.
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
        """Add a component; components start in the order of registration."""
        self.components[component.name] = component

    def subscribe(self, event_type: type[E], listener: Callable[[E], None]) -> None:
        """Call ``listener`` for each published event of exactly this type."""
        self._listeners[event_type].append(listener)

    def publish(self, event: object) -> None:
        """Call all listeners of the event's type in order of subscription.

        An exception of a listener is logged; the other listeners are still called.
        """
        for listener in self._listeners[type(event)]:
            try:
                listener(event)
            except Exception as err:
                name = type(event).__name__
                logger.opt(exception=err).error("{} A listener for {} failed.", LOG_PREFIX, name)

    def set_configuration(self, configuration: Configuration) -> bool:
        """Put a revision in force and publish the change.

        Return False, and change nothing, if the revision is not newer than the current one.
        """
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
        """Publish DrainStarted with ``deadline`` (monotonic seconds); later calls do nothing."""
        if self.draining:
            return
        self.draining = True
        self.publish(DrainStarted(deadline))

    def stop(self, deadline: float) -> None:
        """Stop all components in reverse order of registration.

        An exception of a component is logged; the other components are still stopped.
        """
        for component in reversed(self.components.values()):
            try:
                component.stop(deadline)
            except Exception as err:
                logger.opt(exception=err).error(
                    "{} Stopping {} failed.", LOG_PREFIX, component.name
                )
            else:
                logger.debug("{} Stopped {}.", LOG_PREFIX, component.name)

    def describe_state(self) -> dict[str, Any]:
        """Return the state of this process and of each component."""
        configuration = self.configuration
        return {
            "instance": self.settings.instance._asdict(),
            "draining": self.draining,
            "configuration_revision": configuration.revision if configuration else 0,
            "components": {c.name: c.describe_state() for c in self.components.values()},
        }


def spawn_loop(step: Callable[[], object], period_s: float, prefix: str) -> gevent.Greenlet:
    """Run ``step`` in a new greenlet, with pauses of ``period_s`` seconds between runs.

    An exception is logged with ``prefix``, and the loop continues.
    """

    def run() -> None:
        while True:
            try:
                step()
            except Exception as err:
                logger.opt(exception=err).warning("{} Step failed: {}.", prefix, err)
            gevent.sleep(period_s)

    return gevent.spawn(run)
