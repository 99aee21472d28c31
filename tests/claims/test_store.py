from __future__ import annotations

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinepin.claims import StoredOutcome
from clementinepin.claims.const import HEAD_MAX_BYTES, PREFIX_CLAIM_LOGS
from clementinepin.claims.exceptions import ClaimMismatchError, ClaimUnavailableError
from clementinepin.exceptions import ClementinepinError, OutcomeUnknownError
from clementinepin.infrastructure.exceptions import PlatformUnavailableError, ReplyLostError
from tests.claims.conftest import Network

SUCCESS = StoredOutcome("success", 200, "text/plain", b"booked")
NOT_RUN = StoredOutcome("not_run", 503, "application/json", b"{}")


def run(network, *calls):
    greenlets = [gevent.spawn(call) for call in calls]
    network.time.run(greenlets)
    return [g.value if g.successful() else g.exception for g in greenlets]


def claim(network, name, key="k", digest="d", wait_s=5.0):
    return lambda: network.claims[name].claim(
        "desk", key, digest, deadline=network.clock.now + wait_s
    )


def settle(network, name, fresh_claim, outcome=SUCCESS):
    return lambda: network.claims[name].settle(fresh_claim, outcome)


def test_a_resend_joins_the_running_call_and_gets_its_outcome(make_network):
    network = make_network("a", "b", "c")
    (fresh_claim,) = run(network, claim(network, "a"))
    assert fresh_claim.fresh

    def finish():
        network.time.sleep(1.0)
        network.claims["a"].settle(fresh_claim, SUCCESS)

    joined, _ = run(network, claim(network, "b"), finish)
    assert not joined.fresh
    assert joined.stored == SUCCESS


def test_a_different_request_with_the_same_key_is_a_mismatch(make_network):
    network = make_network("a", "b")
    run(network, claim(network, "a"))
    (error,) = run(network, claim(network, "b", digest="other"))
    assert isinstance(error, ClaimMismatchError)


def test_a_not_run_outcome_frees_the_key(make_network):
    network = make_network("a", "b")
    (fresh_claim,) = run(network, claim(network, "a"))
    run(network, settle(network, "a", fresh_claim, NOT_RUN))
    (again,) = run(network, claim(network, "b"))
    assert again.fresh


def test_a_running_claim_of_a_lost_instance_has_an_unknown_outcome(make_network):
    network = make_network("a", "b")
    run(network, claim(network, "a"))
    network.live.discard("a")
    (error,) = run(network, claim(network, "b"))
    assert isinstance(error, OutcomeUnknownError)


def test_stop_waits_until_pending_outcomes_are_stored(make_network):
    """A call resent to another instance finds the outcome of a call that ended during the stop.

    Mutation: return from ``stop`` at once.
    """
    network = make_network("a", "b")
    (fresh_claim,) = run(network, claim(network, "a"))
    network.stores["a"].down = network.stores["b"].down = True
    settling = gevent.spawn(settle(network, "a", fresh_claim))
    stopping = gevent.spawn(network.claims["a"].stop, network.clock.now + 30.0)

    def restore():
        network.time.sleep(3.0)
        assert not stopping.dead
        network.stores["a"].down = network.stores["b"].down = False

    network.time.run([gevent.spawn(restore), settling, stopping])
    network.live.discard("a")
    (joined,) = run(network, claim(network, "b"))
    assert joined.stored == SUCCESS


def test_a_resend_that_saw_the_call_running_never_gets_not_run(make_network):
    """The outcome is unknown if the store fails while a resent call waits for it.

    Mutation: ``_call_owner_until`` considers only the last reply.
    """
    network = make_network("a", "b")
    run(network, claim(network, "a"))

    def fail():
        network.time.sleep(3.0)
        network.stores["a"].down = network.stores["b"].down = True

    error, _ = run(network, claim(network, "b", wait_s=8.0), fail)
    assert isinstance(error, OutcomeUnknownError)


def test_a_claim_during_a_store_outage_fails_as_not_run(make_network):
    network = make_network("a")
    network.stores["a"].down = True
    (error,) = run(network, claim(network, "a"))
    assert isinstance(error, ClaimUnavailableError)


def test_a_large_body_is_stored_under_its_own_key_and_read_back(make_network):
    network = make_network("a", "b")
    large = SUCCESS._replace(body=b"x" * 50_000)
    (fresh_claim,) = run(network, claim(network, "a"))
    run(network, settle(network, "a", fresh_claim, large))
    (joined,) = run(network, claim(network, "b"))
    assert joined.stored == large


def test_an_unreadable_stored_body_gives_an_unknown_outcome(make_network):
    """A resent call whose first run ended never gets ``not_run``.

    Mutation: let PlatformUnavailableError through ``_read_body``.
    """
    network = make_network("a", "b")
    (fresh_claim,) = run(network, claim(network, "a"))
    run(network, settle(network, "a", fresh_claim, SUCCESS._replace(body=b"x" * 50_000)))
    owner = "a" if network.claims["a"]._partitions else "b"
    caller = "b" if owner == "a" else "a"
    network.stores[caller].down = True
    (error,) = run(network, claim(network, caller))
    assert isinstance(error, OutcomeUnknownError)


def test_old_rows_move_to_logs_and_their_keys_stay_claimed(make_network):
    network = make_network("a", "b")
    body = SUCCESS._replace(body=b"y" * 1_000)
    keys = [f"k{i}" for i in range(700)]
    for key in keys:
        (fresh_claim,) = run(network, claim(network, "a", key=key))
        run(network, settle(network, "a", fresh_claim, body))
    logs = network.state.list_range(PREFIX_CLAIM_LOGS, PREFIX_CLAIM_LOGS + "~", 0)
    assert logs
    heads = network.state.list_range("claims/", "claims/~", 0)
    assert max(len(row.value) for row in heads) <= HEAD_MAX_BYTES
    network.claims["b"]._partitions.clear()
    network.live.discard("a")
    (joined,) = run(network, claim(network, "b", key=keys[0]))
    assert joined.stored == body


def test_a_missing_log_fails_claims_and_frees_no_key(make_network):
    """A key is not granted again if its row can't be read.

    Mutation: ``_read_log`` returns no rows for a missing log.
    """
    network = make_network("a", "b")
    body = SUCCESS._replace(body=b"y" * 1_000)
    for i in range(700):
        (fresh_claim,) = run(network, claim(network, "a", key=f"k{i}"))
        run(network, settle(network, "a", fresh_claim, body))
    for row in network.state.list_range(PREFIX_CLAIM_LOGS, PREFIX_CLAIM_LOGS + "~", 0):
        network.state.delete(row.key, None)
    network.live.discard("a")
    (error,) = run(network, claim(network, "b", key="k0"))
    assert isinstance(error, ClaimUnavailableError)


class LossHook:
    """Store hook that loses writes before or after they take effect, as ``plan`` lists."""

    def __init__(self, plan):
        self.plan = list(plan)

    def before(self, call, key):
        if call == "put" and self.plan and self.plan[0] == "before":
            self.plan.pop(0)
            raise PlatformUnavailableError(key)

    def after(self, call, key):
        if call != "put" or not self.plan:
            return
        if self.plan.pop(0) == "after":
            raise ReplyLostError(key)


LOSSES = st.lists(st.sampled_from(["", "before", "after"]), max_size=12)
SENDS = st.lists(
    st.tuples(
        st.sampled_from("abc"),
        st.sampled_from([0.0, 0.1, 1.0, 3.0]),
        st.sampled_from(["ok", "die", "free"]),
    ),
    min_size=2,
    max_size=6,
)


@given(sends=SENDS, peer_losses=LOSSES, write_losses=LOSSES, partitioned=st.booleans())
def test_a_key_runs_at_most_once_whichever_messages_and_writes_are_lost(
    sends, peer_losses, write_losses, partitioned
):
    """A key is granted at most once between two ``not_run`` outcomes.

    That holds with two owners of a partition and with lost messages and writes.

    Mutations: ``_swap_head`` writes with ``expected=None``; ``decide_claim`` returns GRANT if the
    claimant is not live.
    """
    network = Network(("a", "b", "c"))
    network.losses = list(peer_losses)
    for store in network.stores.values():
        store.hook = LossHook(write_losses)
        store.delay_s = 0.05
    if partitioned:
        network.view = {"a": {"a"}, "b": {"b", "c"}, "c": {"b", "c"}}
    runs = []

    def send(name, delay_s, end):
        network.time.sleep(delay_s)
        try:
            result = claim(network, name, wait_s=4.0)()
        except ClementinepinError:
            return
        if not result.fresh or end == "free":
            if result.fresh:
                network.claims[name].settle(result, NOT_RUN)
            return
        runs.append(name)
        network.time.sleep(0.5)
        if end == "ok":
            network.claims[name].settle(result, SUCCESS)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(gevent, "sleep", network.time.sleep)
        network.time.run([gevent.spawn(send, *plan) for plan in sends])
    assert len(runs) <= 1
