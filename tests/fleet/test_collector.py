from __future__ import annotations

import pytest

from clementinepin.fleet import ConfigurationConflictError
from clementinepin.fleet._revisions import PREFIX_PARTS, PREFIX_REVISIONS, format_revision_key
from clementinepin.helpers.rendezvous import choose_owner
from clementinepin.systems import retention
from clementinepin.systems.retention import RETENTION_S, REVISIONS_KEPT
from tests.fleet.fakes import FakeFleet, create_files


def _count(fleet: FakeFleet, prefix: str) -> int:
    return len(fleet.state.list_range(prefix, prefix + "~", 10_000))


def _apply_many(fleet: FakeFleet, count: int) -> None:
    for index in range(count):
        fleet.fleets["n0"].apply(create_files(f"v{index}"), base=None)


def _collect(fleet: FakeFleet) -> None:
    for component in fleet.fleets.values():
        component.collector.run()


def test_old_revisions_and_their_parts_are_deleted():
    fleet = FakeFleet()
    _apply_many(fleet, REVISIONS_KEPT + 20)
    _collect(fleet)
    assert _count(fleet, PREFIX_REVISIONS) == REVISIONS_KEPT + 20
    fleet.clock.advance(RETENTION_S + 1)
    _collect(fleet)
    assert _count(fleet, PREFIX_REVISIONS) == REVISIONS_KEPT
    parts = _count(fleet, PREFIX_PARTS)
    fleet.clock.advance(RETENTION_S)
    _collect(fleet)
    assert _count(fleet, PREFIX_PARTS) == parts - 20


def test_only_one_instance_collects():
    fleet = FakeFleet()
    _collect(fleet)
    readers = [name for name, store in fleet.stores.items() if store.calls["list_range"]]
    assert readers == [choose_owner("configuration/collector", fleet.fleets)]


def test_part_that_a_new_revision_needs_again_is_kept():
    """Mutation: do not rewrite a part that exists in _write_part."""
    fleet = FakeFleet()
    _apply_many(fleet, REVISIONS_KEPT + 20)
    fleet.clock.advance(RETENTION_S + 1)
    _collect(fleet)
    fleet.clock.advance(RETENTION_S)
    collector = fleet.fleets[choose_owner("configuration/collector", fleet.fleets)].collector
    delete = collector._delete
    raced: list[str] = []

    def race(key: str, version: int) -> None:
        if not raced:
            raced.append(key)
            fleet.fleets["n0"].apply(create_files("v0"), base=None)
        delete(key, version)

    collector._delete = race
    collector.run()
    fresh = FakeFleet()
    fresh.state = fleet.state
    for store in fresh.stores.values():
        store.state = fleet.state
    for component in fresh.fleets.values():
        component.configuration.run_watch()
    assert fresh.cores["n1"].configuration.models["homily"].version == "v0"


def test_recent_and_newest_revisions_are_kept():
    """Mutation: ignore accepted_at in choose_revisions."""
    rows = [
        retention.StoredRevision(str(index), index, float(index), ())
        for index in range(REVISIONS_KEPT + 10)
    ]
    assert retention.choose_revisions(rows, 5.0 + RETENTION_S) == rows[:5]
    assert retention.choose_revisions(rows, 1e9) == rows[:10]


class _PauseHook:
    """Delays the writer of a revision until its base has been collected."""

    def __init__(self, fleet: FakeFleet) -> None:
        self.fleet = fleet
        self.done = False

    def before(self, call: str, key: str) -> None:
        if call != "put" or not key.startswith(PREFIX_REVISIONS) or self.done:
            return
        self.done = True
        for index in range(REVISIONS_KEPT + 20):
            self.fleet.fleets["n1"].apply(create_files(f"w{index}"), base=None)
        self.fleet.clock.advance(RETENTION_S + 1)
        _collect(self.fleet)

    def after(self, call: str, key: str) -> None:
        return


def test_writer_paused_during_a_collection_gets_the_conflict():
    """A writer paused until its base was collected would recreate an old revision number.

    Mutation: do not call _verify_base in create_revision.
    """
    fleet = FakeFleet()
    fleet.fleets["n0"].apply(create_files("1"), base=0)
    fleet.stores["n0"].hook = _PauseHook(fleet)
    with pytest.raises(ConfigurationConflictError) as caught:
        fleet.fleets["n0"].apply(create_files("2"), base=1)
    assert caught.value.revision == REVISIONS_KEPT + 21
    assert fleet.state.get(format_revision_key(1)) is None
    assert fleet.cores["n0"].configuration.revision == REVISIONS_KEPT + 21
