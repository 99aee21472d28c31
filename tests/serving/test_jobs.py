"""Callers' calls on jobs: accepted once, read by position, ended, and true when refused."""

from __future__ import annotations

import gevent
import msgspec
import pytest

from clementinepin.exceptions import Outcome
from clementinepin.helpers.clock import create_system_clock
from clementinepin.infrastructure.exceptions import (
    CutOffError,
    ReplyLostError,
    VersionConflictError,
)
from clementinepin.platform import create_wire
from clementinepin.serving import _job_records as records
from clementinepin.serving import _jobs, _settling
from clementinepin.serving._job_views import JobView, JobViews
from clementinepin.serving._jobs import JobDesk
from clementinepin.serving._links import InstanceLinks, LinkServer
from clementinepin.serving.exceptions import (
    AnswerLostError,
    BadRequestError,
    DeadlineError,
    JobNotFoundError,
    OverloadedError,
    TokensExhaustedError,
)
from clementinepin.serving.models import ItemResult, ItemState, Member, RouteKind
from clementinepin.serving.wire import JobCall
from tests.serving.memory_store import MemoryStore
from tests.serving.parts import make_items, make_route
from tests.serving.test_slots import find_port

ROUTE = make_route(kind=RouteKind.JOB, tokens_max=1000)
RESULT = ItemResult("i0", ItemState.COMPLETED, "text 0")


class FakeFleet:
    def __init__(self) -> None:
        self.runners: list[Member] = []

    def list_job_runners(self) -> list[Member]:
        return self.runners


class Owner:
    """An instance that answers reads of the jobs that it owns."""

    def __init__(self, name: str) -> None:
        port = find_port()
        self.sure = True
        self.owner_named = ""
        self.links = LinkServer(("127.0.0.1", port))
        self.views = JobViews(self.links, lambda: self.sure, lambda job_id: self.owner_named)
        self.links.start()
        self.member = Member(name, True, "127.0.0.1", port, "", "a", "r", False)


class Desk:
    def __init__(self) -> None:
        self.store = MemoryStore()
        self.fleet = FakeFleet()
        self.desk = JobDesk(
            self.store,
            self.fleet,  # type: ignore[arg-type]
            InstanceLinks(create_system_clock()),
            create_wire(),
            create_system_clock(),
        )
        self.keys = records.JobKeys("cp/", "j1")

    def submit(self, count: int = 2, tokens: int = 100) -> None:
        self.desk.submit("j1", "h.example", ROUTE, make_items(count, tokens))

    def read(self, after: int = 0, wait_s: float = 0.0) -> dict[str, object]:
        body = self.desk.read(JobCall("read", "j1", after, wait_s=wait_s))
        return msgspec.json.decode(body)  # type: ignore[no-any-return]

    def list_result(self, result: ItemResult) -> None:
        progress, version = records.fetch_progress(self.store, self.keys)
        listed = (*progress.listed, records.ListedItem(result.item_id, result.state, 100))
        changed = msgspec.structs.replace(progress, listed=listed)
        position = len(listed) - 1
        self.store.apply(
            records.make_progress_change(self.keys, version, changed, {position: result})
        )


@pytest.fixture
def desk(monkeypatch):
    monkeypatch.setattr(_jobs, "CALL_TIMEOUT_S", 0.2)
    monkeypatch.setattr(_jobs, "READ_TIMEOUT_S", 0.07)
    monkeypatch.setattr(_settling, "STORE_RETRY_S", 0.01)
    return Desk()


def test_a_job_is_accepted_once_however_often_it_comes(desk):
    desk.submit()
    version = desk.store.version
    desk.submit()
    assert desk.store.version == version


@pytest.mark.parametrize("fault", ["lost", "late", "unavailable"])
def test_a_write_that_fails_once_is_settled(desk, fault):
    desk.store.faults.append(fault)
    desk.submit()
    desk.store.do_late_writes()
    progress, _ = records.fetch_progress(desk.store, desk.keys)
    assert progress.total == 2


def test_a_job_that_may_be_stored_is_never_told_as_not_run(desk):
    desk.store.faults.extend(["late"] * 200)
    with pytest.raises(DeadlineError):
        desk.submit()


def test_a_job_that_is_not_stored_is_told_when_to_return(desk):
    desk.store.down = True
    with pytest.raises(OverloadedError) as caught:
        desk.submit()
    assert caught.value.retry_after_s > 0
    assert not desk.store.rows


def test_a_job_that_does_not_fit_is_refused_whole(desk):
    desk.submit(2, 100)
    with pytest.raises(TokensExhaustedError):
        desk.desk.submit("j2", "h.example", ROUTE, make_items(9, 100))
    assert "js/j2" not in desk.store.rows


def test_a_job_that_is_there_already_fits_always(desk):
    desk.submit(10, 100)
    desk.submit(10, 100)


def test_finished_and_ended_work_counts_no_tokens(desk):
    desk.submit(10, 100)
    desk.desk.end(JobCall("end", "j1"))
    desk.desk.submit("j2", "h.example", ROUTE, make_items(10, 100))


def test_results_are_read_by_position_from_the_store(desk):
    desk.submit()
    desk.list_result(RESULT)
    page = desk.read()
    assert (page["total"], page["next_token"]) == (2, 1)
    assert page["results"] == [{"id": "i0", "state": "completed", "text": "text 0"}]
    assert desk.read(1)["results"] == []


def test_results_come_from_the_owner_without_a_call_to_the_store(desk):
    owner = Owner("s1")
    desk.fleet.runners = [owner.member]
    owner.views.put("j1", JobView(2, [RESULT]))
    assert desk.read()["next_token"] == 1
    assert desk.read()["next_token"] == 1
    assert desk.store.reads == 0
    owner.links.stop()


def test_a_held_read_ends_with_the_next_result(desk):
    owner = Owner("s1")
    desk.fleet.runners = [owner.member]
    view = JobView(2, [])
    owner.views.put("j1", view)
    gevent.spawn_later(0.05, view.extend, [RESULT])
    assert desk.read(0, wait_s=2.0)["next_token"] == 1
    owner.links.stop()


def test_an_owner_that_may_be_replaced_is_not_believed(desk):
    desk.submit()
    desk.list_result(RESULT)
    owner = Owner("s1")
    owner.views.put("j1", JobView(2, []))
    owner.sure = False
    desk.fleet.runners = [owner.member]
    assert desk.read()["next_token"] == 1
    owner.links.stop()


def test_the_owner_that_another_names_is_asked(desk):
    first, second = Owner("s1"), Owner("s2")
    first.owner_named, second.owner_named = "s2", "s1"
    desk.fleet.runners = [first.member, second.member]
    second.views.put("j1", JobView(2, [RESULT]))
    assert desk.read()["next_token"] == 1
    assert desk.store.reads == 0
    first.links.stop()
    second.links.stop()


def test_a_silent_owner_is_passed_over(desk):
    desk.submit()
    desk.list_result(RESULT)
    owner = Owner("s1")
    desk.fleet.runners = [owner.member]
    owner.links.stop()
    assert desk.read()["next_token"] == 1


def test_an_unknown_job_is_not_found_only_by_the_store(desk):
    with pytest.raises(JobNotFoundError):
        desk.read()
    desk.store.down = True
    with pytest.raises(OverloadedError):
        desk.read()


def test_bodies_stay_until_the_job_is_removed(desk):
    desk.submit()
    assert desk.desk.read_body(JobCall("body", "j1", item_id="i1")) == b"body"
    with pytest.raises(JobNotFoundError):
        desk.desk.read_body(JobCall("body", "j1", item_id="zz"))


def test_an_end_is_confirmed_again(desk):
    desk.submit()
    for _ in range(2):
        desk.desk.end(JobCall("end", "j1"))
    assert desk.keys.ended in desk.store.rows


def test_an_end_wins_against_results_that_come_meanwhile(desk):
    desk.submit()
    desk.store.faults.append("unavailable")
    desk.list_result(RESULT)
    desk.desk.end(JobCall("end", "j1"))
    progress, _ = records.fetch_progress(desk.store, desk.keys)
    assert progress.ended
    assert len(progress.listed) == 1


@pytest.mark.parametrize("job_id", ["", "x" * 200])
def test_an_id_that_fits_no_key_is_refused(desk, job_id):
    with pytest.raises(BadRequestError):
        desk.desk.submit(job_id, "h.example", ROUTE, make_items(1))


@pytest.mark.parametrize(
    "body",
    [
        b"{",
        b"{}",
        b'{"items":[]}',
        b'{"items":[{"id":"a","path":"/x","body":"%%%"}]}',
        b'{"items":[{"id":"a","path":"/x","body":""},{"id":"a","path":"/x","body":""}]}',
        b'{"items":[' + b",".join([b'{"id":"a","path":"/x","body":""}'] * 201) + b"]}",
    ],
)
def test_a_malformed_job_is_refused_whole(body):
    with pytest.raises(BadRequestError):
        create_wire().read_job(body)


def test_an_end_that_may_be_stored_is_never_told_as_not_run(desk, monkeypatch):
    desk.submit()
    failures = [ReplyLostError("no answer"), VersionConflictError("js/j1", 9, None)]

    def fail(change):
        failure = failures.pop(0)
        desk.store.down = not failures
        raise failure

    monkeypatch.setattr(desk.store, "write", fail)
    with pytest.raises(DeadlineError):
        desk.desk.end(JobCall("end", "j1"))


def test_an_instance_that_is_cut_off_sends_the_caller_elsewhere_at_once(desk, monkeypatch):
    """Day scale-2 of kirkvoice-serve: a job waited three seconds at a front that was cut off.

    Its second try had no time left, though four other fronts could have stored it.
    """
    monkeypatch.setattr(_jobs, "CALL_TIMEOUT_S", 60.0)
    monkeypatch.setattr(_jobs, "READ_TIMEOUT_S", 60.0)

    def fail(*_args):
        raise CutOffError("no helper answers")

    for name in ("write", "get", "list_range", "list_page"):
        monkeypatch.setattr(desk.store, name, fail)
    for act in (desk.submit, desk.read, lambda: desk.desk.end(JobCall("end", "j1"))):
        with gevent.Timeout(5.0), pytest.raises(OverloadedError) as caught:
            act()
        assert caught.value.retry_after_s < 0.1


def test_a_write_that_may_be_stored_stays_unknown_when_the_instance_is_cut_off(desk, monkeypatch):
    failures = [ReplyLostError("no answer")]

    def fail(_change):
        raise failures.pop() if failures else CutOffError("no helper answers")

    monkeypatch.setattr(desk.store, "write", fail)
    with pytest.raises(DeadlineError):
        desk.submit()


def test_no_failure_of_unknown_outcome_bears_a_status_that_promises_not_run():
    """429, 503, 408 and 421 promise that the request has not run and never will."""
    for kind in (ReplyLostError, DeadlineError, AnswerLostError):
        assert kind("x").outcome is Outcome.OUTCOME_UNKNOWN
        assert kind("x").status not in (408, 421, 429, 503)
