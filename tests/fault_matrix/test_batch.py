"""Fault matrix of batch jobs.

Mutations that it catches: no version in the write of a shard; a claim that runs all items
again; no seal of a cancelled job's shards; no look at the job behind a claim; a truncated
stream taken for a whole one; no resume behind what was delivered; sealed shards not noted; a
lapsed lease never taken over; unbounded attempts; a cancel mark not written; a job id that
differs for a resend; no release on a clean stop; one copy in place of three; a refusal as not run
behind an acceptance or a cancel mark that stands.
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
from tests.fault_matrix.cluster import FAULTS, ITEMS, POISON, STEPS, Cluster

scenarios("batch.feature")


@pytest.fixture(autouse=True)
def _quiet():
    """Wait in virtual time only, and keep the failures of lost instances out of the output."""
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


@given_step(parsers.parse('a cluster that meets "{fault}" at "{step}"'), target_fixture="cluster")
def create_cluster(clock, fault, step):
    return Cluster(clock, [(step, fault)], with_files=fault == "disk lost")


@when("a client submits a job until it is accepted")
def submit_job(cluster, context):
    context["job_id"] = cluster.submit().job_id


@when("a client cancels the job once it has a result")
def cancel_job(cluster, context):
    job_id = context["job_id"]
    cluster.advance_until(lambda: any(r.commits for r in cluster.list_shards(job_id).values()))
    cluster.cancel(job_id)


@when("the cluster runs until the job has ended")
def run_to_the_end(cluster, context):
    job_id = context["job_id"]
    cluster.advance_until(lambda: cluster.read_job(job_id).ended)
    assert not cluster.plan, "a step was never reached"
    cluster.advance_until(lambda: all(g.ready() for g in cluster.extra))
    assert not any(owner.startswith(cluster.struck[0].name) for owner in cluster.left)


@then("the job is completed with one result an item")
def check_completed(cluster, context):
    check_whole(cluster, context["job_id"])


def check_whole(cluster, job_id):
    """A completed job has one result an item, each its own."""
    status = cluster.describe(job_id)
    poisoned = int(cluster.poisoned)
    assert status.state == "completed"
    assert status.items_completed + status.items_failed == ITEMS
    assert status.items_failed <= poisoned
    results = cluster.read_results(job_id)
    assert [r["custom_id"] for r in results] == [f"c{n}" for n in range(ITEMS)]
    check_answers(results)


@then("the job is cancelled with at most one result an item")
def check_cancelled(cluster, context):
    check_stopped(cluster, context["job_id"])


def check_stopped(cluster, job_id):
    """A cancelled job has at most one result an item, and all shards are sealed."""
    status = cluster.describe(job_id)
    assert status.state == "cancelled"
    results = cluster.read_results(job_id)
    assert len(results) == status.items_completed + status.items_failed
    assert max(Counter(r["custom_id"] for r in results).values()) == 1
    assert all(row.sealed for row in cluster.list_shards(job_id).values())
    check_answers(results)


@then("nothing changes any more")
def check_quiet(cluster, context):
    check_unchanged(cluster, context["job_id"])


def check_unchanged(cluster, job_id):
    """After its end no item of a job runs and no record changes."""
    cluster.advance(10)
    before = cluster.list_shards(job_id)
    runs = sum(node.target.runs.total() for node in cluster.nodes)
    cluster.advance(200)
    assert cluster.list_shards(job_id) == before
    assert sum(node.target.runs.total() for node in cluster.nodes) == runs
    assert cluster.state.list_range("active/", "active0", 0) == []
    for row in before.values():
        assert sum(commit.items for commit in row.commits) == count_bits(row.done)
    accepted = [g.value.job_id for g in cluster.extra if hasattr(g.value, "job_id")]
    assert set(accepted) <= {job_id}


def check_answers(results):
    """Each answer is its own item's and whole, or the poison's typed error."""
    for result in results:
        prompt = "p" + result["custom_id"][1:]
        if result["error"] is not None:
            assert prompt == POISON
            assert result["error"]["code"] == "attempts_exhausted"
            continue
        assert result["response"]["body"]["choices"][0]["text"] == "re:" + prompt


PAIRS = st.lists(
    st.tuples(st.sampled_from(STEPS), st.sampled_from(FAULTS)), min_size=2, max_size=3, unique=True
)


@settings(max_examples=60)
@given(plan=PAIRS, cancel=st.booleans())
def test_faults_that_meet(plan, cancel):
    """Two or three faults in one job's life; a step may stay unreached."""
    files = any(fault == "disk lost" for _, fault in plan)
    cluster = Cluster(ManualClock(), plan, with_files=files)
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
    cluster.advance_until(lambda: all(g.ready() for g in cluster.extra))
    if cluster.read_job(job_id).state == JobState.CANCELLED:
        check_stopped(cluster, job_id)
    else:
        check_whole(cluster, job_id)
    check_unchanged(cluster, job_id)
