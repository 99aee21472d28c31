"""Tests of the software version at which streams and items go on, in a release under faults."""

from __future__ import annotations

import random
from typing import Any

import pytest

from clementinepin.systems import dispatching, stream_versions
from clementinepin.systems.dispatch_actions import (
    Granted,
    PreemptionRequested,
    Rejected,
    RunOutcome,
)
from clementinepin.systems.stream_versions import STREAMS_MAX, VERSION_MEMORY_S
from clementinepin.tables.dispatch import DispatchTable, PendingRequest, TargetLoad
from tests.systems.dispatch_parts import fill, make_item, make_request, make_table


@pytest.fixture
def rng() -> random.Random:
    return random.Random(3)


def make_release(*versions: str, slots: int = 2) -> DispatchTable:
    """Return a table with one target of each version, ``t0`` first."""
    table = make_table(targets=len(versions), slots=slots)
    for target, version in zip(table.targets.values(), versions, strict=True):
        target.software_version = version
    record(table, *versions, now=0.0)
    return table


def record(table: DispatchTable, *versions: str, now: float) -> None:
    stream_versions.record_versions(table, [("llm", version) for version in versions], now)


def begin(table: DispatchTable, stream_id: str, now: float, rng: random.Random) -> str:
    """Grant a new stream and return the software version of its target."""
    request = make_request(1, now, stream_id=stream_id, stream_until=now + 5.0)
    (granted,) = dispatching.submit(table, request, now, rng)
    assert isinstance(granted, Granted)
    dispatching.finish(table, granted.key, RunOutcome.CANCELLED, now)
    return table.targets[granted.target_id].software_version


def resume(stream_id: str, number: int = 2, now: float = 1.0) -> PendingRequest:
    return make_request(number, now, stream_id=stream_id, is_resumption=True)


def test_a_stream_goes_on_at_no_other_service(rng: random.Random) -> None:
    """Guards against a stream joined from two services as its route moved (review/8)."""
    table = make_release("v1", "v1")
    table.targets["t2"] = TargetLoad("t2", "other", "a", 2)
    table.targets["t2"].software_version = "v1"
    begin(table, "q1", 0.0, rng)
    moved = resume("q1")._replace(service="other")
    (rejected,) = dispatching.submit(table, moved, 1.0, rng)
    assert isinstance(rejected, Rejected)
    assert rejected.reason == "the stream began at another service"
    assert isinstance(dispatching.submit(table, resume("q1"), 1.0, rng)[0], Granted)


def test_a_resumed_stream_waits_for_its_version_and_takes_no_other(rng: random.Random) -> None:
    table = make_release("v1", "v2", slots=1)
    version = begin(table, "q1", 0.0, rng)
    (own,) = [t for t in table.targets.values() if t.software_version == version]
    dispatching.adopt_grant(table, make_request(5, 1.0), own.target_id, 1.0)
    stream = resume("q1")._replace(on_time_by=9.0, deadline=9.0)
    assert dispatching.submit(table, stream, 1.0, rng) == []
    assert dispatching.serve_queue(table, 1.1, rng) == []
    dispatching.finish(table, ("f", 5), RunOutcome.SERVED, 1.2)
    assert dispatching.serve_queue(table, 1.2, rng) == [Granted(stream.key, own.target_id)]


@pytest.mark.parametrize("versions", [("v1", "v2", "v2", "v2"), ("v2", "v2", "v2", "v1")])
def test_streams_of_a_release_go_on_where_they_began(
    rng: random.Random, versions: tuple[str, ...]
) -> None:
    """Mutation: ignore the version when choosing a target: most streams change it."""
    table = make_release(*versions, slots=8)
    for n in range(12):
        version = begin(table, f"q{n}", 0.1 * n, rng)
        (action,) = dispatching.submit(table, resume(f"q{n}", 100 + n, 0.1 * n), 0.1 * n, rng)
        assert isinstance(action, Granted)
        assert table.targets[action.target_id].software_version == version


def test_a_preemption_for_a_stream_is_at_its_version(rng: random.Random) -> None:
    table = make_release("v1", "v2", slots=1)
    for n in range(2):
        assert dispatching.submit(table, make_item(n), 0.0, rng)
    stream_versions.record_stream(table, "q1", "v2", 5.0, 0.0)
    actions = dispatching.submit(table, resume("q1"), 1.0, rng)
    assert [type(a) for a in actions] == [PreemptionRequested, Granted]
    assert table.targets[actions[1].target_id].software_version == "v2"  # type: ignore[union-attr]


def test_the_version_of_an_unknown_stream_is_the_only_one_there_was(rng: random.Random) -> None:
    table = make_release("v1", "v1")
    (action,) = dispatching.submit(table, resume("q9"), 1.0, rng)
    assert isinstance(action, Granted)
    record(table, "v1", "v2", now=2.0)
    (rejected,) = dispatching.submit(table, resume("q9"), 3.0, rng)
    assert isinstance(rejected, Rejected)
    record(table, "v1", now=4.0)
    (rejected,) = dispatching.submit(table, resume("q9"), 4.0 + VERSION_MEMORY_S / 2, rng)
    assert isinstance(rejected, Rejected)
    now = 5.0 + VERSION_MEMORY_S
    (action,) = dispatching.submit(table, resume("q9", 3, now), now, rng)
    assert isinstance(action, Granted)


def test_an_instance_that_follows_no_targets_knows_only_recorded_streams(
    rng: random.Random,
) -> None:
    """An entry cut off in a release resumed streams of the new version at the former one."""
    table = make_release("v1", "v1")
    stream_versions.record_stream(table, "q1", "v1", 5.0, 0.0)
    table.streams.confirmed_at = 0.5
    (rejected,) = dispatching.submit(table, resume("q9"), 1.0, rng)
    assert isinstance(rejected, Rejected)
    (granted,) = dispatching.submit(table, resume("q1"), 1.0, rng)
    assert isinstance(granted, Granted)


def test_a_stream_whose_version_is_gone_is_rejected_at_once(rng: random.Random) -> None:
    table = make_release("v2", "v2")
    stream_versions.record_stream(table, "q1", "v1", 5.0, 0.0)
    (rejected,) = dispatching.submit(table, resume("q1"), 1.0, rng)
    assert isinstance(rejected, Rejected)
    assert rejected.reason == "no target of the software version"


def test_a_waiting_stream_is_rejected_once_its_version_is_gone(rng: random.Random) -> None:
    table = make_release("v1", "v2", slots=1)
    fill(table, 2, rng)
    waiting = make_request(9, 0.0, software_version="v1", on_time_by=4.0, deadline=4.5)
    assert dispatching.submit(table, waiting, 0.0, rng) == []
    del table.targets["t0"]
    (rejected,) = dispatching.serve_queue(table, 0.1, rng)
    assert isinstance(rejected, Rejected)


def test_a_request_bound_to_a_version_holds_no_other_up(rng: random.Random) -> None:
    """Mutation: block the service behind it: the free slot of the other version stays empty."""
    table = make_release("v1", "v2", slots=1)
    fill(table, 2, rng)
    bound = make_request(8, 0.0, software_version="v1", on_time_by=3.0, deadline=4.0)
    other = make_request(9, 0.0, on_time_by=3.5, deadline=4.0)
    assert dispatching.submit(table, bound, 0.0, rng) == []
    assert dispatching.submit(table, other, 0.0, rng) == []
    for key, grant in list(table.grants.items()):
        if grant.target_id == "t1":
            dispatching.finish(table, key, RunOutcome.SERVED, 0.1)
    assert dispatching.serve_queue(table, 0.1, rng) == [Granted(other.key, "t1")]


def test_an_item_bound_to_a_version_holds_no_other_item_up(rng: random.Random) -> None:
    table = make_release("v1", "v2", slots=1)
    for n in range(2):
        assert dispatching.submit(table, make_item(n), 0.0, rng)
    bound = make_item(8, on_time_by=1.0, software_version="v1")
    other = make_item(9, on_time_by=2.0)
    for item in (bound, other):
        assert dispatching.submit(table, item, 0.0, rng) == []
    for key, grant in list(table.grants.items()):
        if grant.target_id == "t1":
            dispatching.finish(table, key, RunOutcome.SERVED, 0.1)
    assert dispatching.serve_queue(table, 0.1, rng) == [Granted(other.key, "t1")]
    assert list(table.items["llm"]) == [bound.key]
    del table.targets["t0"]
    assert dispatching.serve_queue(table, 0.2, rng) == []  # checked once a slot is free
    dispatching.finish(table, other.key, RunOutcome.SERVED, 0.3)
    (rejected,) = dispatching.serve_queue(table, 0.3, rng)
    assert isinstance(rejected, Rejected)


def test_items_bound_to_the_only_version_cost_nothing_while_all_slots_are_taken(
    rng: random.Random, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Mutation: try each bound item in each pass: a backlog of resumed items fills a core."""
    table = make_release("v1", "v1", slots=1)
    fill(table, 2, rng)
    for n in range(50):
        assert dispatching.submit(table, make_item(n, software_version="v1"), 0.0, rng) == []
    tries: list[PendingRequest] = []
    choose = dispatching.choose_target

    def count_tries(*args: Any) -> TargetLoad | None:
        tries.append(args[2])
        return choose(*args)

    monkeypatch.setattr(dispatching, "choose_target", count_tries)
    assert dispatching.serve_queue(table, 0.1, rng) == []
    assert len(tries) <= 2


def test_recorded_streams_expire_and_are_bounded() -> None:
    table = make_release("v1")
    for n in range(STREAMS_MAX + 10):
        stream_versions.record_stream(table, f"q{n}", "v1", 5.0, 0.0)
    assert len(table.streams.begun) == STREAMS_MAX
    assert stream_versions.find_stream_version(table, f"q{STREAMS_MAX}", 1.0) == "v1"
    assert stream_versions.find_stream_version(table, f"q{STREAMS_MAX}", 6.0) is None
    stream_versions.record_stream(table, "new", "v1", 12.0, 7.0)
    assert list(table.streams.begun) == ["new"]


def test_versions_of_many_releases_are_forgotten() -> None:
    table = make_release("v0")
    for n in range(1, 500):
        record(table, f"v{n}", now=n * VERSION_MEMORY_S)
    assert len(table.streams.gone_at["llm"]) <= 2


def test_a_new_instance_resumes_no_stream_of_a_version_that_went_before_it_started(
    rng: random.Random,
) -> None:
    """Guards against streams of two versions after a kill of all processes (review/5)."""
    table = make_release("v2", "v2")
    stream_versions.merge_versions(table.streams, {"llm": ["v1", "v2"]}, float("-inf"), 1.0)
    (rejected,) = dispatching.submit(table, resume("q9"), 1.5, rng)
    assert isinstance(rejected, Rejected)
    now = 2.0 + VERSION_MEMORY_S
    (action,) = dispatching.submit(table, resume("q9", 3, now), now, rng)
    assert isinstance(action, Granted)


def test_a_new_instance_resumes_streams_of_the_only_version_there_was(rng: random.Random) -> None:
    table = make_release("v1", "v1")
    stream_versions.merge_versions(table.streams, {"llm": ["v1"]}, float("-inf"), 1.0)
    (action,) = dispatching.submit(table, resume("q9"), 1.5, rng)
    assert isinstance(action, Granted)


def test_without_knowledge_of_former_versions_only_recorded_streams_go_on(
    rng: random.Random,
) -> None:
    table = make_release("v2", "v2")
    table.streams.complete_since = 0.5
    (rejected,) = dispatching.submit(table, resume("q9"), 1.0, rng)
    assert isinstance(rejected, Rejected)
    stream_versions.record_stream(table, "q1", "v2", 5.0, 1.0)
    (granted,) = dispatching.submit(table, resume("q1"), 1.0, rng)
    assert isinstance(granted, Granted)


@pytest.mark.parametrize("seed", range(20))
def test_restarts_in_a_release_join_no_versions(seed: int) -> None:
    """Replays a release in which all instances restart, with callers that resume (review/5)."""
    draw = random.Random(seed)
    begun: dict[str, str] = {}
    recorded: set[str] = set()
    versions = ["v1"] * 4
    table = make_release(*versions)
    joined = resumed = 0
    for step in range(200):
        now = step * 0.1
        if draw.random() < 0.1:
            versions[draw.randrange(4)] = draw.choice(["v1", "v2", "v3"])
            for target, version in zip(table.targets.values(), versions, strict=True):
                target.software_version = version
            record(table, *versions, now=now)
        recorded = stream_versions.list_versions(table.streams, now)["llm"]
        if draw.random() < 0.05:
            table = make_release(*versions)
            stream_versions.merge_versions(table.streams, {"llm": recorded}, -1e9, now)
        if draw.random() < 0.5:
            begun[f"q{step}"] = begin(table, f"q{step}", now, draw)
        if begun and draw.random() < 0.5:
            stream_id = draw.choice(list(begun)[-5:])
            request = resume(stream_id, 1_000 + step, now)
            for action in dispatching.submit(table, request, now, draw):
                if isinstance(action, Granted):
                    resumed += 1
                    version = table.targets[action.target_id].software_version
                    joined += version != begun[stream_id]
                    dispatching.finish(table, action.key, RunOutcome.CANCELLED, now)
    assert joined == 0
    assert resumed


def test_a_view_older_than_the_resumption_tells_no_version(rng: random.Random) -> None:
    """Guards against streams that an instance out of step resumed at the former version."""
    table = make_release("v1", "v1")
    table.streams.confirmed_at = 2.0
    early, late = (resume("q9", n, 3.0)._replace(resumed_at=float(n)) for n in (1, 3))
    assert not stream_versions.needs_confirmation(table, early, 3.0)
    assert stream_versions.needs_confirmation(table, late, 3.0)
    (rejected,) = dispatching.submit(table, late, 3.0, rng)
    assert isinstance(rejected, Rejected)
    table.streams.confirmed_at = 3.0
    (granted,) = dispatching.submit(table, late, 3.0, rng)
    assert isinstance(granted, Granted)


def test_no_view_is_confirmed_for_streams_whose_version_that_can_not_tell() -> None:
    """Mutation: confirm for all: each resumption in a release costs calls of the store."""
    table = make_release("v1", "v2")
    table.streams.confirmed_at = 0.0
    stream_versions.record_stream(table, "q1", "v1", 5.0, 0.0)
    for request in (resume("q9"), resume("q1"), make_request(3, 1.0, stream_id="q2")):
        assert not stream_versions.needs_confirmation(table, request._replace(resumed_at=1.0), 1.0)


def test_a_stream_whose_grant_may_not_have_arrived_has_no_known_version(
    rng: random.Random,
) -> None:
    """Its instance lost the connection, went on by itself and began at the other version."""
    table = make_release("v1", "v2", slots=2)
    for n in range(2):
        request = make_request(n, 0.0, stream_id=f"q{n}", stream_until=5.0)
        assert dispatching.submit(table, request, 0.0, rng)
    dispatching.record_load(table, ("f", 0), -1, 0.1)
    dispatching.forget_streams_in_doubt(table, "other")
    assert set(table.streams.begun) == {"q0", "q1"}
    dispatching.forget_streams_in_doubt(table, "f")
    assert set(table.streams.begun) == {"q0"}
