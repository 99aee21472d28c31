from __future__ import annotations

import random
from types import SimpleNamespace

from clementinepin.core import Core, DrainStarted
from clementinepin.helpers.clock import ManualClock
from clementinepin.helpers.metrics import create_metrics


def create_core() -> Core:
    return Core(None, ManualClock(), create_metrics(None, 0, ""), random.Random(1))


class RecordingComponent:
    def __init__(self, name, calls):
        self.name = name
        self.calls = calls

    def start(self):
        self.calls.append(f"start {self.name}")

    def stop(self, deadline):
        self.calls.append(f"stop {self.name}")

    def describe_state(self):
        return {}


def test_components_stop_in_reverse_start_order():
    calls = []
    core = create_core()
    for name in ("a", "b"):
        core.register(RecordingComponent(name, calls))
    core.start()
    core.stop(0.0)
    assert calls == ["start a", "start b", "stop b", "stop a"]


def test_other_components_are_stopped_after_one_fails_to_stop():
    """Mutation: do not catch the exception of the first one."""
    calls = []
    core = create_core()
    core.register(RecordingComponent("a", calls))
    core.register(RecordingComponent("b", calls))
    core.components["b"].stop = lambda deadline: 1 / 0
    core.stop(0.0)
    assert calls == ["stop a"]


def test_other_listeners_are_called_after_one_fails():
    """Mutation: do not catch the exception of the first one."""
    core = create_core()
    received = []
    core.subscribe(DrainStarted, lambda event: received.append(1 / 0))
    core.subscribe(DrainStarted, received.append)
    core.drain(5.0)
    assert [event.deadline for event in received] == [5.0]


def test_older_or_equal_revision_is_not_put_in_force():
    """Mutation: compare revisions with ``<``."""
    core = create_core()
    revisions = [core.set_configuration(SimpleNamespace(revision=r)) for r in (2, 1, 2, 3)]
    assert revisions == [True, False, False, True]
    assert core.configuration.revision == 3
