from __future__ import annotations

import gevent
import msgspec
import pytest

from clementinepin.batch._items import ATTEMPTS_MAX, NO_SLOT_PAUSE_S, ItemRunner, ItemWork
from clementinepin.batch._lines import parse_line
from clementinepin.exceptions import NotRunError
from clementinepin.scheduling import CallResult
from clementinepin.systems.exceptions import RequestCondemnedError
from clementinepin.targets import StreamChunk
from clementinepin.targets.exceptions import (
    RefusalReason,
    TargetLostError,
    TargetNotReachedError,
    TargetRefusedError,
    TargetRejectedError,
)
from tests.batch.fakes import (
    ACCOUNT,
    MODEL,
    FakeEngine,
    FakeScheduler,
    build_line,
    create_configuration,
    wait_for,
)


class Harness:
    def __init__(self, clock, engine, **changes):
        self.clock = clock
        self.scheduler = FakeScheduler()
        self.engine = engine
        self.runner = ItemRunner(self.scheduler, lambda _address: engine, clock)
        clock.now = 0.0
        self.work = ItemWork(0, "r0", parse_line(build_line(1, **changes), 1), 0, 60.0)
        self.configuration = create_configuration()

    def run(self):
        return self.runner.run(self.work, ACCOUNT, self.configuration, lambda: None)


def fail_with(err, times=1):
    failures_left = [times]

    def script(request, n):
        if failures_left[0]:
            failures_left[0] -= 1
            raise err

    return FakeEngine(script)


def read_line(result):
    return msgspec.json.decode(result.line)


@pytest.mark.parametrize(
    ("err", "result", "attempts"),
    [
        (TargetNotReachedError(), CallResult.NOT_REACHED, 0),
        (TargetRefusedError(), CallResult.REFUSED, 0),
        (TargetRefusedError("", RefusalReason.LEAVING), CallResult.REFUSED_LEAVING, 0),
        (TargetLostError(), CallResult.LOST, 0),
        (TargetRejectedError(503, b""), CallResult.REJECTED, 1),
        (TargetRejectedError(429, b""), CallResult.REJECTED, 1),
    ],
)
def test_failed_run_is_reported_and_repeated(clock, err, result, attempts):
    """Mutation: count refusals as attempts; a busy fleet would then fail items that never ran."""
    harness = Harness(clock, fail_with(err))
    assert harness.run() is None
    assert harness.scheduler.results == [result]
    assert harness.work.attempts == attempts
    assert read_line(harness.run())["response"]["body"]["choices"][0]["text"] == "re:p1"
    assert not harness.scheduler.placements


def test_an_item_under_which_targets_crashed_is_still_run(clock):
    """In a burst of crashes, sound items were given up as poison or after five attempts."""
    harness = Harness(clock, fail_with(TargetLostError(), times=3 * ATTEMPTS_MAX))
    for _ in range(3 * ATTEMPTS_MAX):
        assert harness.run() is None
    assert read_line(harness.run())["response"]["body"]["choices"][0]["text"] == "re:p1"
    assert {call.fingerprint for call in harness.scheduler.calls} == {""}


def test_attempts_are_bounded(clock):
    harness = Harness(clock, fail_with(TargetRejectedError(503, b""), times=100))
    for _ in range(ATTEMPTS_MAX):
        assert harness.run() is None
    result = harness.run()
    assert result.failed
    assert read_line(result)["error"]["code"] == "attempts_exhausted"
    assert len(harness.scheduler.results) == ATTEMPTS_MAX


def test_rejection_that_blames_the_request_is_a_failed_result(clock):
    harness = Harness(clock, fail_with(TargetRejectedError(400, b'{"error":{"code":"too_long"}}')))
    result = harness.run()
    assert result.failed
    response = read_line(result)["response"]
    assert (response["status_code"], response["body"]["error"]["code"]) == (400, "too_long")


def test_rejections_of_the_scheduler_are_retried_later(clock):
    """An item is never condemned as poison itself; one like it may be, until it is cleared."""
    harness = Harness(clock, FakeEngine())
    harness.scheduler.rejection = NotRunError("full", retry_at=clock.wall() + 7.0)
    assert harness.run() is None
    assert harness.work.not_before == clock.monotonic() + 7.0
    harness.scheduler.rejection = RequestCondemnedError()
    assert harness.run() is None
    assert harness.work.not_before == clock.monotonic() + NO_SLOT_PAUSE_S


def test_item_waits_until_due_for_a_model_that_is_not_configured(clock):
    """Mutation: fail at once; one wrong configuration would then fail all items of a job."""
    harness = Harness(clock, FakeEngine())
    harness.configuration.applications.clear()
    assert harness.run() is None
    assert harness.work.not_before > clock.monotonic()
    clock.advance(60.0)
    assert read_line(harness.run())["error"]["code"] == "model_not_found"


def test_preempted_item_stops_at_once_and_resumes_after_its_progress(clock):
    """Mutation: resume with empty text; the start of the response is then lost."""
    reached = []

    def script(request, n):
        reached.append(n)
        if n == 1 and not request.resume_tokens:
            gevent.sleep(30.0)

    engine = FakeEngine(script)
    harness = Harness(clock, engine)
    run = gevent.spawn(harness.run)
    wait_for(lambda: reached == [0, 1])
    next(iter(harness.scheduler.placements.values())).preempted.set()
    run.join()
    assert (run.value, harness.scheduler.results) == (None, [CallResult.PREEMPTED])
    assert (engine.closed, harness.work.attempts) == (1, 0)
    assert read_line(harness.run())["response"]["body"]["choices"][0]["text"] == "re:p1"
    assert engine.resumed == [("p1", "re:", 1)]


def test_response_that_is_more_than_text_is_requested_whole(clock):
    """Mutation: never request it whole; tool calls and second choices are then dropped."""
    whole_response = b'{"id":"cmpl-r0","choices":[{"text":"a"},{"text":"b"}]}'
    requested = []

    class WholeEngine:
        def generate(self, request):
            requested.append((request.whole, request.body))
            yield StreamChunk(whole_response, "", 0, True)

    body = {"model": MODEL, "prompt": "p", "n": 2, "resume": {"text": "x", "tokens": 1}}
    harness = Harness(clock, WholeEngine(), body=body)
    assert read_line(harness.run())["response"]["body"] == msgspec.json.decode(whole_response)
    assert requested == [(True, {"model": "base", "prompt": "p", "n": 2})]
