"""Tests of the software versions of streams between instances and their dispatcher."""

from __future__ import annotations

import random
from typing import Any

import gevent
import pytest

from clementinepin.serving import _messages as messages
from clementinepin.serving._slot_requests import SlotRequest, make_request_message
from clementinepin.serving._slots import SlotBroker
from clementinepin.serving.exceptions import OverloadedError
from clementinepin.systems.dispatch_actions import RunOutcome
from tests.serving.test_slots import FakePools, Pair, acquire, make_request, start_pair


def make_stream(pair: Pair, stream_id: str, **changes: Any) -> SlotRequest:
    now = pair.broker._clock.monotonic()
    stream = make_request(now)._replace(stream_id=stream_id, stream_until=now + 5.0)
    return stream._replace(**changes)


def set_versions(pair: Pair, *versions: str) -> None:
    """Make the targets, one of each version, free again."""
    fleet = pair.broker._fleet
    for row, version in zip(list(fleet.targets.rows.values()), versions, strict=True):
        fleet.targets.rows[row.target_id] = row._replace(software_version=version)
    fleet.notify_listeners()  # type: ignore[attr-defined]
    for table in (pair.dispatcher.table, pair.broker._table):
        table.streams.gone_at.clear()


def test_a_stream_that_another_entry_began_goes_on_at_its_version() -> None:
    pair = start_pair(targets=2)
    set_versions(pair, "v1", "v2")
    other = SlotBroker(
        "f2", "a", pair.broker._fleet, FakePools(), pair.broker._clock, random.Random(1)  # type: ignore[arg-type]
    )
    other.start()
    with gevent.Timeout(5.0):
        while not other.is_linked:
            gevent.sleep(0.005)
    slots = [acquire(pair.broker, make_stream(pair, stream_id)) for stream_id in ("q1", "q2")]
    for slot in slots:
        pair.broker.release(slot, RunOutcome.CANCELLED, events=3)
    gevent.sleep(0.05)
    for slot, stream_id in zip(slots, ("q1", "q2"), strict=True):
        resumed = acquire(other, make_stream(pair, stream_id, is_resumption=True))
        assert resumed.target_id == slot.target_id
        other.release(resumed, RunOutcome.CANCELLED)
    with pytest.raises(OverloadedError, match="unknown software version"):
        acquire(other, make_stream(pair, "", is_resumption=True))


def test_a_new_dispatcher_learns_the_versions_of_streams() -> None:
    pair = start_pair(targets=2)
    set_versions(pair, "v1", "v2")
    pair.broker.release(acquire(pair.broker, make_stream(pair, "q1")), RunOutcome.CANCELLED)
    hello = pair.broker._make_hello()
    assert [(s.stream_id, s.software_version) for s in hello.streams] == [("q1", "v1")]
    assert 4.0 < hello.streams[0].ttl_s <= 5.0
    pair.dispatcher.table.streams.begun.clear()
    pair.broker._link.send(hello)
    with gevent.Timeout(5.0):
        while not pair.dispatcher.table.streams.begun:
            gevent.sleep(0.005)
    assert pair.dispatcher.table.streams.begun["q1"].software_version == "v1"


@pytest.mark.parametrize("is_linked", [True, False])
def test_an_unknown_stream_is_rejected_while_changes_of_targets_do_not_arrive(
    is_linked: bool,
) -> None:
    pair = start_pair(targets=2)
    set_versions(pair, "v1", "v1")
    if not is_linked:
        pair.broker._link.stop()
    stream = make_stream(pair, "q9", is_resumption=True)
    pair.broker.release(acquire(pair.broker, stream), RunOutcome.CANCELLED)
    for table in (pair.broker._table, pair.dispatcher.table):
        table.streams.confirmed_at = 0.0
    pair.broker._table.streams.begun.clear()
    pair.dispatcher.table.streams.begun.clear()
    with pytest.raises(OverloadedError, match="unknown software version"):
        acquire(pair.broker, stream)


def test_a_grant_names_the_version_that_it_was_decided_for() -> None:
    pair = start_pair(targets=2)
    set_versions(pair, "v1", "v2")
    slots = [acquire(pair.broker, make_stream(pair, stream_id)) for stream_id in ("q1", "q2")]
    assert [slot.software_version for slot in slots] == ["v1", "v2"]
    pair.broker._link.stop()
    for slot in slots:
        pair.broker.release(slot, RunOutcome.CANCELLED)
    assert acquire(pair.broker, make_stream(pair, "q3")).software_version == "v1"


def test_without_any_dispatcher_a_stream_that_has_not_begun_is_bound_to_no_version() -> None:
    """Guards against requests that fail though targets of another version could run them."""
    pair = start_pair(targets=2)
    set_versions(pair, "v1", "v2")
    pair.broker._link.stop()
    stream = make_stream(pair, "q1")
    slot = acquire(pair.broker, stream)
    pair.broker.release(slot, RunOutcome.BROKEN)
    other = acquire(pair.broker, stream._replace(excluded=frozenset({slot.target_id})))
    assert other.target_id != slot.target_id


def test_a_stream_is_bound_to_its_version_if_the_dispatcher_is_lost_while_it_is_asked() -> None:
    """Guards against a stream that begins at a version of which no dispatcher hears."""
    pair = start_pair(targets=2)
    set_versions(pair, "v1", "v2")
    slot = acquire(pair.broker, make_stream(pair, "q1"))
    pair.broker.release(slot, RunOutcome.BROKEN)
    again = make_stream(pair, "q1", excluded=frozenset({slot.target_id}))
    send = pair.broker._link.send

    def lose_connection(message: object) -> None:
        if isinstance(message, messages.RequestSlot):
            pair.broker._link.stop()
        send(message)  # type: ignore[arg-type]

    pair.broker._link.send = lose_connection  # type: ignore[method-assign]
    with pytest.raises(OverloadedError):
        acquire(pair.broker, again)


@pytest.mark.parametrize("has_response", [False, True])
def test_a_dispatcher_that_was_left_keeps_no_version_at_which_a_stream_did_not_begin(
    has_response: bool,
) -> None:
    """The instance begins the stream at another version through a second dispatcher."""
    pair, other = start_pair(targets=2), start_pair(targets=2)
    set_versions(pair, "v1", "v2")
    set_versions(other, "v1", "v2")
    slot = acquire(pair.broker, make_stream(pair, "q1"))
    if has_response:
        pair.broker.report_load(slot, None, None)
    pair.broker.release(slot, RunOutcome.BROKEN)
    gevent.sleep(0.05)
    link, (second,) = pair.broker._link, other.broker._fleet.members
    pair.broker._fleet.members[:] = [second._replace(name="d2")]
    link.recheck_dispatcher()
    with gevent.Timeout(5.0):
        while not (link.dispatcher_name == "d2" and link.is_responsive):
            gevent.sleep(0.005)
    again = make_stream(pair, "q1", excluded=frozenset({slot.target_id}))
    try:
        begun = acquire(pair.broker, again).software_version
    except OverloadedError:
        return
    known = pair.dispatcher.table.streams.begun.get("q1")
    assert known is None or known.software_version == begun


def test_a_dispatcher_forgets_a_stream_whose_request_was_withdrawn_behind_its_grant() -> None:
    """Its instance has waited for the grant too long, and begins the stream by itself."""
    pair = start_pair(targets=2)
    set_versions(pair, "v1", "v2")
    link = pair.dispatcher._links["f1"]
    now = pair.broker._clock.monotonic()
    request = make_request_message("a", 77, make_stream(pair, "q1"), [], now)
    pair.dispatcher._handle_request(link, request)
    assert "q1" in pair.dispatcher.table.streams.begun
    withdrawal = messages.ReleaseSlot(77, RunOutcome.CANCELLED)
    pair.dispatcher._handle_release(link, withdrawal)
    pair.dispatcher._release_all("f1")
    assert "q1" not in pair.dispatcher.table.streams.begun


def test_an_instance_knows_the_service_of_its_streams_whoever_dispatches() -> None:
    """Guards against a stream joined from two services as its route moved (review/8)."""
    pair = start_pair(targets=1)
    set_versions(pair, "v1")
    pair.broker.release(acquire(pair.broker, make_stream(pair, "q1")), RunOutcome.CANCELLED)
    pair.dispatcher.table.streams.begun.clear()
    moved = make_stream(pair, "q1", is_resumption=True, service="other")
    with pytest.raises(OverloadedError, match="began at service 'llm', not 'other'"):
        acquire(pair.broker, moved)
    assert [row.service for row in pair.broker._make_hello().streams] == ["llm"]
    pair.stop()
