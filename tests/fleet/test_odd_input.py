from __future__ import annotations

import contextlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.config import ConfigurationPartError
from clementinepin.fleet import ConfigurationUnknownError
from clementinepin.fleet import _messages as messages
from clementinepin.fleet import _revisions as revisions
from clementinepin.fleet._leases import PREFIX_STEWARDS
from clementinepin.fleet._revisions import PREFIX_PARTS, PREFIX_REVISIONS, format_revision_key
from clementinepin.helpers.rendezvous import choose_owner
from tests.fleet.fakes import FakeFleet, create_files

DEEP = b"\x91" * 100_000
MANIFEST = messages.Manifest(
    revision=1, digest="", parts=[], operation_id="", accepted_by="", accepted_at=0.0
)


@pytest.fixture(autouse=True)
def _no_pause(monkeypatch):
    monkeypatch.setattr(revisions, "RESOLVE_PAUSE_S", 0.0)


# One odd entry behind the revisions was taken for the newest: no later one was accepted or learned.
@pytest.mark.parametrize("value", [DEEP, b"", b"\xff", messages.encode_manifest(MANIFEST)])
def test_odd_entry_behind_the_revisions_hides_none(value):
    fleet = FakeFleet()
    fleet.stores["n0"].put(PREFIX_REVISIONS + "zzz", value, expected=0)
    assert fleet.fleets["n0"].apply(create_files("1"), base=None).revision == 1
    assert fleet.fleets["n1"].apply(create_files("2"), base=1).revision == 2
    for component in fleet.fleets.values():
        component.configuration.run_watch()
        assert component.configuration.revision == 2


def test_odd_entry_at_the_next_revision_is_no_proof_that_nothing_was_accepted():
    fleet = FakeFleet()
    fleet.stores["n0"].put(format_revision_key(1), DEEP, expected=0)
    with pytest.raises(ConfigurationUnknownError):
        fleet.fleets["n0"].apply(create_files(), base=None)


def test_nothing_is_collected_while_a_revision_can_not_be_decoded():
    fleet = FakeFleet()
    fleet.fleets["n0"].apply(create_files(), base=None)
    fleet.stores["n0"].put(format_revision_key(2), DEEP, expected=0)
    collector = fleet.fleets[choose_owner("configuration/collector", fleet.fleets)].collector
    parts = len(fleet.state.list_range(PREFIX_PARTS, PREFIX_PARTS + "~", 1000))
    for _ in range(3):
        collector.run()
        fleet.clock.advance(1e7)
    assert len(fleet.state.list_range(PREFIX_PARTS, PREFIX_PARTS + "~", 1000)) == parts


def test_odd_name_of_a_steward_does_not_hide_the_others():
    fleet = FakeFleet()
    fleet.stores["n0"].put(PREFIX_STEWARDS + "lm", b"\xff\xfe", expected=0)
    fleet.stores["n0"].put(PREFIX_STEWARDS + "other", b"n1", expected=0)
    assert fleet.fleets["n0"].list_stewards()["other"] == "n1"


@pytest.mark.parametrize(
    "reply", [{"revision": "x"}, {"revision": float("inf")}, {"revision": []}, {}]
)
def test_odd_revision_of_a_peer_does_not_hide_the_others(reply, monkeypatch):
    fleet = FakeFleet()
    fleet.fleets["n0"].apply(create_files(), base=None)
    peers = fleet.fleets["n0"].configuration._peers
    gather = peers.gather
    monkeypatch.setattr(peers, "gather", lambda *a, **k: {**gather(*a, **k), "n1": reply})
    in_force = fleet.fleets["n0"].fetch_revisions_in_force()
    assert (in_force["n0"], in_force["n2"]) == (1, 1)


VALUES = st.none() | st.integers(-9, 9) | st.floats() | st.text(max_size=3) | st.lists(st.text())


@settings(derandomize=True, max_examples=300)
@given(
    data=st.binary(max_size=40)
    | st.dictionaries(st.sampled_from([*MANIFEST]), VALUES).map(
        lambda change: msgspec.msgpack.encode({**MANIFEST, **change})
    )
)
def test_any_manifest_is_read_or_a_part_error(data):
    with contextlib.suppress(ConfigurationPartError):
        assert isinstance(messages.decode_manifest(data)["revision"], int)


# One engine whose client failed unexpectedly ended the round over all engines of the service.
def test_unexpected_error_of_an_engine_does_not_stop_the_others(monkeypatch):
    fleet = FakeFleet(engines=3)
    fleet.fleets["n0"].apply(create_files("1"), base=0)
    fleet.list_targets()
    odd, *others = fleet.engines.values()

    def fail():
        raise OverflowError("too large")

    monkeypatch.setattr(odd, "fetch_load", fail)
    for _ in range(8):
        fleet.run_stewards()
        fleet.clock.advance(2.0)
    assert [engine.models.get("homily") for engine in others] == ["1", "1"]
