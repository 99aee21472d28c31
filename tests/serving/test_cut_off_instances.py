"""Tests of an instance that reaches no target by itself, while another instance does."""

from __future__ import annotations

import random
from collections.abc import Iterator

import pytest

from clementinepin.helpers.clock import create_system_clock
from clementinepin.platform import create_wire
from clementinepin.serving._app import App
from clementinepin.serving._metrics import ServingMetrics
from clementinepin.serving.models import Member, RouteKind
from clementinepin.systems.dispatch_actions import RunOutcome
from tests.serving.cut_links import CutLink, Manner
from tests.serving.harness import ID, Harness, get_status, send_events
from tests.serving.memory_store import MemoryStore
from tests.serving.parts import SETTINGS
from tests.serving.scripted import ScriptedTarget, call, make_plain


class CutOffHarness(Harness):
    """An entry whose links to targets are cut, beside a job runner that reaches them."""

    def __init__(self) -> None:
        super().__init__()
        port = self._find_port()
        settings = SETTINGS._replace(name="helper", link_port=port)
        self.helper = App(
            settings,
            MemoryStore(),
            create_wire(),
            create_system_clock(),
            random.Random(2),
            ServingMetrics(),
        )
        self.helper._link_server.start()
        member = Member("helper", True, "127.0.0.1", port, "", "a", "r", False)
        self.app.fleet.members.rows["helper"] = member
        self._links: list[CutLink] = []

    def add_cut_target(self, target: ScriptedTarget, manner: Manner) -> ScriptedTarget:
        """Add a target that only the job runner reaches."""
        self.add_target(target)
        target_id = self.slots.target_ids[-1]
        link = CutLink(manner)
        self._links.append(link)
        row = self.app.fleet.targets.rows[target_id]
        self.helper.fleet.targets.rows[target_id] = row
        self.app.fleet.targets.rows[target_id] = row._replace(port=link.port)
        return target

    def stop(self) -> None:
        super().stop()
        self.helper._link_server.stop()
        for link in self._links:
            link.stop()


@pytest.fixture
def cut_off() -> Iterator[CutOffHarness]:
    harness = CutOffHarness()
    yield harness
    harness.stop()


@pytest.mark.parametrize("manner", Manner)
def test_callers_of_an_instance_that_is_cut_off_from_all_targets_are_served(
    cut_off: CutOffHarness, manner: Manner
) -> None:
    """Guards against RECOVER: such an instance tried one target after the other by itself."""
    cut_off.set_route(resumable=False, attempts_max=1)
    target = cut_off.add_cut_target(
        ScriptedTarget(*(send_events(1, 2, 3) for _ in range(5))), manner
    )
    for _ in range(5):
        response = call(cut_off.port, ID)
        assert get_status(response) == 200
        assert response.count(b"data: e") == 3
    assert len(target.requests) == 5
    assert cut_off.slots.outcomes == [RunOutcome.SERVED] * 5


@pytest.mark.parametrize("manner", Manner)
def test_a_whole_response_comes_through_another_instance(
    cut_off: CutOffHarness, manner: Manner
) -> None:
    cut_off.set_route(kind=RouteKind.NON_IDEMPOTENT, attempts_max=1)
    body = b"x" * 300_000
    cut_off.add_cut_target(ScriptedTarget(make_plain(body)), manner)
    assert call(cut_off.port, ID).endswith(body)
