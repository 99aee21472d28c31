"""Tests of what instances and their dispatcher tell each other about limits of targets."""

from __future__ import annotations

import gevent
import pytest

from clementinepin.serving.exceptions import OverloadedError
from clementinepin.systems.dispatch_actions import RunOutcome
from clementinepin.tables.dispatch import DispatchTable, TargetLoad
from tests.serving.harness import ID, Harness
from tests.serving.scripted import ScriptedTarget, call, make_plain
from tests.serving.test_crash_reports import lose_dispatcher
from tests.serving.test_slots import Pair, ShiftedClock, acquire, make_request, start_pair


def wait_for_limit(table: DispatchTable, per_s: float | None) -> None:
    with gevent.Timeout(5.0):
        while get_limit(table.targets["t0"]) != per_s:
            gevent.sleep(0.005)


def get_limit(target: TargetLoad) -> float | None:
    return target.limit.per_s if target.limit is not None else None


def use_slot(pair: Pair, limit_per_s: float | None) -> None:
    slot = acquire(pair.broker, make_request(pair.broker._clock.monotonic(), run_s=0.1))
    pair.broker.report_load(slot, None, limit_per_s)
    pair.broker.release(slot, RunOutcome.SERVED, succeeded=True)


def test_the_dispatcher_hears_of_limits_also_without_a_load_and_of_their_end() -> None:
    clock = ShiftedClock()
    pair = start_pair(1, clock)
    use_slot(pair, 2.0)
    wait_for_limit(pair.dispatcher.table, 2.0)
    clock.shift_s += 1.0
    use_slot(pair, None)
    wait_for_limit(pair.dispatcher.table, None)
    pair.stop()


def test_a_grant_names_the_limit_to_the_instance_that_uses_it() -> None:
    """An instance whose dispatcher is lost knew only the limits in its own responses."""
    clock = ShiftedClock()
    pair = start_pair(1, clock)
    use_slot(pair, 2.0)
    wait_for_limit(pair.dispatcher.table, 2.0)
    pair.broker._table.targets["t0"].limit = None
    clock.shift_s += 1.0
    acquire(pair.broker, make_request(clock.monotonic()))
    assert get_limit(pair.broker._table.targets["t0"]) == 2.0
    pair.stop()


def test_a_new_dispatcher_hears_of_the_limits() -> None:
    pair = start_pair(1)
    use_slot(pair, 2.0)
    wait_for_limit(pair.dispatcher.table, 2.0)
    pair.dispatcher.table.targets["t0"].limit = None
    pair.broker._link.drop()
    wait_for_limit(pair.dispatcher.table, 2.0)
    pair.stop()


def test_runs_that_a_new_dispatcher_adopts_are_no_new_starts() -> None:
    """Mutation: count them: a limited target gets nothing until they are made up for."""
    clock = ShiftedClock()
    pair = start_pair(2, clock)
    use_slot(pair, 2.0)
    wait_for_limit(pair.dispatcher.table, 2.0)
    clock.shift_s += 2.0
    for _ in range(2):
        acquire(pair.broker, make_request(clock.monotonic()))
    pair.dispatcher._release_all("f1")
    pair.dispatcher.table.targets["t0"].limit = None
    pair.broker._link.drop()
    wait_for_limit(pair.dispatcher.table, 2.0)
    limit = pair.dispatcher.table.targets["t0"].limit
    assert limit is not None
    assert len(pair.dispatcher.table.grants) == 2
    assert limit.starts == 0.0
    pair.stop()


def test_without_a_dispatcher_a_limit_is_kept_from_the_first_decision_on() -> None:
    clock = ShiftedClock()
    pair = start_pair(1, clock)
    use_slot(pair, 2.0)
    clock.shift_s += 10.0
    lose_dispatcher(pair)
    with pytest.raises(OverloadedError, match="no target with a free slot"):
        acquire(pair.broker, make_request(clock.monotonic()))
    clock.shift_s += 1.1  # the lost dispatcher's instance holds the other half of the limit
    use_slot(pair, 2.0)
    with pytest.raises(OverloadedError, match="no target with a free slot"):
        acquire(pair.broker, make_request(clock.monotonic()))
    pair.stop()


def test_the_limit_in_a_response_is_reported(harness: Harness) -> None:
    harness.set_route()
    limited = make_plain(b"answer").replace(b"\r\n\r\n", b"\r\nServer-Limit: 2.5\r\n\r\n")
    harness.add_target(ScriptedTarget(limited, make_plain(b"answer")))
    for _ in range(2):
        call(harness.port, ID)
    assert harness.slots.limits_per_s == [2.5, None]
