"""Public entry point of the serving path: creates an instance."""

from __future__ import annotations

import random

from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure import StateStore
from clementinepin.serving._app import App
from clementinepin.serving._metrics import ServingMetrics
from clementinepin.serving.models import InstanceSettings, Policy
from clementinepin.serving.wire import Wire

__all__ = ["App", "ServingMetrics", "create_app", "create_serving_metrics"]


def create_serving_metrics() -> ServingMetrics:
    """Return counters and histograms that are all zero."""
    return ServingMetrics()


def create_app(
    settings: InstanceSettings,
    store: StateStore,
    wire: Wire,
    clock: Clock,
    rng: random.Random,
    metrics: ServingMetrics,
    policy: Policy,
) -> App:
    """Return an instance that is not started yet."""
    return App(settings, store, wire, clock, rng, metrics, policy)
