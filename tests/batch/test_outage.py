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


def test_claimed_items_keep_running_and_their_results_are_held(clock, node, key_value):
    """Mutation: ``may_start`` ignores ``unreachable_at``; work then stops when the lease ends."""
    job = submit(node, 40)
    node.start()
    wait_for(lambda: node.engine.finished.total() > 0)
    key_value.down = True
    claimed = sum(
        len(o.waiting) + len(o.running) + len(o.results) for o in node.batch._keeper.owned.values()
    )
    clock.advance(LEASE_S)
    keeper = node.batch._keeper

    def all_results_are_held():
        clock.advance(1.0)
        return sum(len(o.results) for o in keeper.owned.values()) >= claimed > 0

    wait_for(all_results_are_held)
    key_value.down = False

    def ended():
        clock.advance(1.0)
        return is_ended(node, job)

    wait_for(ended)
    assert len(read_results(node.batch, job.job_id)) == 40
    assert max(node.engine.runs.values()) == 1


def test_held_results_are_bounded(clock, key_value, monkeypatch):
    """Mutation: ignore ``HELD_MAX_BYTES``; an outage then fills the memory."""
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


def test_no_file_or_job_is_accepted_during_an_outage(node, key_value):
    file = node.batch.store_file(ACCOUNT, "f", "batch", [build_input(3)])
    key_value.down = True
    with pytest.raises(StorageUnavailableError) as caught:
        node.batch.store_file(ACCOUNT, "f", "batch", [build_input(4)])
    assert caught.value.outcome is Outcome.NOT_RUN
    with pytest.raises(PlatformUnavailableError) as rejected:
        node.batch.submit(ACCOUNT, "k", file.file_id, ENDPOINT, 0.0)
    assert rejected.value.outcome is Outcome.NOT_RUN
    key_value.down = False
    assert key_value.list_range("jobs/") == []
