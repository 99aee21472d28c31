from __future__ import annotations

import random

import gevent

from clementinepin.scheduling import _reports
from clementinepin.scheduling._decider import Decider
from clementinepin.scheduling._reports import POLLS_PARALLEL, ReportPoller
from clementinepin.systems.allowance import create_policy
from clementinepin.tables import View
from clementinepin.targets import LoadReport
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


def test_every_followed_target_is_polled_when_there_are_more_than_polls_in_parallel(monkeypatch):
    """Mutation: poll all rows at once and sleep behind the loop; the last ones are never asked."""
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
