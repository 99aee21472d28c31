from __future__ import annotations

import contextlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.batch._items import ItemWork, build_call
from clementinepin.batch._lines import parse_line, read_model, split_lines
from clementinepin.batch._results import build_response, build_result, decode_results
from clementinepin.batch.exceptions import (
    FileNotFoundInAccountError,
    InvalidLineError,
    JobNotFoundError,
)
from clementinepin.targets import StreamChunk
from clementinepin.targets.exceptions import TargetRejectedError
from standins.key_value import MemoryKeyValueStore
from tests.batch.fakes import (
    ACCOUNT,
    ENDPOINT,
    FakeEngine,
    Node,
    build_line,
    create_configuration,
    read_results,
    wait_for,
)
from tests.batch.test_items import Harness, fail_with, read_line
from tests.batch.test_service import is_ended, submit

DEEP = b"[" * 100_000


def _nest(depth):
    return b"[" * depth + b"]" * depth


@pytest.fixture
def node(clock):
    node = Node(clock, MemoryKeyValueStore(clock))
    yield node
    node.kill()


@pytest.mark.parametrize("depth", [200, 500, 900, 980, 100_000])
def test_line_nested_too_deeply_is_invalid(node, depth):
    line = build_line(1).replace(b'"prompt":', b'"tools":' + _nest(depth) + b',"prompt":')
    with pytest.raises(InvalidLineError, match="line 2"):
        node.batch.store_file(ACCOUNT, "f", "batch", [build_line(0) + b"\n" + line])


# Lines of a shard that could not be read were claimed again without end.
@pytest.mark.parametrize(
    "odd",
    [DEEP, b"{}", b'{"custom_id": "c1", "method": "POST", "url": "/v1/completions", "body": {}}'],
)
def test_odd_line_of_a_segment_fails_alone(node, monkeypatch, odd):
    job = submit(node, 20)
    read = node.segments.read

    def read_odd(name):
        return read(name).replace(build_line(1), odd)

    monkeypatch.setattr(node.segments, "read", read_odd)
    node.start()
    wait_for(lambda: is_ended(node, job))
    results = read_results(node.batch, job.job_id)
    assert [r["custom_id"] for r in results[2:]] == [f"c{n}" for n in range(2, 20)]
    assert results[1]["error"]["code"] == "invalid_line"
    status = node.batch.describe(ACCOUNT, job.job_id)
    assert (status.items_completed, status.items_failed) == (19, 1)


# RecursionError in a target's error ended the greenlet of the item, which then ran again at once.
@pytest.mark.parametrize(
    "body", [DEEP, b"{" * 5000, _nest(950), b"\xff", b"", b'{"a":\n1}', b"9" * 5000]
)
def test_odd_rejection_ends_the_item_with_one_line(clock, body):
    harness = Harness(clock, fail_with(TargetRejectedError(400, body)))
    result = harness.run()
    assert result.failed
    assert read_line(result)["response"]["status_code"] == 400
    assert len(result.line.splitlines()) == 1


def test_whole_response_is_one_line_of_text(clock):
    class WholeEngine:
        def generate(self, request):
            yield StreamChunk(b'{"id": "x",\r\n "t": "\xff"\n}', "", 0, True)

    harness = Harness(clock, WholeEngine(), body={"model": "assist", "prompt": "p", "n": 2})
    line = harness.run().line
    assert len(line.decode().splitlines()) == 1
    assert msgspec.json.decode(line)["response"]["body"]["id"] == "x"


def test_unexpected_error_of_an_item_does_not_stop_the_job(clock, node):
    def fail(request, n):
        if request.body["prompt"] == "p3":
            raise OverflowError("too large")

    node.engine = FakeEngine(fail)
    job = submit(node, 20)
    node.start()

    def advance_and_check():
        clock.advance(1.0)
        return is_ended(node, job)

    wait_for(advance_and_check)
    status = node.batch.describe(ACCOUNT, job.job_id)
    assert (status.items_completed, status.items_failed) == (19, 1)
    assert node.engine.runs["p3"] <= 10


@pytest.mark.parametrize("value", [10**400, -(10**400), -1, True, 1.5, "x", None, [1]])
def test_any_token_limit_gives_a_count_that_can_be_added_up(value):
    line = parse_line(
        build_line(1, body={"model": "assist", "prompt": "p", "max_tokens": value}), 1
    )
    call = build_call(ItemWork(0, "r", line, 0, 1.0), ACCOUNT, create_configuration(), 0.0)
    assert 0 <= float(call.tokens_max) <= 1e9


@settings(derandomize=True, max_examples=300)
@given(line=st.binary(max_size=60) | st.binary(max_size=20).map(lambda b: build_line(1)[:-2] + b))
def test_any_line_gives_an_item_or_an_invalid_line(line):
    with contextlib.suppress(InvalidLineError):
        for number, part in enumerate(split_lines([line]), start=1):
            read_model(parse_line(part, number), number)


@settings(derandomize=True, max_examples=200)
@given(usage=st.sampled_from([b"", b"1", b'{\n"a": 1}', b'"\xff"']), text=st.text(max_size=10))
def test_any_result_is_one_line(usage, text):
    body = build_response("r", ENDPOINT, "m", text, usage, 1, "stop")
    line = build_result("r", text, 200, body)
    assert b"\n" not in line
    assert msgspec.json.decode(line.decode())["custom_id"] == text


@settings(derandomize=True, max_examples=200)
@given(data=st.binary(max_size=40))
def test_any_segment_gives_results_or_a_decode_error(data):
    with contextlib.suppress(msgspec.DecodeError):
        decode_results(data)


ODD_IDS = ["", "x" * 65, "x" * 5_000, "a/b", "a\0", "é", "\ud800", "²", "a\n", "%2F"]


# A key has at most 200 bytes; the client of the store counts a call that it refuses as a failure,
# of which a few stop all calls of the process for a while.
@pytest.mark.parametrize("odd", ODD_IDS)
def test_odd_id_is_unknown_without_a_call_of_the_store(clock, odd):
    key_value = MemoryKeyValueStore(clock)
    batch = Node(clock, key_value).batch
    for call in (
        lambda: batch.describe_file(ACCOUNT, odd),
        lambda: batch.read_file(ACCOUNT, odd),
        lambda: batch.submit(ACCOUNT, "k", odd, ENDPOINT, 1.0),
        lambda: batch.describe(ACCOUNT, odd),
        lambda: batch.cancel(ACCOUNT, odd),
        lambda: batch.cancel(odd, "batch_1"),
        lambda: batch.read_results(ACCOUNT, odd),
    ):
        with pytest.raises((FileNotFoundInAccountError, JobNotFoundError)) as caught:
            call()
        assert caught.value.status == 404
        assert len(caught.value.message) < 200
    if odd:
        with pytest.raises(JobNotFoundError):
            batch.list_jobs(ACCOUNT, after=odd)
    assert key_value.calls.total() == 0
