from __future__ import annotations

import pytest

from clementinepin.batch._jobs import JOB_RETENTION_S
from clementinepin.batch._retention import GRACE_S, PAGE_PERIOD_S, PASS_PERIOD_S
from clementinepin.batch._uploads import FILE_RETENTION_S
from clementinepin.batch.exceptions import JobNotFoundError
from clementinepin.storage._store import KEEP_S
from standins.key_value import MemoryKeyValueStore
from tests.batch.fakes import ACCOUNT, Node, read_results, wait_for
from tests.batch.test_service import is_ended, submit

WINDOW_MAX_S = 30 * 86_400.0


@pytest.fixture
def key_value(clock):
    return MemoryKeyValueStore(clock)


def sweep(node, clock):
    for _ in range(4):
        node.batch._retention.step()
        clock.advance(PASS_PERIOD_S + PAGE_PERIOD_S)


def test_expired_records_are_deleted(clock, key_value):
    """Mutation: delete jobs that have not ended; the second job is then lost."""
    node = Node(clock, key_value)
    job = submit(node, 20, due_s=0.0)
    node.start()
    wait_for(lambda: is_ended(node, job))
    node.kill()
    open_job = submit(node, 20, key="open", due_s=0.0)
    sweep(node, clock)
    assert len(read_results(node.batch, job.job_id)) == 20
    clock.advance(max(JOB_RETENTION_S, FILE_RETENTION_S) + GRACE_S)
    sweep(node, clock)
    with pytest.raises(JobNotFoundError):
        node.batch.describe(ACCOUNT, job.job_id)
    assert node.batch.describe(ACCOUNT, open_job.job_id).items_total == 20
    for prefix in ("files/", "shards/", "progress/"):
        assert key_value.list_range(prefix) == []


def test_segments_outlive_all_records_that_may_refer_to_them():
    """Mutation: ``KEEP_S`` of 50 days; a job on an old file then loses its input."""
    assert FILE_RETENTION_S + WINDOW_MAX_S + JOB_RETENTION_S + GRACE_S < KEEP_S
