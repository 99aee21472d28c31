from __future__ import annotations

from clementinepin.core import InstancesChanged
from clementinepin.systems.drain import SPREAD_S, limit_advice, plan_drain
from clementinepin.systems.instances import choose_read_period
from tests.fleet.fakes import FakeFleet, create_row


def _advised(fleet: FakeFleet, name: str) -> list[str]:
    return [row.name for row in fleet.fleets[name].advise_entries().entries]


def test_leaving_instance_is_removed_from_all_advice_at_once():
    """Mutation: do not broadcast METHOD_LEAVING."""
    fleet = FakeFleet()
    fleet.cores["n1"].drain(fleet.clock.monotonic() + 60)
    for name in fleet.fleets:
        assert sorted(_advised(fleet, name)) == ["n0", "n2"]


def test_advice_given_before_the_leaving_message_arrives_expires_before_the_instance_stops():
    """Mutation: let limit_advice return wall + advice_s."""
    assert plan_drain(100.0, 160.0, 10.0) == (110.0, 160.0)
    assert plan_drain(100.0, 105.0, 10.0) == (105.0, 105.0)
    assert limit_advice(100.0 + SPREAD_S, 10.0) <= 110.0
    assert limit_advice(100.0, 1.0) == 100.5


def test_advice_lists_own_data_centre_first_and_has_a_deadline():
    fleet = FakeFleet(count=6)
    advice = fleet.fleets["n0"].advise_entries()
    assert [row.data_centre for row in advice.entries] == ["dc0"] * 3 + ["dc1"] * 3
    assert advice.valid_until == fleet.clock.wall() + 10.0 - SPREAD_S


def test_advice_spreads_callers_over_entries():
    """Mutation: do not shuffle in choose_entries."""
    fleet = FakeFleet(count=6)
    firsts = {_advised(fleet, "n0")[0] for _ in range(50)}
    assert firsts == {"n0", "n2", "n4"}


def test_instance_listed_as_leaving_by_the_platform_drains():
    fleet = FakeFleet()
    fleet.list_targets()
    rows = [row._replace(state="leaving") if row.name == "n1" else row for row in fleet.rows]
    fleet.table.set_rows(rows)
    fleet.clock.advance(1.0)
    fleet.fleets["n0"].instances.read()
    assert fleet.cores["n1"].draining
    assert not fleet.cores["n0"].draining
    assert sorted(_advised(fleet, "n2")) == ["n0", "n2"]


def test_late_leaving_state_of_an_earlier_process_drains_no_instance():
    """Mutation: ignore _was_live in _handle_own_state."""
    fleet = FakeFleet()
    fleet.table.set_rows([row._replace(state="leaving") for row in fleet.rows])
    for component in fleet.fleets.values():
        component.instances.read()
    assert not any(core.draining for core in fleet.cores.values())


def test_change_found_by_one_instance_is_published_on_all():
    """Mutation: do not broadcast METHOD_INSTANCES."""
    fleet = FakeFleet(engines=2)
    fleet.list_targets()
    seen: dict[str, list[str]] = {}
    for name, core in fleet.cores.items():
        core.subscribe(
            InstancesChanged,
            lambda event, name=name: seen.update(
                {name: [row.name for row in event.rows if row.state == "leaving"]}
            ),
        )
    target = create_row("w0", service="homily-lm", peer_port=0, state="leaving")
    fleet.table.set_rows([*fleet.rows, target])
    fleet.clock.advance(1.0)
    fleet.fleets["n2"].instances.read()
    assert seen == {"n0": ["w0"], "n1": ["w0"], "n2": ["w0"]}


def test_new_instance_does_not_broadcast_its_first_list(monkeypatch):
    """Mutation: broadcast the changes of the first read."""
    fleet = FakeFleet(engines=2)
    fleet.list_targets()
    sent: list[str] = []
    fresh = fleet.start(create_row("n9"))
    monkeypatch.setattr(
        fleet.board.networks["n9"], "broadcast", lambda method, message: sent.append(method)
    )
    fresh.instances.read()
    assert len(fresh.instances.list_rows()) == 5
    assert sent == []


def test_older_observation_is_ignored():
    """Mutation: do not compare observed_at in merge_changes."""
    fleet = FakeFleet(engines=1)
    fleet.list_targets()
    stale = fleet.fleets["n0"].instances
    fleet.table.set_rows(fleet.rows)
    fleet.clock.advance(1.0)
    fleet.fleets["n1"].instances.read()
    target = create_row("w0", service="homily-lm", peer_port=0)
    stale._handle_changes(
        "n2", {"changes": [{"name": "w0", "row": list(target), "observed_at": 1.0}]}
    )
    assert "w0" not in [row.name for row in stale.list_rows()]


def test_unreachable_list_leaves_the_view_unchanged():
    fleet = FakeFleet(engines=1)
    fleet.list_targets()
    before = fleet.fleets["n0"].list_instances()
    fleet.fleets["n0"].instances._list.available = False
    fleet.fleets["n0"].instances.read()
    assert fleet.fleets["n0"].list_instances() == before


def test_read_traffic_is_bounded_for_a_large_list():
    """Mutation: return READ_PERIOD_MIN_S always."""
    rng = FakeFleet().cores["n0"].random
    assert choose_read_period(15, rng) < 4.0
    assert 2_590 * 220 / choose_read_period(2_590, rng) < 1_250
