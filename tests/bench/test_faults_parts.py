from __future__ import annotations

import json
import random
from types import SimpleNamespace

from bench._faults.directory import Directory
from bench._faults.schedule import run_step
from bench._faults.tally import Tally
from standins.caller import Response
from standins.processes import ProcessNotReadyError


def make_response(status: int, text: str = "") -> Response:
    return Response(status, text, 0, status == 200, True, "", "", None, "", 0.0, 0.0)


class FakeCaller:
    """Answers ``/v1/entries`` by port."""

    def __init__(self, advice: dict[int, list[int]]) -> None:
        self.advice = advice
        self.called_ports: list[int] = []

    def call(self, port: int, method: str, path: str) -> Response:
        self.called_ports.append(port)
        if port not in self.advice:
            return make_response(0)
        rows = [{"port": p} for p in self.advice[port]]
        return make_response(200, json.dumps({"data": rows, "valid_until": 2e9 * 100}))


def make_directory(advice: dict[int, list[int]], ports: list[int]) -> tuple[Directory, FakeCaller]:
    caller = FakeCaller(advice)
    fleet = SimpleNamespace(daemons=[SimpleNamespace(port=port) for port in ports])
    return Directory(fleet, caller, random.Random(1)), caller


def test_summary_contains_every_kind_of_violation() -> None:
    """Mutation: leave a kind out of the tuple in Tally.summarize."""
    tally = Tally()
    for kind in ("lost", "doubled", "cut", "false_not_run", "ran_twice", "reverted"):
        tally.record_violation(kind, "text")
    result = tally.summarize()
    names = ("lost", "doubled", "cut", "false_not_run", "ran_twice")
    assert [result[name] for name in names] == [1] * 5
    assert result["other_broken"] == {"reverted": 1}
    assert result["targets_lost_per_poison"] is None


def test_summary_has_the_worst_figures() -> None:
    tally = Tally()
    tally.config_seconds += [0.5, 9.0, 1.0]
    tally.poison_deaths += [2, 5]
    result = tally.summarize()
    assert (result["config_seconds_max"], result["targets_lost_per_poison"]) == (9.0, 5)


def test_late_step_counts_as_a_violation() -> None:
    def step() -> None:
        raise ProcessNotReadyError("never ready")

    tally, rows = Tally(), []
    run_step("late", step, rows, tally)
    assert tally.violations["step_late"] == 1
    assert [row["fault"] for row in rows] == ["late"]


def test_directory_uses_advised_entries_and_tries_the_next_one_on_failure() -> None:
    """Mutation: return any daemon's port although there is advice."""
    directory, caller = make_directory({2: [3]}, [1, 2, 3])
    assert {directory.pick() for _ in range(20)} == {3}
    assert caller.called_ports[-1] == 2
    assert not directory.is_advised(1)


def test_directory_does_not_pick_an_avoided_entry() -> None:
    directory, _ = make_directory({1: [1, 2], 2: [1, 2]}, [1, 2])
    directory.pick()
    directory.avoid(1)
    assert {directory.pick() for _ in range(20)} == {2}
