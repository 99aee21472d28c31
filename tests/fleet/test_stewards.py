from __future__ import annotations

import pytest

from clementinepin.systems.stewardship import LEASE_TTL_S, ORDER_MAX_S
from tests.fleet.fakes import FakeFleet, create_files, create_row


def _create(engines: int = 3, *, checks: bool = True, workers_min: int = 1) -> FakeFleet:
    fleet = FakeFleet(engines=engines, checks=checks)
    files = create_files("1", checks=checks, workers_min=workers_min)
    fleet.fleets["n0"].apply(files, base=0)
    fleet.list_targets()
    return fleet


def _holders(fleet: FakeFleet) -> list[str]:
    return [name for name, component in fleet.fleets.items() if component.stewards._held]


def _run(fleet: FakeFleet, periods: int, *names: str) -> None:
    for _ in range(periods):
        fleet.run_stewards(*names)
        fleet.clock.advance(2.0)


def _versions(fleet: FakeFleet) -> list[str]:
    return [engine.models.get("homily", "") for engine in fleet.engines.values()]


def test_one_steward_makes_all_engines_load_the_configured_models():
    fleet = _create()
    _run(fleet, 8)
    assert len(_holders(fleet)) == 1
    assert _versions(fleet) == ["1", "1", "1"]
    assert all(engine.adapters == {"tags": "1"} for engine in fleet.engines.values())
    assert list(fleet.fleets["n1"].list_stewards()) == ["homily-lm"]


def test_rollout_keeps_workers_min_serving():
    """Mutation: ignore workers_min in _may_disrupt."""
    fleet = _create(engines=8, workers_min=7)
    _run(fleet, 6)
    fleet.fleets["n0"].apply(create_files("2", workers_min=7), base=1)
    fleet.run_stewards()
    assert sorted(_versions(fleet)) == ["1"] * 7 + ["2"]
    _run(fleet, 12)
    assert _versions(fleet) == ["2"] * 8


def test_rollout_disrupts_at_most_a_quarter_at_a_time():
    """Mutation: ignore DISRUPTED_SHARE_MAX in _may_disrupt."""
    fleet = _create(engines=8)
    _run(fleet, 6)
    fleet.fleets["n0"].apply(create_files("2"), base=1)
    fleet.run_stewards()
    assert sorted(_versions(fleet)) == ["1"] * 6 + ["2"] * 2


def test_loads_stay_within_the_rate_of_the_weight_store():
    """Mutation: let _may_load return True."""
    fleet = FakeFleet(engines=3, loads_per_s=0.25)
    fleet.fleets["n0"].apply(create_files(), base=0)
    fleet.list_targets()
    _run(fleet, 3)
    assert sorted(_versions(fleet)) == ["", "1", "1"]


def test_last_serving_worker_is_never_disrupted():
    """Mutation: let _may_disrupt compare with 0 workers."""
    fleet = _create(engines=1)
    _run(fleet, 4)
    fleet.fleets["n0"].apply(create_files("2"), base=1)
    _run(fleet, 8)
    assert _versions(fleet) == ["1"]
    holder = _holders(fleet)[0]
    assert fleet.fleets[holder].stewards.describe_state()["homily-lm"]["held_back"] == 1


def test_change_of_configuration_starts_a_round_at_once():
    """Mutation: do not subscribe _clear_round_delays."""
    fleet = _create()
    _run(fleet, 12)
    fleet.clock.advance(5.0)
    fleet.run_stewards()
    fleet.fleets["n0"].apply(create_files("2"), base=1)
    fleet.run_stewards()
    assert "2" in _versions(fleet)


def test_wrong_role_is_changed_back():
    fleet = _create()
    fleet.engines["w1"].role = "prefill"
    _run(fleet, 6)
    assert fleet.engines["w1"].role == "serve"


def test_first_steward_of_a_service_does_not_wait():
    """Mutation: let _mark_first_steward always return False."""
    fleet = _create(checks=False)
    fleet.run_stewards()
    assert any(engine.orders for engine in fleet.engines.values())


def test_new_steward_waits_for_the_longest_order_if_engines_ignore_fencing_numbers():
    """Mutations: let _create_lease always wait 0 seconds; let _mark_first_steward return True."""
    fleet = _create(checks=False)
    fleet.state.put("leases/stewards-known/homily-lm", b"former", 0)
    fleet.run_stewards()
    assert not any(engine.orders for engine in fleet.engines.values())
    fleet.clock.advance(ORDER_MAX_S)
    fleet.run_stewards()
    assert any(engine.orders for engine in fleet.engines.values())


def test_steward_waits_if_an_earlier_one_ordered_engines_while_they_checked_fencing_numbers():
    """Mutation: mark a service only if its engines ignore fencing numbers."""
    fleet = _create(checks=True)
    _run(fleet, 4)
    holder = _holders(fleet)[0]
    fleet.fleets["n0"].apply(create_files("2", checks=False), base=1)
    fleet.fleets[holder].stewards.hand_over(fleet.clock.monotonic() + 60)
    before = [len(engine.orders) for engine in fleet.engines.values()]
    fleet.run_stewards()
    assert [len(engine.orders) for engine in fleet.engines.values()] == before


def _pause_holder(fleet: FakeFleet) -> tuple[str, list[str]]:
    holder = _holders(fleet)[0]
    others = [name for name in fleet.fleets if name != holder]
    fleet.clock.advance(LEASE_TTL_S + 1)
    for name in others:
        network = fleet.board.networks[name]
        network.list_live = lambda others=others: others
    return holder, others


@pytest.mark.parametrize("checks", [True, False])
def test_holder_paused_past_its_lease_sends_no_order(checks: bool):
    """Mutation: let may_order return True."""
    fleet = _create(checks=checks)
    _run(fleet, 12)
    holder, others = _pause_holder(fleet)
    fleet.engines["w0"].models["homily"] = "0"
    before = [list(engine.orders) for engine in fleet.engines.values()]
    fleet.fleets[holder].stewards.run_round("homily-lm")
    assert [engine.orders for engine in fleet.engines.values()] == before
    _run(fleet, 12, *others)
    assert _versions(fleet) == ["1", "1", "1"]


def test_late_order_of_an_old_steward_is_refused_and_the_engine_corrected():
    fleet = _create(checks=True)
    _run(fleet, 4)
    holder, others = _pause_holder(fleet)
    old = fleet.fleets[holder].stewards._held["homily-lm"]
    old_number = old.lease.fencing_number
    _run(fleet, 5, *others)
    fleet.engines["w0"].models["homily"] = "0"
    _run(fleet, 5, *others)
    assert fleet.engines["w0"].models["homily"] == "1"
    # As if the old holder's clock had stopped: it still considers its lease valid.
    old.lease = old.lease._replace(deadline=fleet.clock.monotonic() + LEASE_TTL_S)
    fleet.engines["w0"].models["homily"] = "0"
    fleet.fleets[holder].stewards.run_round("homily-lm")
    assert fleet.engines["w0"].models["homily"] == "0"
    assert "homily-lm" not in fleet.fleets[holder].stewards._held
    _run(fleet, 5, *others)
    assert fleet.engines["w0"].models["homily"] == "1"
    assert fleet.engines["w0"].fencing_number > old_number


def test_hand_over_releases_the_lease_at_once():
    fleet = _create()
    _run(fleet, 2)
    holder = _holders(fleet)[0]
    fleet.cores[holder].drain(fleet.clock.monotonic() + 60)
    fleet.fleets[holder].stewards.hand_over(fleet.clock.monotonic() + 60)
    others = [name for name in fleet.fleets if name != holder]
    _run(fleet, 1, *others)
    assert len(_holders(fleet)) == 1
    assert _holders(fleet) != [holder]


def test_outage_keeps_the_lease_only_until_its_deadline():
    fleet = _create()
    _run(fleet, 2)
    holder = _holders(fleet)[0]
    for store in fleet.stores.values():
        store.down = True
    fleet.clock.advance(LEASE_TTL_S - 6)
    fleet.run_stewards()
    assert _holders(fleet) == [holder]
    fleet.clock.advance(LEASE_TTL_S)
    fleet.run_stewards()
    assert _holders(fleet) == []


def test_leaving_target_gets_no_order():
    fleet = _create()
    rows = [create_row(n, service="homily-lm", peer_port=0) for n in fleet.engines]
    rows[0] = rows[0]._replace(state="leaving")
    fleet.table.set_rows([*fleet.rows, *rows])
    fleet.clock.advance(1.0)
    for component in fleet.fleets.values():
        component.instances.read()
    _run(fleet, 4)
    assert _versions(fleet) == ["", "1", "1"]
