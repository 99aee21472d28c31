"""A request that kills targets and is resent through several schedulers."""

from __future__ import annotations

import random

import gevent
import pytest

from clementinepin.exceptions import NotRunError
from clementinepin.helpers.rendezvous import rank_owners
from clementinepin.scheduling import CallResult
from clementinepin.scheduling._messages import METHOD_ISOLATE
from clementinepin.systems import crash_causes
from clementinepin.systems.actions import Grant
from clementinepin.systems.crash_causes import CRASHES_MAX, SAME_CRASH_S
from clementinepin.systems.exceptions import RequestCondemnedError
from clementinepin.systems.isolation import ISOLATION_MAX_S
from clementinepin.systems.quarantine import TRIAL_TURN_S
from tests.scheduling.fakes import build_call, build_configuration, build_fleet

INSTANCES = tuple(f"e{i}" for i in range(6))
TARGETS = tuple(f"t{i}" for i in range(9))


def send_poison_request(scheduler, lost):
    call = build_call("poison", fingerprint="poison")
    while True:
        try:
            placement = scheduler.acquire(call)
        except NotRunError:
            return
        gevent.sleep(0)
        lost.add(placement.target.name)
        scheduler.finish(placement.ticket, CallResult.LOST)
        if scheduler.allow_retry(call, CallResult.LOST) is None:
            return
        call = call._replace(tried=(*call.tried, placement.target.name))


@pytest.mark.parametrize("seed", range(8))
def test_a_poison_request_kills_two_targets_at_most_when_resent_through_any_instance(seed):
    """Fails with LOSSES_TO_CONDEMN 3, or when `finish` does not broadcast the suspect."""
    rng = random.Random(seed)
    fleet = build_fleet(INSTANCES, TARGETS, build_configuration(slots=12))
    lost = set()
    for _ in range(5):
        gevent.joinall([gevent.spawn(send_poison_request, fleet[rng.choice(INSTANCES)], lost)])
    assert len(lost) == 2


def test_a_poison_request_sent_through_all_instances_at_once_kills_two_targets_at_most():
    """Fails when each instance draws its own pair of candidates."""
    fleet = build_fleet(INSTANCES, TARGETS, build_configuration(slots=12))
    lost = set()
    senders = [gevent.spawn(send_poison_request, scheduler, lost) for scheduler in fleet.values()]
    gevent.joinall(senders, timeout=10)
    assert all(sender.ready() for sender in senders)
    assert len(lost) <= 2


def test_two_suspects_do_not_share_a_target():
    """Fails when `grant_isolation` ignores the fingerprint that holds the target."""
    fleet = build_fleet(("e1",), ("t1",))
    handler = fleet["e1"]._peers.handlers[METHOD_ISOLATE]
    grants = [
        handler("e1", {"target": "t1", "fingerprint": name, "remaining_s": 5.0})["granted"]
        for name in ("f", "g")
    ]
    assert grants == [True, False]


def test_other_suspects_are_cleared_and_only_the_poison_request_is_condemned():
    """Fails when a loss in isolation also counts against the suspects that wait."""
    fleet = build_fleet(("e1", "e2"), TARGETS, build_configuration(slots=12))
    scheduler = fleet["e1"]
    names = ("poison", "good1", "good2")
    for name in names:
        placement = scheduler.acquire(build_call(name, fingerprint=name))
        scheduler.finish(placement.ticket, CallResult.LOST)
    for name in names:
        placement = fleet["e2"].acquire(build_call(name, fingerprint=name))
        result = CallResult.LOST if name == "poison" else CallResult.SUCCESS
        fleet["e2"].finish(placement.ticket, result)
    with pytest.raises(RequestCondemnedError):
        scheduler.acquire(build_call("poison", fingerprint="poison"))
    for name in names[1:]:
        placement = scheduler.acquire(build_call(name, fingerprint=name))
        scheduler.finish(placement.ticket, CallResult.SUCCESS)


def test_a_target_stays_closed_for_a_bounded_time_when_the_release_is_lost():
    """Fails when the remaining time in the message is broadcast without an upper limit."""
    fleet = build_fleet(("e1", "e2"), TARGETS, build_configuration(slots=12))
    first = fleet["e1"].acquire(build_call("x", fingerprint="f"))
    fleet["e1"].finish(first.ticket, CallResult.LOST)
    fleet["e1"].acquire(build_call("x", fingerprint="f", deadline=1e12))
    for scheduler in fleet.values():
        closed = [t["closed_for_s"] for t in scheduler.describe_state()["targets"]]
        assert 0.0 < max(closed) <= ISOLATION_MAX_S


def test_a_suspect_requests_another_target_when_an_owner_does_not_reply(monkeypatch):
    """Fails when `_rank_for_isolation` ignores `no_isolation_until`."""
    fleet = build_fleet(("e1", "e2"), TARGETS, build_configuration(slots=12))
    first = fleet["e1"].acquire(build_call("x", fingerprint="f"))
    fleet["e1"].finish(first.ticket, CallResult.LOST)
    requested = []

    def isolate(target, fingerprint, remaining_s):
        requested.append(target)
        return len(requested) > 1

    monkeypatch.setattr(fleet["e1"]._messenger, "isolate", isolate)
    waiting = gevent.spawn(fleet["e1"].acquire, build_call("x", fingerprint="f"))
    while not waiting.dead:
        gevent.sleep(0.01)
        fleet["e1"]._run_systems()
    assert len(set(requested)) == 2
    assert waiting.get().target.name == requested[1]


def crash_by_part(fleet, count):
    """Send calls that share one part of their prompts; each crashes its target."""
    for number in range(count):
        scheduler = fleet[INSTANCES[number % len(INSTANCES)]]
        call = build_call(f"c{number}", parts=(f"a{number}", "bad"))
        placement = scheduler.acquire(call)
        scheduler.finish(placement.ticket, CallResult.LOST)
        gevent.sleep(2 * SAME_CRASH_S)


def test_calls_that_share_a_crashing_part_are_rejected_at_any_instance():
    """Each such call counted for itself, so that all of them crashed targets, two each."""
    fleet = build_fleet(INSTANCES, TARGETS, build_configuration(slots=12))
    crash_by_part(fleet, CRASHES_MAX)
    for name in INSTANCES:
        with pytest.raises(RequestCondemnedError):
            fleet[name].acquire(build_call("next", parts=("a9", "bad")))
        sound = fleet[name].acquire(build_call("sound", parts=("a0", "good")))
        fleet[name].finish(sound.ticket, CallResult.SUCCESS)


def test_an_item_with_a_part_under_which_calls_crash_targets_runs_and_is_no_trial():
    """Guards against items that wait for a belief about calls (review/11)."""
    fleet = build_fleet(INSTANCES[:1], TARGETS, build_configuration(slots=12))
    scheduler = fleet[INSTANCES[0]]
    for number in range(CRASHES_MAX):
        placement = scheduler.acquire(build_call(f"c{number}", parts=(f"a{number}", "bad")))
        scheduler.finish(placement.ticket, CallResult.LOST)
        gevent.sleep(2 * SAME_CRASH_S)
    item = build_call("item", priority="batch", fingerprint="", parts=("bad",))
    waiting = gevent.spawn(scheduler.acquire, item)
    placement = waiting.get(timeout=5.0)
    scheduler.finish(placement.ticket, CallResult.SUCCESS)
    now = scheduler._core.clock.monotonic()
    assert submit_trial(scheduler, now) is None
    assert submit_trial(scheduler, now + crash_causes.TRIAL_GAP_S) is not None


def test_an_instance_that_starts_learns_which_parts_crash_targets():
    fleet = build_fleet(INSTANCES[:2], TARGETS, build_configuration(slots=12))
    first, second = fleet.values()
    for number in range(CRASHES_MAX):
        placement = first.acquire(build_call(f"c{number}", parts=(f"a{number}", "bad")))
        first.finish(placement.ticket, CallResult.LOST)
        gevent.sleep(2 * SAME_CRASH_S)
    with pytest.raises(RequestCondemnedError):
        first.acquire(build_call("next", parts=("a9", "bad")))
    second._decider.tables.crashes.services.clear()
    assert second._messenger.fetch_suspects()
    with pytest.raises(RequestCondemnedError):
        second.acquire(build_call("next", parts=("a9", "bad")))


def test_items_under_which_targets_crash_blame_no_part():
    fleet = build_fleet(INSTANCES[:1], TARGETS, build_configuration(slots=12))
    scheduler = fleet[INSTANCES[0]]
    info = build_call("item", priority="batch", fingerprint="", parts=("job",))
    for _ in range(CRASHES_MAX + 1):
        row = scheduler._decider.submit(info, 0.0, 0.0)
        grant = scheduler._decider._create_placer().grant(row, "t0", 0.0)
        scheduler._decider.finish(grant.ticket, CallResult.LOST, 1.0, 1.0)
    assert not scheduler._decider.tables.crashes.services


def submit_trial(scheduler, now):
    """Return the grant of a call with the part that was blamed, None if it is held back."""
    try:
        scheduler._decider.submit(build_call("trial", parts=("bad",)), now, now)
    except RequestCondemnedError:
        return None
    actions = scheduler._decider.tick(now, now)
    return next((action for action in actions if isinstance(action, Grant)), None)


def test_a_trial_that_reached_no_target_is_made_again_at_once():
    """Guards against a sound part held back for a minute while targets are down (review/6)."""
    fleet = build_fleet(INSTANCES[:1], TARGETS, build_configuration(slots=12))
    scheduler = fleet[INSTANCES[0]]
    crash_by_part({INSTANCES[0]: scheduler} | dict.fromkeys(INSTANCES, scheduler), CRASHES_MAX)
    now = scheduler._core.clock.monotonic()
    assert submit_trial(scheduler, now) is None
    now += crash_causes.TRIAL_GAP_S
    for _ in range(3):
        trial = submit_trial(scheduler, now)
        assert trial is not None
        assert submit_trial(scheduler, now) is None
        scheduler._decider.finish(trial.ticket, CallResult.NOT_REACHED, now, now)
    trial = submit_trial(scheduler, now)
    scheduler._decider.finish(trial.ticket, CallResult.LOST, now, now)
    assert submit_trial(scheduler, now + crash_causes.TRIAL_GAP_S) is None


def test_calls_that_were_written_for_some_time_blame_no_part():
    """Guards against calls refused for a part that targets were writing as they crashed."""
    fleet = build_fleet(INSTANCES[:2], TARGETS, build_configuration(slots=12))
    first, second = fleet.values()
    placements = [first.acquire(build_call(f"c{n}", parts=("app",))) for n in range(CRASHES_MAX)]
    for number, placement in enumerate(placements):
        if number == 0:
            first._decider.record_tokens(placement.ticket, crash_causes.EVENTS_TO_CLEAR, 0.0)
        first.finish(placement.ticket, CallResult.LOST)
    gevent.sleep(2 * SAME_CRASH_S)
    for scheduler in (first, second):
        assert scheduler.acquire(build_call("next", parts=("app",))).ticket


def test_an_instance_tries_a_cause_if_the_one_before_it_has_no_call_to_try():
    """Guards against items held back for good: only the owner of a cause tried it (review/6)."""
    fleet = build_fleet(INSTANCES[:2], TARGETS, build_configuration(slots=12))
    crash_by_part(dict.fromkeys(INSTANCES, fleet[INSTANCES[0]]), CRASHES_MAX)
    turns = rank_owners("bad", INSTANCES[:2])
    first, second = fleet[turns[0]], fleet[turns[1]]
    now = first._core.clock.monotonic()
    assert submit_trial(first, now) is None
    assert submit_trial(second, now) is None
    now += crash_causes.TRIAL_GAP_S
    assert submit_trial(second, now) is None
    assert submit_trial(second, now + TRIAL_TURN_S) is not None
