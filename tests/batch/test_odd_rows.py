from __future__ import annotations

import msgspec
import pytest

from clementinepin.batch import _service as service
from clementinepin.batch._codec import (
    PREFIX_ACTIVE,
    key_active,
    key_job,
    key_progress,
    key_shard,
    prefix_shards,
)
from clementinepin.batch._jobs import JOB_RETENTION_S
from clementinepin.batch._retention import GRACE_S
from clementinepin.batch._uploads import FILE_RETENTION_S
from clementinepin.const import PREFIX_FILES
from clementinepin.helpers.rows import RowUnreadableError, encode_row
from standins.key_value import MemoryKeyValueStore
from tests.batch.fakes import ACCOUNT, Node, read_results, wait_for
from tests.batch.test_retention import sweep
from tests.batch.test_service import is_ended, submit

DEEP = b"\x91" * 100_000
ODD_VALUES = [DEEP, b"", b"\xff", msgspec.msgpack.encode({"job_id": 7})]


@pytest.fixture
def key_value(clock):
    return MemoryKeyValueStore(clock)


@pytest.fixture
def node(clock, key_value, monkeypatch):
    monkeypatch.setattr(service, "JOB_CHECK_PERIOD_S", 0.01)
    monkeypatch.setattr(service, "CANCEL_CHECK_PERIOD_S", 0.01)
    node = Node(clock, key_value)
    yield node
    node.kill()


def _wait_for(node, check):
    """Wait in virtual time."""

    def advance_and_check():
        node.core.clock.advance(0.05)
        return check()

    wait_for(advance_and_check)


def _put_odd_jobs(node, key_value):
    """Add index entries that can't be decoded, and some that can but make no sense."""
    for n, value in enumerate(ODD_VALUES):
        key_value.put(f"{PREFIX_ACTIVE}a{n}", value, expected=0)
    job = submit(node, 1, key="model")
    row = node.batch._jobs.load(ACCOUNT, job.job_id).row
    key_value.delete(key_active(job.job_id), expected=None)
    changes = [
        {"shards": 0},
        {"shards": -1},
        {"shards": 2**62, "items": 2**62},
        {"plan": "missing"},
        {"plan": ""},
        {"due_at": -1e300, "created_at": 1e300},
        {"due_at": float("inf")},
    ]
    for n, change in enumerate(changes):
        odd = row._replace(**{"job_id": f"batch_0{n}", "due_at": 0.0, **change})
        key_value.put(key_active(odd.job_id), encode_row(odd), expected=0)


# One odd entry of the index ended the greenlet that follows it, or the step that claims shards, so
# that no other job ran on any instance.
def test_odd_entries_of_the_index_do_not_stop_other_jobs(node, key_value):
    _put_odd_jobs(node, key_value)
    node.start()
    job = submit(node, 40)
    _wait_for(node, lambda: is_ended(node, job))
    assert len(read_results(node.batch, job.job_id)) == 40


def test_odd_shard_record_does_not_stop_the_other_shards(node, key_value):
    job = submit(node, 40)
    key_value.put(key_shard(job.job_id, 1), DEEP, expected=0)
    key_value.put(prefix_shards(job.job_id) + "x", DEEP, expected=0)
    node.start()
    _wait_for(node, lambda: len(node.engine.finished) == 24)
    _wait_for(node, lambda: node.batch.describe(ACCOUNT, job.job_id).items_completed == 24)
    with pytest.raises(RowUnreadableError):
        read_results(node.batch, job.job_id)
    node.batch.cancel(ACCOUNT, job.job_id)
    _wait_for(node, lambda: is_ended(node, job))


def test_odd_key_among_the_shards_is_no_shard(node, key_value):
    job = submit(node, 20)
    for name in ("x", "²", "9" * 5000):
        key_value.put(prefix_shards(job.job_id) + name, DEEP, expected=0)
    node.start()
    _wait_for(node, lambda: is_ended(node, job))
    assert len(read_results(node.batch, job.job_id)) == 20


# The queue of sealed shards stopped at the job whose progress could not be decoded.
def test_odd_progress_is_counted_anew(node, key_value):
    job = submit(node, 40)
    key_value.put(key_progress(job.job_id), DEEP, expected=0)
    node.start()
    _wait_for(node, lambda: is_ended(node, job))
    assert node.batch.describe(ACCOUNT, job.job_id).items_completed == 40


def test_odd_job_record_does_not_hide_the_others_of_the_account(node, key_value):
    job = submit(node, 1)
    for n, value in enumerate(ODD_VALUES):
        key_value.put(key_job(ACCOUNT, f"odd{n}"), value, expected=0)
    assert [row.job_id for row in node.batch.list_jobs(ACCOUNT)] == [job.job_id]
    with pytest.raises(RowUnreadableError):
        node.batch.describe(ACCOUNT, "odd0")


# Retention stopped for good at the first record that it could not decode, and with it the check
# that ends cancelled jobs.
def test_odd_records_do_not_stop_retention(node, clock, key_value):
    key_value.put(key_job(ACCOUNT, "00"), DEEP, expected=0)
    key_value.put(f"{PREFIX_FILES}{ACCOUNT}/00", DEEP, expected=0)
    job = submit(node, 20, due_s=0.0)
    node.start()
    _wait_for(node, lambda: is_ended(node, job))
    node.kill()
    clock.advance(max(JOB_RETENTION_S, FILE_RETENTION_S) + GRACE_S)
    sweep(node, clock)
    assert [row.key for row in key_value.list_range(PREFIX_FILES)] == [
        f"{PREFIX_FILES}{ACCOUNT}/00"
    ]
    assert key_value.list_range(prefix_shards(job.job_id)) == []
