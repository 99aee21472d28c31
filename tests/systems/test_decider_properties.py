"""Properties of the decider for any order of calls, results and time.

Each docstring names a change of the code that makes the test fail.
"""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from clementinepin.exceptions import NotRunError
from clementinepin.scheduling import CallResult
from clementinepin.systems.actions import Grant, Preempt, Refuse
from clementinepin.systems.routing import is_online
from tests.scheduling.fakes import build_account, build_call
from tests.systems.harness import START, build_decider, build_demand

ACCOUNTS = (build_account("a", concurrency=3), build_account("b", requests=2.0))
SLOTS = 4


class DeciderMachine(RuleBasedStateMachine):
    """Calls arrive, run, end and time out at one of two live instances."""

    def __init__(self):
        super().__init__()
        self.now = START
        self.decider = build_decider(live=("e1", "e2"), slots=SLOTS, accounts=ACCOUNTS)
        self.owned = self.decider.tables.owned
        self.submitted = {}
        self.granted = {}
        self.refused = set()
        self.rejected = set()
        self.running = set()
        self.retry_times = []
        self.others = {}

    def carry_out(self):
        for action in self.decider.tick(self.now, self.now):
            if isinstance(action, Grant):
                assert action.waiting_id not in self.granted
                self.granted[action.waiting_id] = action.ticket
                self.running.add(action.ticket)
            elif isinstance(action, Refuse):
                assert isinstance(action.error, NotRunError)
                self.refused.add(action.waiting_id)
            elif isinstance(action, Preempt):
                assert action.ticket in self.running

    @rule(
        account=st.sampled_from(("a", "b", "unlimited")),
        priority=st.sampled_from(("online", "batch")),
        patience=st.floats(0.01, 5.0),
        tried=st.sampled_from(((), ("t1",), ("t1", "t2"))),
    )
    def submit(self, account, priority, patience, tried):
        name = f"r{len(self.submitted) + len(self.rejected)}"
        call = build_call(name, account, priority, self.now + patience, tried=tried)
        try:
            row = self.decider.submit(call, self.now, self.now)
        except NotRunError as err:
            self.retry_times.append((self.now, err.retry_at))
            self.rejected.add(name)
            return
        self.submitted[row.waiting_id] = name
        self.carry_out()

    @rule(data=st.data(), result=st.sampled_from(list(CallResult)))
    def finish(self, data, result):
        if not self.running:
            return
        ticket = data.draw(st.sampled_from(sorted(self.running)))
        self.running.discard(ticket)
        self.decider.finish(ticket, result, self.now, self.now)
        self.carry_out()

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        self.now += seconds
        self.carry_out()

    @rule(name=st.sampled_from(("t1", "t2")), online=st.integers(0, 6))
    def receive_report(self, name, online):
        self.others[name] = (online, self.now + 2.0)
        self.decider.receive_demand("e2", name, build_demand(online, self.now))
        self.carry_out()

    @invariant()
    def refused_calls_never_ran(self):
        """Fails when `_refuse` leaves a call in its queue."""
        assert not self.refused & set(self.granted)

    @invariant()
    def refusals_have_a_retry_time_in_the_future_or_none(self):
        """Fails when `admit_rate` returns the time of the last arrival."""
        assert all(at is None or at >= refused_at for refused_at, at in self.retry_times)

    @invariant()
    def every_call_is_waiting_running_or_ended(self):
        """Fails when `grant` does not remove the call from its queue."""
        tables = self.decider.tables
        waiting = {row.waiting_id for queue in (tables.online, tables.batch) for row in queue}
        assert waiting == set(self.submitted) - set(self.granted) - self.refused
        assert self.running == {row.ticket for row in tables.calls}

    @invariant()
    def counts_match_the_calls_in_flight(self):
        """Fails when `_release_slot` does not free a batch slot."""
        for row in self.decider.tables.targets:
            calls = self.decider.tables.calls.list_target(row.name)
            assert row.online == sum(is_online(call.call) for call in calls)
            assert row.batch == len(calls) - row.online

    @invariant()
    def batch_is_preempted_within_one_tick(self):
        """Fails when `choose_victims` keeps one call more than the allowance."""
        for row in self.decider.tables.targets:
            calls = self.decider.tables.calls.list_target(row.name)
            kept = sum(not is_online(c.call) and not c.preempting and not c.alone for c in calls)
            if row.name not in self.owned:
                assert kept == 0
                continue
            online, until = self.others.get(row.name, (0, 0.0))
            others = online if until > self.now else 0
            assert kept <= max(0, SLOTS - row.online - others)


DeciderMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestDecider = DeciderMachine.TestCase


@settings(max_examples=40)
@given(
    weights=st.tuples(st.sampled_from((1.0, 2.0, 4.0)), st.sampled_from((1.0, 2.0, 4.0))),
    order=st.permutations(["a"] * 12 + ["b"] * 12),
    priority=st.sampled_from(("online", "batch")),
)
def test_backlogged_accounts_share_by_weight(weights, order, priority):
    """Start-time fair queueing bounds the difference of normalized service by one call each.

    Fails when `order_waiting` sorts only by arrival.
    """
    accounts = tuple(build_account(n, weight=w) for n, w in zip("ab", weights, strict=True))
    decider = build_decider(targets=("t1",), slots=1, accounts=accounts)
    decider.submit(build_call("first", "c", "online"), START, START)
    (first,) = [a for a in decider.tick(START, START) if isinstance(a, Grant)]
    names = {}
    for i, account in enumerate(order):
        row = decider.submit(build_call(f"{account}{i}", account, priority), START, START)
        names[row.waiting_id] = account
    now, ticket = START, first.ticket
    served = dict.fromkeys("ab", 0)
    while min(served.values()) < 12 and max(served.values()) < 12:
        decider.finish(ticket, CallResult.SUCCESS, now, now)
        now += 10.0
        (grant,) = [a for a in decider.tick(now, now) if isinstance(a, Grant)]
        ticket = grant.ticket
        served[names[grant.waiting_id]] += 1
        normal = [served[n] / w for n, w in zip("ab", weights, strict=True)]
        assert abs(normal[0] - normal[1]) <= sum(1.0 / w for w in weights)


def test_account_is_limited_to_its_share_and_blocks_no_other():
    """Fails when `has_concurrency` compares with the whole limit instead of the share."""
    decider = build_decider(live=("e1", "e2"), slots=16, accounts=ACCOUNTS)
    names = {}
    for name in ("a", "a", "a", "a", "c"):
        row = decider.submit(build_call(f"{name}{len(names)}", name), START, START)
        names[row.waiting_id] = name
    granted = [names[a.waiting_id] for a in decider.tick(START, START) if isinstance(a, Grant)]
    assert sorted(granted) == ["a", "a", "c"]


def test_large_job_delays_a_small_one_by_at_most_one_item():
    """Fails when a new account starts after all waiting calls instead of at the virtual time."""
    decider = build_decider(targets=("t1",), slots=1)
    names = {}
    for i in range(500):
        row = decider.submit(build_call(f"a{i}", "a", "batch"), START, START)
        names[row.waiting_id] = "a"
    (running,) = [a for a in decider.tick(START, START) if isinstance(a, Grant)]
    row = decider.submit(build_call("b", "b", "batch"), START, START)
    names[row.waiting_id] = "b"
    served = []
    for _ in range(2):
        decider.finish(running.ticket, CallResult.SUCCESS, START, START)
        (running,) = [a for a in decider.tick(START, START) if isinstance(a, Grant)]
        served.append(names[running.waiting_id])
    assert "b" in served
