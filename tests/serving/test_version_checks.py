"""Tests that an instance out of step in a release joins no streams of two software versions."""

from __future__ import annotations

import gevent
import gevent.event
import pytest

from clementinepin.helpers.clock import create_system_clock
from clementinepin.infrastructure import KeyValue
from clementinepin.platform import create_wire
from clementinepin.serving import _version_checks
from clementinepin.serving._fleet import FleetView
from clementinepin.serving._outages import StoreOutages
from clementinepin.serving._slot_requests import make_request_message
from clementinepin.serving._version_checks import VersionChecks
from clementinepin.serving._version_records import VersionRecord, VersionRecords, _encode
from clementinepin.serving.exceptions import OverloadedError
from clementinepin.systems import stream_versions
from clementinepin.systems.dispatch_actions import RunOutcome
from clementinepin.tables.dispatch import DispatchTable
from clementinepin.tables.streams import StreamTable
from tests.serving.harness import Harness, get_status, send_events
from tests.serving.memory_store import MemoryStore
from tests.serving.parts import SETTINGS
from tests.serving.scripted import ScriptedTarget, call
from tests.serving.test_slot_versions import make_stream, set_versions
from tests.serving.test_slots import Pair, acquire, start_pair

RESUMED = ("Clementinepin-Request-Id: q2", "Resumes: q1", "Last-Event-Id: 2")
ENTRY = (
    '{"service": "llm", "address": "127.0.0.1:%d", "zone": "a", "version": "%s",'
    ' "state": "ready", "slots": 8}'
)


def register(harness: Harness, target: ScriptedTarget, name: str, version: str) -> None:
    """Write a target's entry into the store."""
    store = get_store(harness)
    store.version += 1
    entry = (ENTRY % (target.port, version)).encode()
    store.rows[f"servers/{name}"] = KeyValue(f"servers/{name}", entry, store.version)


def get_store(harness: Harness) -> MemoryStore:
    return harness.app.fleet._store._direct_store._store  # type: ignore[attr-defined]


@pytest.fixture
def release(harness: Harness) -> Harness:
    """Return an instance that has seen one target of v1, and takes its view for current."""
    harness.app._forwarder._slots = harness.app.slots
    harness.set_route(resumable=True, attempts_max=2)
    harness.app.fleet.subscribe(harness.app.slots._update_targets)
    harness.app.slots.streams.complete_since = float("-inf")
    former = harness.add_target(ScriptedTarget(send_events(3)))
    register(harness, former, "t0", "v1")
    follower = harness.app.fleet.followers["targets"]
    follower.receive_rows(list(get_store(harness).rows.values()), 1)
    assert follower.is_direct()
    return harness


def test_an_instance_that_missed_a_new_version_resumes_no_stream_of_it(release: Harness) -> None:
    """Guards against streams that went on at the former version behind a suspension (issue 41)."""
    later = release.add_target(ScriptedTarget())
    register(release, later, "t1", "v2")
    response = call(release.port, *RESUMED)
    assert get_status(response) == 503
    assert b"retry-after" in response.lower()
    assert not any(target.requests for target in release._targets)


def test_an_instance_that_missed_nothing_resumes_streams_of_the_only_version(
    release: Harness,
) -> None:
    assert get_status(call(release.port, *RESUMED)) == 200


def test_a_version_that_came_and_went_unseen_is_in_the_record(release: Harness) -> None:
    """An instance was cut off while both the first and the last target of a version came."""
    release.app._version_records._complete_since_ms = 0
    store = get_store(release)
    value = _encode(VersionRecord(0, {"llm": ["v1", "v2"]}))
    store.rows["cp/versions"] = KeyValue("cp/versions", value, 2)
    assert get_status(call(release.port, *RESUMED)) == 503


def test_without_the_store_no_stream_of_an_unknown_version_is_resumed(release: Harness) -> None:
    get_store(release).down = True
    assert get_status(call(release.port, *RESUMED)) == 503


class SlowStore(MemoryStore):
    """A store whose lists take a while."""

    def list_hedged(self, prefix: str):  # type: ignore[no-untyped-def]
        gevent.sleep(0.02)
        return super().list_hedged(prefix)


def create_checks(store: MemoryStore) -> tuple[VersionChecks, StreamTable]:
    clock = create_system_clock()
    fleet = FleetView(SETTINGS, store, create_wire(), clock, StoreOutages(clock))
    records = VersionRecords(store, "cp/", fleet, clock, "s1")
    checks = VersionChecks(fleet, records, clock)
    streams = DispatchTable().streams
    checks.add_table(streams)
    return checks, streams


def test_resumptions_at_the_same_time_share_the_calls_of_the_store() -> None:
    """Mutation: a check each: all callers resume at once behind a kill of their targets."""
    store = SlowStore()
    checks, streams = create_checks(store)
    called_at = create_system_clock().monotonic()
    gevent.joinall([gevent.spawn(checks.confirm) for _ in range(50)])
    assert store.reads == 2
    checks.confirm()
    assert store.reads == 4
    assert streams.confirmed_at >= called_at


def test_resumptions_one_after_the_other_share_the_calls_of_the_store() -> None:
    """Mutation: begin each check at once: a fleet that restarted pays for hundreds of reads."""
    store = MemoryStore()
    checks, _ = create_checks(store)
    checks.confirm()
    waiting = []
    for _ in range(20):
        waiting.append(gevent.spawn(checks.confirm))
        gevent.sleep(0)
    gevent.joinall(waiting)
    assert store.reads == 4


def test_a_check_that_began_before_a_resumption_confirms_nothing_for_it() -> None:
    store = SlowStore()
    checks, streams = create_checks(store)
    gevent.spawn(checks.confirm)
    gevent.sleep(0.005)
    called_at = create_system_clock().monotonic()
    checks.confirm()
    assert streams.confirmed_at >= called_at


def test_a_store_that_never_replies_holds_no_resumption_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_version_checks, "CONFIRM_TIMEOUT_S", 0.03)
    store = SlowStore()
    checks, streams = create_checks(store)
    monkeypatch.setattr(store, "list_hedged", lambda _prefix: gevent.sleep(60.0))
    with gevent.Timeout(5.0):
        checks.confirm()
    assert streams.confirmed_at == float("-inf")


def confirm_as(pair: Pair, *versions: str) -> None:
    """Let a check of the dispatcher find out that the targets have these versions."""

    def confirm() -> None:
        set_versions(pair, *versions)
        gevent.sleep(0.01)
        pair.dispatcher.table.streams.confirmed_at = float("inf")

    pair.dispatcher.confirm_versions = confirm
    pair.dispatcher.table.streams.confirmed_at = 0.0


def test_a_dispatcher_that_missed_a_new_version_resumes_no_stream_of_it() -> None:
    """Guards against streams that went on at the former version behind a suspension (issue 41)."""
    pair = start_pair(targets=2)
    set_versions(pair, "v1", "v1")
    confirm_as(pair, "v1", "v2")
    with pytest.raises(OverloadedError, match="unknown software version"):
        acquire(pair.broker, make_stream(pair, "q9", is_resumption=True))
    set_versions(pair, "v1", "v1")
    confirm_as(pair, "v1", "v1")
    slot = acquire(pair.broker, make_stream(pair, "q9", is_resumption=True))
    assert slot.software_version == "v1"


def test_a_resumption_that_was_withdrawn_while_it_was_confirmed_takes_no_slot() -> None:
    pair = start_pair(targets=1)
    set_versions(pair, "v1")
    confirm_as(pair, "v1")
    cancels = []
    waiter = gevent.spawn(
        pair.broker.acquire, make_stream(pair, "q9", is_resumption=True), cancels.append
    )
    with gevent.Timeout(5.0):
        while not pair.dispatcher._unconfirmed:
            gevent.sleep(0)
    cancels[0]()
    gevent.sleep(0.05)
    assert not pair.dispatcher.table.grants
    assert not pair.dispatcher._unconfirmed
    assert not waiter.successful()


def test_a_stream_that_only_a_dispatcher_knows_waits_for_the_connection() -> None:
    """Guards against rejecting what could go on, at an instance that was suspended."""
    pair = start_pair(targets=2)
    set_versions(pair, "v1", "v2")
    stream = make_stream(pair, "q9", is_resumption=True)
    now = pair.broker._clock.monotonic()
    stream_versions.record_stream(pair.dispatcher.table, "q9", "v2", now + 60.0, now)
    pair.broker._link.drop()
    assert not pair.broker.is_linked
    assert acquire(pair.broker, stream).software_version == "v2"


def test_a_stream_begins_at_the_version_that_a_lost_dispatcher_was_told() -> None:
    """Guards against streams that other callers' instances resume at a version that was granted.

    The target of the grant failed before the first event, and the connection was lost then.
    """
    pair = start_pair(targets=3)
    set_versions(pair, "v1", "v2", "v1")
    slot = acquire(pair.broker, make_stream(pair, "q1"))
    granted = slot.software_version
    pair.broker.release(slot, RunOutcome.BROKEN)
    pair.broker._link.stop()
    again = make_stream(pair, "q1", excluded=frozenset({slot.target_id}))
    assert acquire(pair.broker, again).software_version == granted
    with pytest.raises(OverloadedError):
        acquire(pair.broker, again._replace(excluded=frozenset({"t0", "t2"})))


def test_a_stream_that_no_dispatcher_was_told_of_may_begin_at_any_version() -> None:
    """Mutation: keep to the first version: the last target of a version fails its retries too."""
    pair = start_pair(targets=2)
    set_versions(pair, "v1", "v2")
    pair.broker._link.stop()
    slot = acquire(pair.broker, make_stream(pair, "q1"))
    pair.broker.release(slot, RunOutcome.BROKEN)
    again = make_stream(pair, "q1", excluded=frozenset({slot.target_id}))
    assert acquire(pair.broker, again).software_version != slot.software_version


def test_a_dispatcher_forgets_a_stream_whose_grant_may_not_have_arrived() -> None:
    pair = start_pair(targets=2)
    slots = [acquire(pair.broker, make_stream(pair, stream_id)) for stream_id in ("q1", "q2")]
    pair.broker.report_load(slots[0], None, None)
    gevent.sleep(0.05)
    pair.broker._link.stop()
    with gevent.Timeout(5.0):
        while pair.dispatcher.table.grants:
            gevent.sleep(0.005)
    assert set(pair.dispatcher.table.streams.begun) == {"q1"}


@pytest.mark.parametrize(("lost_s", "name"), [(5.0, "d1"), (0.1, "d2")])
def test_an_instance_that_was_cut_off_goes_back_to_the_dispatcher_that_it_had(
    lost_s: float, name: str
) -> None:
    """Another one rejects streams that it doesn't know. Mutation: keep skipping the first."""
    pair, other = start_pair(targets=1), start_pair(targets=1)
    (first,), (second,) = pair.broker._fleet.members, other.broker._fleet.members
    pair.broker._fleet.members.append(second._replace(name="d2", started_ms=1))
    link = pair.broker._link
    now = pair.broker._clock.monotonic()
    link.drop()
    link._skipped_until[first.name] = now + 60.0
    link._lost_at = now - lost_s
    seen: list[str] = []
    link.on_open = seen.append
    with gevent.Timeout(5.0):
        while not seen or not link.is_responsive:
            gevent.sleep(0.005)
    gevent.sleep(0.1)
    assert seen[0] == "d2"
    assert link.dispatcher_name == name


def test_a_request_of_a_restarted_instance_is_not_taken_for_its_former_one() -> None:
    """Its numbers begin again, and requests of the former process may still wait for a check."""
    pair = start_pair(targets=2)
    set_versions(pair, "v1", "v1")
    dispatcher, now = pair.dispatcher, pair.broker._clock.monotonic()
    dispatcher.table.streams.confirmed_at = 0.0
    waits = [gevent.event.Event(), gevent.event.Event()]
    pending_waits = iter(waits)
    dispatcher.confirm_versions = lambda: next(pending_waits).wait() and None
    link = dispatcher._links["f1"]
    former, later = (
        make_request_message("a", 1, make_stream(pair, stream_id, is_resumption=True), [], now)
        for stream_id in ("q8", "q9")
    )
    dispatcher._handle_request(link, former)
    gevent.sleep(0)
    dispatcher._handle_hello(link, pair.broker._make_hello())
    dispatcher._handle_request(link, later)
    gevent.sleep(0)
    dispatcher.table.streams.confirmed_at = float("inf")
    waits[0].set()
    gevent.sleep(0.01)
    assert "q8" not in dispatcher.table.streams.begun
    waits[1].set()
    gevent.sleep(0.01)
    assert "q9" in dispatcher.table.streams.begun
