"""Fault matrix of batch jobs.

These mutations of the code must make it fail:

- a shard is written without its version;
- a claim runs all items again;
- the shards of a cancelled job are not sealed;
- a claim does not check the job afterwards;
- a truncated stream is treated as a whole one;
- a resumed stream does not continue after the tokens already delivered;
- sealed shards are not recorded;
- a shard with an expired lease is never taken over;
- attempts are unlimited;
- the cancel mark is not written;
- a resent submission gets another job id;
- a clean stop does not release the shards;
- a segment has one copy instead of three;
- a call is rejected as not run although its acceptance or cancel mark is stored.
"""

from __future__ import annotations

from collections import Counter

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger
from pytest_bdd import given as given_step
from pytest_bdd import parsers, scenarios, then, when

from clementinepin.batch import _keeper
from clementinepin.helpers.clock import ManualClock
from clementinepin.tables import JobState, count_bits
from tests.fault_matrix.cluster import FAULTS, ITEMS, POISON_PROMPT, STEPS, Cluster

scenarios("batch.feature")


@pytest.fixture(autouse=True)
def _skip_pauses_and_silence_output():
    """Remove pauses in real time, and silence logs and the tracebacks of lost instances."""
    pauses = _keeper.RELEASE_POLL_S, _keeper.RELEASE_RETRY_S
    _keeper.RELEASE_POLL_S = _keeper.RELEASE_RETRY_S = 0.0
    hub = gevent.get_hub()
    stream, hub.exception_stream = hub.exception_stream, None
    logger.disable("clementinepin")
    yield
    logger.enable("clementinepin")
    hub.exception_stream = stream
    _keeper.RELEASE_POLL_S, _keeper.RELEASE_RETRY_S = pauses


@pytest.fixture
def context():
    return {}


@given_step(
    parsers.parse('a cluster with the fault "{fault}" at the step "{step}"'),
    target_fixture="cluster",
)
def create_cluster(clock, fault, step):
    return Cluster(clock, [(step, fault)], with_disk=fault == "disk lost")


@when("a client submits a job until it is accepted")
def submit_job(cluster, context):
    context["job_id"] = cluster.submit().job_id


@when("a client cancels the job once it has a result")
def cancel_job(cluster, context):
    job_id = context["job_id"]
    cluster.advance_until(lambda: any(r.commits for r in cluster.list_shards(job_id).values()))
    cluster.cancel(job_id)


@when("the cluster runs until the job has ended")
def run_until_ended(cluster, context):
    job_id = context["job_id"]
    cluster.advance_until(lambda: cluster.read_job(job_id).ended)
    assert not cluster.plan, "a planned step was never reached"
    cluster.advance_until(lambda: all(g.ready() for g in cluster.background))
    assert not any(
        owner.startswith(cluster.faulted_nodes[0].name) for owner in cluster.owners_after_stop
    )


@then("the job is completed with one result per item")
def check_completed(cluster, context):
    check_job_completed(cluster, context["job_id"])


def check_job_completed(cluster, job_id):
    """Assert that a completed job has exactly one correct result per item."""
    status = cluster.describe(job_id)
    poisoned = int(cluster.poisoned)
    assert status.state == "completed"
    assert status.items_completed + status.items_failed == ITEMS
    assert status.items_failed <= poisoned
    results = cluster.read_results(job_id)
    assert [r["custom_id"] for r in results] == [f"c{n}" for n in range(ITEMS)]
    check_results(results)


@then("the job is cancelled with at most one result per item")
def check_cancelled(cluster, context):
    check_job_cancelled(cluster, context["job_id"])


def check_job_cancelled(cluster, job_id):
    """Assert that a cancelled job has at most one result per item and sealed shards only."""
    status = cluster.describe(job_id)
    assert status.state == "cancelled"
    results = cluster.read_results(job_id)
    assert len(results) == status.items_completed + status.items_failed
    assert max(Counter(r["custom_id"] for r in results).values()) == 1
    assert all(row.sealed for row in cluster.list_shards(job_id).values())
    check_results(results)


@then("nothing changes afterwards")
def check_nothing_changes(cluster, context):
    check_job_unchanged(cluster, context["job_id"])


def check_job_unchanged(cluster, job_id):
    """Assert that no item runs and no record changes after the end of a job."""
    cluster.advance(10)
    before = cluster.list_shards(job_id)
    runs = sum(node.target.runs.total() for node in cluster.nodes)
    cluster.advance(200)
    assert cluster.list_shards(job_id) == before
    assert sum(node.target.runs.total() for node in cluster.nodes) == runs
    assert cluster.state.list_range("active/", "active0", 0) == []
    for row in before.values():
        assert sum(commit.items for commit in row.commits) == count_bits(row.done)
    accepted = [g.value.job_id for g in cluster.background if hasattr(g.value, "job_id")]
    assert set(accepted) <= {job_id}


def check_results(results):
    """Assert that each result is the whole text of its item, or the error of the poison item."""
    for result in results:
        prompt = "p" + result["custom_id"][1:]
        if result["error"] is not None:
            assert prompt == POISON_PROMPT
            assert result["error"]["code"] == "attempts_exhausted"
            continue
        assert result["response"]["body"]["choices"][0]["text"] == "re:" + prompt


PAIRS = st.lists(
    st.tuples(st.sampled_from(STEPS), st.sampled_from(FAULTS)), min_size=2, max_size=3, unique=True
)


@settings(max_examples=60)
@given(plan=PAIRS, cancel=st.booleans())
def test_job_ends_correctly_under_two_or_three_faults(plan, cancel):
    """Inject two or three faults during one job; a planned step may not be reached."""
    needs_disk = any(fault == "disk lost" for _, fault in plan)
    cluster = Cluster(ManualClock(), plan, with_disk=needs_disk)
    job_id = cluster.submit().job_id
    if cancel:
        cluster.advance_until(
            lambda: (
                any(r.commits for r in cluster.list_shards(job_id).values())
                or cluster.read_job(job_id).ended
            )
        )
        cluster.cancel(job_id)
    cluster.advance_until(lambda: cluster.read_job(job_id).ended)
    cluster.advance_until(lambda: all(g.ready() for g in cluster.background))
    if cluster.read_job(job_id).state == JobState.CANCELLED:
        check_job_cancelled(cluster, job_id)
    else:
        check_job_completed(cluster, job_id)
    check_job_unchanged(cluster, job_id)
