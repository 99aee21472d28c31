from __future__ import annotations

import random

import gevent

from clementinepin.scheduling import _reports
from clementinepin.scheduling._decider import Decider
from clementinepin.scheduling._reports import (
    POLLS_PARALLEL,
    POLLS_PER_S,
    POLLS_UNREADY_PER_S,
    UNREADY_POLLS_MAX,
    ReportPoller,
)
from clementinepin.systems.allowance import create_policy
from clementinepin.tables import View
from clementinepin.targets import LoadReport
from clementinepin.targets.exceptions import TargetNotReachedError
from tests.scheduling.fakes import build_configuration, build_target

TARGETS = 2 * POLLS_PARALLEL + 1


class SlowEngine:
    def __init__(self, name, polled):
        self._name = name
        self._polled = polled

    def fetch_load(self):
        gevent.sleep(0.001)
        self._polled.add(self._name)
        return LoadReport(0, 0, 0.0, ("m1",), (), "serve", 1, 0.0)

    def fetch_cache_events(self, after):
        return []


class UnresponsiveEngine:
    def fetch_load(self):
        raise TargetNotReachedError("t")


def count_rates(engine, rounds):
    view = View("e1", "dc1", "r1", ("e1",), build_configuration())
    decider = Decider(view, create_policy("adaptive"), 100, random.Random(1))
    decider.set_targets([build_target("t1")])
    decider.set_view(view)
    poller = ReportPoller(decider, lambda address: engine)
    rates = []
    for _ in range(rounds):
        rows = poller._list_followed()
        rates.append(poller._choose_rate(rows))
        poller._poll(rows[0])
    return rates


def test_a_target_that_reported_its_models_is_polled_at_the_slow_rate():
    """Mutation: always return the fast rate."""
    assert count_rates(SlowEngine("t1", set()), 3) == [POLLS_UNREADY_PER_S, *[POLLS_PER_S] * 2]


def test_a_target_that_never_responds_does_not_keep_the_fast_rate():
    """Mutation: ignore UNREADY_POLLS_MAX."""
    rates = count_rates(UnresponsiveEngine(), UNREADY_POLLS_MAX + 1)
    assert rates == [*[POLLS_UNREADY_PER_S] * UNREADY_POLLS_MAX, POLLS_PER_S]


def test_every_followed_target_is_polled_when_there_are_more_than_polls_in_parallel(monkeypatch):
    """Mutation: poll all rows at once and sleep after the loop: the last ones are never polled."""
    monkeypatch.setattr(_reports, "POLL_PERIOD_MIN_S", 0.02)
    monkeypatch.setattr(_reports, "POLLS_PER_S", 1000.0)
    view = View("e1", "dc1", "r1", ("e1",), build_configuration())
    decider = Decider(view, create_policy("adaptive"), 100, random.Random(1))
    decider.set_targets([build_target(f"t{n}") for n in range(TARGETS)])
    decider.set_view(view)
    polled: set[str] = set()
    poller = ReportPoller(decider, lambda address: SlowEngine(address.name, polled))
    greenlet = gevent.spawn(poller.run)
    with gevent.Timeout(5):
        while len(polled) < TARGETS:
            gevent.sleep(0.005)
    greenlet.kill()
    poller.stop()
