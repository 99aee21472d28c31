"""The experiment tool in virtual time, and the table of the ablation from reports."""

from __future__ import annotations

import json

import pytest

from bench import ablation, experiment
from bench.load_model import Deployment, Simulation, Work
from bench.load_policies import DispatchPolicy
from clementinepin.tables.mechanisms import Mechanism


@pytest.mark.parametrize("kind", experiment.KINDS)
def test_a_draw_is_the_same_each_time_and_differs_between_numbers(kind):
    first, again, other = (experiment.make_draw(kind, n) for n in (1, 1, 2))
    assert first.deployment == again.deployment
    assert first.item_groups == again.item_groups
    assert first.deployment != other.deployment
    slots = first.deployment.engines * first.deployment.slots
    assert 2 <= first.deployment.engines <= 60
    assert slots <= max(experiment.SLOTS_TOTAL_MAX, 2 * 32)


def test_shares_of_a_draw_add_up():
    outcome = experiment.play("lost", 5, "present")
    shares = outcome.on_time + outcome.after_return + outcome.late + outcome.never
    assert shares == pytest.approx(1.0)
    assert 0.0 <= outcome.worth <= 1.0


def test_callers_of_a_lost_engine_get_nothing_and_items_resume():
    """Mutation: keep the runs of a lost engine."""
    deployment = Deployment(engines=1, slots=2, outages=((0, 0.01, 1.0),))
    works = [Work(1, 0, False, 100, 100, 0.0), Work(2, 0, True, 100, 100, 0.0)]
    sim = Simulation(deployment, 1)
    sim.run(DispatchPolicy(deployment), works, 20.0)
    assert sim.worth == {1: 0.0}
    assert sim.items_done[2] > 1.0


def test_callers_wait_a_third_of_their_timeout_at_most():
    """Mutation: let callers keep any retry time."""
    sim = Simulation(Deployment(), 1)
    returned = []

    class Recorder(DispatchPolicy):
        def submit(self, sim, work):
            returned.append(work.arrives_at)

    sim.reject(Recorder(Deployment()), Work(1, 0, False, 1, 1, 0.0, timeout_at=3.0), 60.0)
    sim.run(Recorder(Deployment()), [], 10.0)
    assert returned == [1.0]


def test_ablation_row_is_the_mean_change_on_equal_seeds(tmp_path):
    """Mutation: compare means of different plays, or take a play that broke a rule as it is."""
    plays = [
        ablation.Play(name, "a/site.toml", "day", seed)
        for name in (ablation.ALL, "pace")
        for seed in ("1", "2", "3")
    ]
    worths = {}
    for play, worth, breaks in zip(
        plays, (0.8, 0.6, 0.7, 0.7, 0.6, 0.9), ({}, {}, {}, {}, {"LOST": 1}, {}), strict=True
    ):
        report = tmp_path / f"{play.label}.json"
        report.write_text(json.dumps({"G": worth, "breaks": breaks}))
        worths[play] = ablation.read_worth(report)
    row = ablation.make_row("pace", plays[3:], worths)
    assert row["plays"] == 3
    assert row["mean"] == pytest.approx((-0.1 - 0.6 + 0.2) / 3, abs=1e-4)
    assert ablation.read_worth(tmp_path / "missing.json") is None


def test_policy_names_cover_all_mechanisms():
    deployment = Deployment()
    for mechanism in Mechanism:
        policy = experiment.make_policy(f"without-{mechanism}", deployment)
        assert policy.table.disabled == {mechanism}
