from __future__ import annotations

import random
from types import SimpleNamespace

from clementinepin.core import Core, DrainStarted
from clementinepin.helpers.clock import ManualClock
from clementinepin.helpers.metrics import create_metrics


def create_core() -> Core:
    return Core(None, ManualClock(), create_metrics(None, 0, ""), random.Random(1))


class Part:
    def __init__(self, name, journal):
        self.name = name
        self.journal = journal

    def start(self):
        self.journal.append(f"start {self.name}")

    def stop(self, deadline):
        self.journal.append(f"stop {self.name}")

    def describe_state(self):
        return {}


def test_parts_stop_in_the_reverse_of_their_start():
    journal = []
    core = create_core()
    for name in ("a", "b"):
        core.register(Part(name, journal))
    core.start()
    core.stop(0.0)
    assert journal == ["start a", "start b", "stop b", "stop a"]


def test_a_part_that_fails_to_stop_keeps_no_other_running():
    """Mutation: let the first failure through."""
    journal = []
    core = create_core()
    core.register(Part("a", journal))
    core.register(Part("b", journal))
    core.components["b"].stop = lambda deadline: 1 / 0
    core.stop(0.0)
    assert journal == ["stop a"]


def test_a_failing_listener_keeps_no_event_from_the_others():
    """Mutation: let the first failure through."""
    core = create_core()
    seen = []
    core.subscribe(DrainStarted, lambda event: seen.append(1 / 0))
    core.subscribe(DrainStarted, seen.append)
    core.drain(5.0)
    assert [event.deadline for event in seen] == [5.0]


def test_an_older_revision_is_never_put_in_force():
    """Mutation: compare revisions with ``<``."""
    core = create_core()
    revisions = [core.set_configuration(SimpleNamespace(revision=r)) for r in (2, 1, 2, 3)]
    assert revisions == [True, False, False, True]
    assert core.configuration.revision == 3
