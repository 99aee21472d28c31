from __future__ import annotations

import pytest

from clementinepin.batch import _dispatcher
from clementinepin.exceptions import Outcome
from clementinepin.infrastructure.exceptions import PlatformUnavailableError
from clementinepin.storage.exceptions import StorageUnavailableError
from clementinepin.systems.shard_state import LEASE_S
from standins.key_value import MemoryKeyValueStore
from tests.batch.fakes import (
    ACCOUNT,
    ENDPOINT,
    FakeEngine,
    Node,
    build_input,
    read_results,
    wait_for,
)
from tests.batch.test_service import is_ended, submit


@pytest.fixture
def key_value(clock):
    return MemoryKeyValueStore(clock)


@pytest.fixture
def node(clock, key_value):
    node = Node(clock, key_value, slots=4)
    yield node
    node.kill()


def test_items_in_hand_run_on_and_hold_their_results(clock, node, key_value):
    """Mutation: ``may_start`` ignores ``unreachable_at``; work stops at the end of the lease."""
    job = submit(node, 40)
    node.start()
    wait_for(lambda: node.engine.finished.total() > 0)
    key_value.down = True
    in_hand = sum(
        len(o.waiting) + len(o.running) + len(o.results) for o in node.batch._keeper.owned.values()
    )
    clock.advance(LEASE_S)
    held = node.batch._keeper

    def hold_all():
        clock.advance(1.0)
        return sum(len(o.results) for o in held.owned.values()) >= in_hand > 0

    wait_for(hold_all)
    key_value.down = False

    def ended():
        clock.advance(1.0)
        return is_ended(node, job)

    wait_for(ended)
    assert len(read_results(node.batch, job.job_id)) == 40
    assert max(node.engine.runs.values()) == 1


def test_held_results_are_bounded(clock, key_value, monkeypatch):
    """Mutation: leave out ``HELD_MAX_BYTES``; an outage fills the memory."""
    monkeypatch.setattr(_dispatcher, "HELD_MAX_BYTES", 1)
    node = Node(clock, key_value, slots=2, engine=FakeEngine(pause_s=0.01))
    submit(node, 40)
    node.start()
    wait_for(lambda: node.scheduler.placements)
    key_value.down = True
    wait_for(lambda: not node.scheduler.placements)
    node.batch._dispatcher.step()
    assert not node.scheduler.placements
    assert sum(len(owned.waiting) for owned in node.batch._keeper.owned.values()) >= 8
    node.kill()


def test_nothing_new_is_acknowledged(node, key_value):
    file = node.batch.store_file(ACCOUNT, "f", "batch", [build_input(3)])
    key_value.down = True
    with pytest.raises(StorageUnavailableError) as caught:
        node.batch.store_file(ACCOUNT, "f", "batch", [build_input(4)])
    assert caught.value.outcome is Outcome.NOT_RUN
    with pytest.raises(PlatformUnavailableError) as refused:
        node.batch.submit(ACCOUNT, "k", file.file_id, ENDPOINT, 0.0)
    assert refused.value.outcome is Outcome.NOT_RUN
    key_value.down = False
    assert key_value.list_range("jobs/") == []
