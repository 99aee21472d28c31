"""Calls while only some targets have loaded the model."""

from __future__ import annotations

import pytest

from clementinepin.scheduling import CallResult
from clementinepin.systems.actions import Grant
from clementinepin.systems.routing import MODEL_RETRY_S
from tests.scheduling.fakes import SERVICE, build_call, build_report, build_target
from tests.systems.harness import START, build_decider

TARGETS = ("t1", "t2", "t3", "t4", "t5")
CALLS = 40
POLL_S = 0.1
RUN_S = 0.05
SENDS_MAX = 2 * len(TARGETS)


def build_unreported_decider():
    decider = build_decider(targets=TARGETS, slots=8)
    for name in TARGETS:
        decider.tables.targets.update(name, report=None)
    return decider


def run_call(decider, name, now, loaded=(), result=CallResult.REFUSED_NOT_LOADED, **changes):
    """Run a call from its admission to its end, as the entry does.

    Targets that are not in ``loaded`` refuse it with ``result``. Return the names of the targets
    that it was sent to, and whether it failed for lack of a retry.
    """
    call = build_call(name, **changes)
    waiting = decider.submit(call, now, now)
    sent = []
    while grants := [a for a in decider.tick(now, now) if isinstance(a, Grant)]:
        assert len(sent) < SENDS_MAX
        sent.append(grants[0].target)
        if sent[-1] in loaded:
            decider.finish(grants[0].ticket, CallResult.SUCCESS, now + RUN_S, now + RUN_S)
            return sent, False
        decider.finish(grants[0].ticket, result, now, now)
        retry_at = decider.plan_retry(call, result, now, now)
        if retry_at is None:
            return sent, True
        waiting = decider.submit(call, now, now)
    decider.withdraw(waiting.waiting_id)
    return sent, False


def test_polling_calls_before_the_model_is_loaded_leave_the_retry_budget_to_others():
    """Mutation: charge REFUSED_NOT_LOADED to the retry budget: a later call is denied a retry."""
    decider = build_unreported_decider()
    for i in range(CALLS):
        _, denied = run_call(decider, f"r{i}", START + i * POLL_S)
        assert not denied
    assert decider.tables.retries.get(SERVICE).retries == 0
    full = decider.plan_retry(build_call("later"), CallResult.REFUSED, START + 10, START + 10)
    assert full is not None


def test_refusal_for_a_missing_model_is_knowledge_about_the_target():
    """Mutation: no ``model_refusals``: each call goes to all targets that lack the model."""
    decider = build_unreported_decider()
    sent = [run_call(decider, f"r{i}", START)[0] for i in range(CALLS)]
    assert sorted(sent[0]) == list(TARGETS)
    assert not any(sent[1:])


@pytest.mark.parametrize("full", [False, True])
def test_calls_go_to_the_one_target_that_has_the_model(full):
    """Mutation: fall back to targets that are known to lack the model."""
    decider = build_unreported_decider()
    run_call(decider, "first", START, loaded=("t3",))
    decider.tables.targets.update("t3", report=build_report()._replace(reported_at=START))
    now = START + POLL_S
    if full:
        for i in range(8):
            decider.submit(build_call(f"fill{i}"), now, now)
        assert len([a for a in decider.tick(now, now) if isinstance(a, Grant)]) == 8
    sent, denied = run_call(decider, "next", now, loaded=("t3",))
    assert sent == ([] if full else ["t3"])
    assert not denied


def test_target_is_used_again_once_it_reports_the_model():
    """Mutation: ignore the time of the report."""
    decider = build_unreported_decider()
    run_call(decider, "first", START)
    now = START + POLL_S
    decider.tables.targets.update("t2", report=build_report()._replace(reported_at=now))
    assert run_call(decider, "next", now, loaded=("t2",))[0] == ["t2"]


def test_target_without_reports_is_tried_again_later():
    """Mutation: keep a refusal for good: a target whose reports fail never gets a call."""
    decider = build_unreported_decider()
    run_call(decider, "first", START)
    now = START + MODEL_RETRY_S
    assert run_call(decider, "next", now, loaded=TARGETS)[0]


def test_refusal_after_a_report_excludes_a_target_that_unloaded_the_model():
    """Mutation: check ``model_refusals`` only for targets without a report."""
    decider = build_decider(targets=("t1", "t2"), slots=8)
    sent, _ = run_call(decider, "first", START, loaded=("t2",))
    again, _ = run_call(decider, "next", START + POLL_S, loaded=("t2",))
    assert sent[-1] == "t2"
    assert again == ["t2"]


def test_plain_service_that_refuses_as_not_loaded_is_not_called_again_at_once():
    """Mutation: judge calls with an application only: the call is sent again until its deadline."""
    decider = build_unreported_decider()
    decider.set_targets([build_target(name, service="plain") for name in TARGETS])
    sent, denied = run_call(decider, "first", START, service="plain", application="")
    assert sorted(sent) == list(TARGETS)
    assert not denied
