"""Builds a decider whose targets have a known load report; tests pass the time."""

from __future__ import annotations

import random

from clementinepin.scheduling._decider import Decider
from clementinepin.systems.allowance import create_policy
from clementinepin.tables import DemandRow, View
from tests.scheduling.fakes import build_configuration, build_report, build_target

START = 1_000.0


def build_decider(name="e1", live=("e1",), targets=("t1", "t2"), policy="adaptive", **changes):
    configuration = build_configuration(**changes)
    view = View(name, "dc1", "r1", tuple(live), configuration)
    decider = Decider(view, create_policy(policy), 100, random.Random(1))
    decider.set_targets([build_target(target) for target in targets])
    decider.set_view(view)
    for target in targets:
        decider.tables.targets.update(target, report=build_report())
    return decider


def build_demand(online, now, waiting=0):
    return DemandRow(online, waiting, 0.0, 0.0, now + 2.0)
