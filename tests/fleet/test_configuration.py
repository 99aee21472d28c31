from __future__ import annotations

import gevent
import pytest

from clementinepin.config import ConfigurationInvalidError
from clementinepin.core import ConfigurationChanged
from clementinepin.fleet import (
    ConfigurationConflictError,
    ConfigurationUnavailableError,
    ConfigurationUnknownError,
)
from clementinepin.fleet import _revisions as revisions
from clementinepin.infrastructure.exceptions import PlatformUnavailableError
from tests.fleet.fakes import FakeFleet, create_files, create_row


@pytest.fixture(autouse=True)
def _no_pause(monkeypatch):
    monkeypatch.setattr(revisions, "RESOLVE_PAUSE_S", 0.0)


def _in_force(fleet: FakeFleet) -> set[int]:
    return {component.configuration.revision for component in fleet.fleets.values()}


def test_accepted_file_set_is_in_force_on_all_instances():
    fleet = FakeFleet()
    result = fleet.fleets["n0"].apply(create_files(), base=None)
    assert result.revision == 1
    assert _in_force(fleet) == {1}
    assert fleet.cores["n2"].configuration.digest == result.digest
    assert fleet.fleets["n1"].fetch_revisions_in_force() == {"n0": 1, "n1": 1, "n2": 1}


def test_invalid_file_set_changes_nothing():
    fleet = FakeFleet()
    with pytest.raises(ConfigurationInvalidError):
        fleet.fleets["n0"].apply({"a.toml": b"version = 1\n[models.a]\n"}, base=None)
    assert _in_force(fleet) == {0}
    assert fleet.stores["n0"].calls["put"] == 0


def test_outdated_base_raises_a_conflict_that_names_the_winner():
    """Mutation: do not compare base with the newest revision."""
    fleet = FakeFleet()
    fleet.fleets["n0"].apply(create_files("1"), base=0)
    winner = fleet.fleets["n1"].apply(create_files("2"), base=1)
    with pytest.raises(ConfigurationConflictError) as caught:
        fleet.fleets["n2"].apply(create_files("3"), base=1)
    assert caught.value.revision == 2
    assert caught.value.digest == winner.digest
    assert caught.value.accepted_by == "n1"
    assert _in_force(fleet) == {2}


def test_repeated_file_set_after_a_lost_response_gets_the_same_revision():
    fleet = FakeFleet()
    first = fleet.fleets["n0"].apply(create_files("1"), base=0)
    assert fleet.fleets["n1"].apply(create_files("1"), base=0) == first


class _RaceHook:
    """Applies another file set between the read of the newest revision and the write."""

    def __init__(self, fleet: FakeFleet) -> None:
        self.fleet = fleet
        self.done = False

    def before(self, call: str, key: str) -> None:
        if call == "put" and key.startswith(revisions.PREFIX_REVISIONS) and not self.done:
            self.done = True
            self.fleet.fleets["n1"].apply(create_files("2"), base=None)

    def after(self, call: str, key: str) -> None:
        return


def test_losing_operator_of_a_race_gets_the_winner():
    """Mutation: write the revision with expected=None."""
    fleet = FakeFleet()
    fleet.stores["n0"].hook = _RaceHook(fleet)
    with pytest.raises(ConfigurationConflictError) as caught:
        fleet.fleets["n0"].apply(create_files("1"), base=None)
    assert caught.value.accepted_by == "n1"
    assert fleet.cores["n0"].configuration.models["homily"].version == "2"


def test_lost_reply_is_resolved_by_the_operation_id():
    """Mutation: raise the conflict without comparing operation ids."""
    fleet = FakeFleet()
    fleet.stores["n0"].replies_to_lose = 4
    assert fleet.fleets["n0"].apply(create_files(), base=0).revision == 1
    assert _in_force(fleet) == {1}


def test_outage_after_a_lost_reply_leaves_the_outcome_unknown():
    """Mutation: report that nothing was accepted although a write was sent."""
    fleet = FakeFleet()
    store = fleet.stores["n0"]

    class Hook:
        def before(self, call: str, key: str) -> None:
            return

        def after(self, call: str, key: str) -> None:
            if call == "put" and key.startswith(revisions.PREFIX_REVISIONS):
                store.down = True

    put = store.put

    def lose_revision(key, value, *, expected, lease_id=0):
        if key.startswith(revisions.PREFIX_REVISIONS) and not store.down:
            store.replies_to_lose = 1
            try:
                return put(key, value, expected=expected)
            finally:
                store.down = True
        return put(key, value, expected=expected)

    store.put = lose_revision
    with pytest.raises(ConfigurationUnknownError):
        fleet.fleets["n0"].apply(create_files(), base=0)
    store.down = False
    for component in fleet.fleets.values():
        component.configuration.run_watch()
    assert _in_force(fleet) == {1}


def test_outage_raises_not_run_with_a_retry_time():
    fleet = FakeFleet()
    fleet.stores["n0"].down = True
    with pytest.raises(ConfigurationUnavailableError) as caught:
        fleet.fleets["n0"].apply(create_files(), base=0)
    assert caught.value.retry_at > fleet.clock.wall()


def test_revision_survives_the_loss_of_the_accepting_instance():
    """Mutation: let only the accepting instance poll the key-value service."""
    fleet = FakeFleet()
    fleet.board.link = lambda sender, receiver: "n0" not in (sender, receiver)
    fleet.fleets["n0"].apply(create_files(), base=0)
    assert fleet.fleets["n1"].configuration.revision == 0
    for name in ("n1", "n2"):
        fleet.fleets[name].configuration.run_watch()
    assert _in_force(fleet) == {1}


def test_new_instance_learns_from_peers_during_an_outage():
    fleet = FakeFleet()
    fleet.fleets["n0"].apply(create_files(), base=0)
    fresh = fleet.start(create_row("n9"))
    for store in fleet.stores.values():
        store.down = True
    fleet.board.networks["n9"].probe("n1")
    gevent.sleep(0)
    assert fresh.configuration.revision == 1


def test_new_instance_fetches_from_peers_as_soon_as_it_knows_them():
    """Mutation: do not subscribe _fetch_from_first_peers."""
    fleet = FakeFleet()
    fleet.fleets["n0"].apply(create_files(), base=0)
    fresh = fleet.start(create_row("n9"))
    fleet.table.set_rows(fleet.rows)
    fresh.instances.read()
    gevent.sleep(0)
    assert fresh.configuration.revision == 1


def test_missed_announcement_is_recovered_by_a_probe():
    fleet = FakeFleet()
    fleet.board.link = lambda sender, receiver: receiver != "n2"
    fleet.fleets["n0"].apply(create_files(), base=0)
    assert fleet.fleets["n2"].configuration.revision == 0
    fleet.board.link = lambda sender, receiver: True
    fleet.board.networks["n1"].probe("n2")
    gevent.sleep(0)
    assert fleet.fleets["n2"].configuration.revision == 1


def test_old_announcement_never_reverts():
    """Mutation: do not compare revisions in learn."""
    fleet = FakeFleet()
    fleet.fleets["n0"].apply(create_files("1"), base=0)
    service = fleet.fleets["n1"].configuration
    old = (service._manifest, dict(service._data))
    fleet.fleets["n0"].apply(create_files("2"), base=1)
    assert service.learn(*old, "a late message") is False
    assert fleet.cores["n1"].configuration.revision == 2


def test_revision_learned_by_a_subscriber_is_published_after_the_first():
    """Mutation: put each revision in force within learn; a subscriber then gets 2 before 1."""
    fleet = FakeFleet()
    core = fleet.cores["n0"]
    received: list[int] = []

    def apply_next(event: ConfigurationChanged) -> None:
        if event.configuration.revision == 1:
            fleet.fleets["n1"].apply(create_files("2"), base=1)

    core.subscribe(ConfigurationChanged, apply_next)
    core.subscribe(
        ConfigurationChanged, lambda event: received.append(event.configuration.revision)
    )
    fleet.fleets["n0"].apply(create_files("1"), base=0)
    assert received == [1, 2]


def test_only_a_few_instances_poll_the_key_value_service():
    fleet = FakeFleet(count=12)
    for component in fleet.fleets.values():
        component.configuration.run_watch()
    readers = [name for name, store in fleet.stores.items() if store.calls["list_range"]]
    assert len(readers) == 4


def test_unavailable_service_leaves_the_revision_in_force():
    fleet = FakeFleet()
    fleet.fleets["n0"].apply(create_files(), base=0)
    for store in fleet.stores.values():
        store.hook = _Refuse()
    for component in fleet.fleets.values():
        component.configuration.run_watch()
    assert _in_force(fleet) == {1}


class _Refuse:
    def before(self, call: str, key: str) -> None:
        raise PlatformUnavailableError(key)

    def after(self, call: str, key: str) -> None:
        return
