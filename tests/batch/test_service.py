from __future__ import annotations

import gevent
import pytest

from clementinepin.batch.exceptions import (
    BatchUnavailableError,
    DuplicateCustomIdError,
    FileNotFoundInAccountError,
    InvalidBatchError,
    InvalidLineError,
    JobConflictError,
    JobNotFoundError,
    UnknownModelError,
)
from clementinepin.core import InstancesChanged
from clementinepin.exceptions import Outcome
from clementinepin.infrastructure import ListedInstance
from clementinepin.systems.exceptions import NoTargetError
from clementinepin.tables import ShardRow, ShardState, set_bits
from standins.key_value import MemoryKeyValueStore
from tests.batch.fakes import (
    ACCOUNT,
    ENDPOINT,
    FakeEngine,
    Node,
    build_input,
    build_line,
    read_results,
    wait_for,
)


@pytest.fixture
def key_value(clock):
    return MemoryKeyValueStore(clock)


@pytest.fixture
def node(clock, key_value):
    node = Node(clock, key_value)
    yield node
    node.kill()


def submit(node, count, key="k1", due_s=3600.0):
    file = node.batch.store_file(ACCOUNT, "in.jsonl", "batch", [build_input(count)])
    due_at = node.core.clock.wall() + due_s
    return node.batch.submit(ACCOUNT, key, file.file_id, ENDPOINT, due_at)


def is_ended(node, job):
    return node.batch.describe(ACCOUNT, job.job_id).ended_at is not None


def test_job_completes_with_results_in_order(node):
    job = submit(node, 40)
    assert (job.state, job.items_total) == ("in_progress", 40)
    node.start()
    wait_for(lambda: is_ended(node, job))
    status = node.batch.describe(ACCOUNT, job.job_id)
    assert (status.state, status.items_completed, status.items_failed) == ("completed", 40, 0)
    results = read_results(node.batch, job.job_id)
    assert [r["custom_id"] for r in results] == [f"c{n}" for n in range(40)]
    assert results[7]["response"]["body"]["choices"][0]["text"] == "re:p7"
    assert node.engine.runs.total() == 40


def test_jobs_are_listed_newest_first_and_page_by_page(node, clock):
    """Mutation: ignore ``bound`` in ``list_account``; each page then repeats the first."""
    ids = []
    for number in range(5):
        clock.advance(float(number % 2))
        ids.append(submit(node, 1, key=f"k{number}").job_id)
    pages, after = [], ""
    for _ in range(3):
        page = [row.job_id for row in node.batch.list_jobs(ACCOUNT, limit=2, after=after)]
        pages.append(page)
        after = page[-1]
    assert [len(page) for page in pages] == [2, 2, 1]
    assert sorted(job for page in pages for job in page) == sorted(ids)
    assert pages[0][0] in ids[3:]


def test_repeated_submit_returns_the_same_job_and_another_body_conflicts(node):
    first = submit(node, 3)
    assert submit(node, 3).job_id == first.job_id
    assert len(node.batch.list_jobs(ACCOUNT)) == 1
    with pytest.raises(JobConflictError):
        submit(node, 4)


@pytest.mark.parametrize(
    ("line", "error"),
    [
        (b"{", InvalidLineError),
        (b"\xff\xfe", InvalidLineError),
        (b"", InvalidLineError),
        (build_line(1, method="GET"), InvalidLineError),
        (build_line(1, url="/v1/other"), InvalidLineError),
        (build_line(1, custom_id=""), InvalidLineError),
        (build_line(1, body={}), InvalidLineError),
        (build_line(0), DuplicateCustomIdError),
        (b"[" * 100_000, InvalidLineError),
        (b'"' + b"x" * 1_000_001, InvalidLineError),
    ],
)
def test_bad_line_is_reported_by_number_and_nothing_is_stored(node, key_value, line, error):
    with pytest.raises(error) as caught:
        node.batch.store_file(ACCOUNT, "f", "batch", [build_line(0), b"\n" + line + b"\n"])
    assert caught.value.line == 2
    assert key_value.list_range("files/") == []


def test_unknown_model_and_empty_file_are_rejected(node):
    with pytest.raises(UnknownModelError):
        node.batch.store_file(ACCOUNT, "f", "batch", [build_line(0, model="none")])
    with pytest.raises(InvalidBatchError):
        node.batch.store_file(ACCOUNT, "f", "batch", [])


def test_job_of_a_model_that_is_no_longer_configured_ends_when_due(node, clock):
    """Mutation: no slots for applications that are not configured; the job then never ends."""
    job = submit(node, 20, due_s=50.0)
    node.core.configuration.applications.clear()
    node.start()
    wait_for(lambda: node.batch._keeper.owned)

    def ended():
        clock.advance(1.0)
        return is_ended(node, job)

    wait_for(ended)
    assert node.batch.describe(ACCOUNT, job.job_id).items_failed == 20
    assert clock.wall() >= job.due_at


def test_upload_without_a_configuration_fails_as_not_run(node):
    node.core.configuration = None
    with pytest.raises(BatchUnavailableError) as caught:
        node.batch.store_file(ACCOUNT, "f", "batch", [build_input(1)])
    assert caught.value.outcome is Outcome.NOT_RUN
    assert caught.value.retry_at is not None


def test_file_of_another_account_is_not_found(node):
    file = node.batch.store_file(ACCOUNT, "f", "other", [b"abc"])
    assert b"".join(node.batch.read_file(ACCOUNT, file.file_id)) == b"abc"
    with pytest.raises(FileNotFoundInAccountError):
        node.batch.describe_file("other", file.file_id)
    with pytest.raises(JobNotFoundError):
        node.batch.describe("other", "batch_0")


def test_cancelled_job_stops_and_keeps_committed_results(clock, key_value):
    node = Node(clock, key_value, engine=FakeEngine(pause_s=0.01), slots=2)
    job = submit(node, 400)
    node.start()
    wait_for(lambda: node.batch.describe(ACCOUNT, job.job_id).items_completed > 0)
    assert node.batch.cancel(ACCOUNT, job.job_id).state == "cancelling"

    def ended():
        clock.advance(1.0)
        return is_ended(node, job)

    wait_for(ended)
    status = node.batch.describe(ACCOUNT, job.job_id)
    results = read_results(node.batch, job.job_id)
    assert status.state == "cancelled"
    assert len(results) == status.items_completed < 400
    wait_for(lambda: not node.scheduler.placements)
    runs = node.engine.runs.total()
    wait_for(lambda: not node.batch._active.jobs)
    assert node.engine.runs.total() == runs
    node.kill()


def test_shards_of_an_instance_without_slots_move_to_another(clock, key_value, node):
    """Mutation: leave out ``_release_starved``; the owner then renews its shards forever."""
    job = submit(node, 3)
    node.scheduler.rejection = NoTargetError()
    node.start()
    wait_for(lambda: node.batch._keeper.owned)
    wait_for(lambda: not any(o.running for o in node.batch._keeper.owned.values()))
    node.scheduler.slots = 0
    other = Node(clock, key_value, name="i2", seed=2)
    for _ in range(20):
        clock.advance(1.0)
        gevent.sleep(0.06)
    assert not node.batch._keeper.owned
    other.start()
    wait_for(lambda: is_ended(other, job))
    assert [r["custom_id"] for r in read_results(other.batch, job.job_id)] == ["c0", "c1", "c2"]
    other.kill()


def build_instance(name):
    return ListedInstance(name, "clementinepin", "127.0.0.1", 80, 81, "dc1", "r1", "live")


def test_shards_of_a_lost_instance_are_claimed_as_soon_as_it_is_gone(clock, key_value):
    """Mutation: ``forget_holders`` finds no shard; the claim then waits until the lease expires."""
    lost = Node(clock, key_value, engine=FakeEngine(pause_s=60.0))
    job = submit(lost, 3)
    lost.start()
    wait_for(lambda: lost.batch._keeper.owned)
    other = Node(clock, key_value, name="i2", seed=2)
    other.core.publish(InstancesChanged((build_instance("i1"), build_instance("i2"))))
    other.start()
    wait_for(lambda: any(held.holders for held in other.batch._active.jobs.values()))
    lost.kill()
    other.core.publish(InstancesChanged((build_instance("i2"),)))
    wait_for(lambda: is_ended(other, job))
    assert [r["custom_id"] for r in read_results(other.batch, job.job_id)] == ["c0", "c1", "c2"]
    other.kill()


def test_progress_that_the_closer_writes_reaches_the_active_job(node):
    """Mutation: don't connect ``on_progress``: estimates use the progress of the last check."""
    job = submit(node, 40)
    active = node.batch._active.jobs[job.job_id]
    row = active.row._replace(shards=2)
    sealed = ShardRow(1, "i1", 0.0, 30, state=ShardState.COMPLETE, done=set_bits(b"", range(30)))
    node.batch._closer.record_sealed(row, 0, sealed._replace(failed=2))
    assert (active.progress.completed, active.progress.failed) == (28, 2)
    assert active.items_left == 10
