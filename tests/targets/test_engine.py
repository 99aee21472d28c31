from __future__ import annotations

import itertools
import json

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.helpers.clock import create_system_clock
from clementinepin.targets import (
    GenerateRequest,
    PlainRequest,
    TargetAddress,
    _engine,
    create_engine,
    create_plain_service,
)
from clementinepin.targets._events import EventDecoder
from clementinepin.targets._metrics import parse_load_report
from clementinepin.targets.exceptions import (
    OrderRefusedError,
    RefusalReason,
    ResponseMismatchError,
    TargetLostError,
    TargetNotReachedError,
    TargetProtocolError,
    TargetRefusedError,
    TargetRejectedError,
    TargetTimeoutError,
)
from tests.targets.scripted import (
    CUT,
    HANG,
    LAST_CHUNK,
    RESET,
    STREAM_HEAD,
    ScriptedTarget,
    chunk,
    make_event,
    make_reply,
    make_stream,
)

ID = "r1"
TEXTS = ["one ", "two ", "three"]


def make_request(*, wait_s=5.0, **changes):
    deadline = create_system_clock().monotonic() + wait_s
    request = GenerateRequest(ID, "/v1/completions", {"model": "m"}, "online", deadline)
    return request._replace(**changes)


@pytest.fixture
def serve():
    targets = []

    def start(*steps):
        target = ScriptedTarget(steps[0] if callable(steps[0]) else lambda _: steps)
        targets.append(target)
        return target

    yield start
    for target in targets:
        target.stop()


def create_engine_for(target):
    return create_engine(target.address, create_system_clock())


def read_text(chunks):
    return "".join(c.text for c in chunks)


def test_a_stream_yields_raw_bytes_text_and_the_end(serve):
    stream = make_stream(ID, TEXTS)
    target = serve(STREAM_HEAD, chunk(stream[:50]), chunk(stream[50:]), LAST_CHUNK)
    chunks = list(create_engine_for(target).generate(make_request()))
    assert b"".join(c.data for c in chunks) == stream
    assert read_text(chunks) == "one two three"
    assert sum(c.tokens for c in chunks) == 3
    assert [c.done for c in chunks][-1]
    assert chunks[-1].finish_reason == "stop"


def test_reuses_a_connection_for_idempotent_calls_only(serve):
    target = serve(STREAM_HEAD, chunk(make_stream(ID, TEXTS)), LAST_CHUNK)
    engine = create_engine_for(target)
    for _ in range(3):
        list(engine.generate(make_request()))
    assert target.connections == 1
    list(engine.generate(make_request(idempotent=False)))
    assert target.connections == 2


def test_a_connection_closed_while_idle_is_not_used(serve):
    """Mutation: ``is_reusable`` returns True without reading: the second call is lost."""
    target = serve(STREAM_HEAD, chunk(make_stream(ID, TEXTS)), LAST_CHUNK, CUT)
    engine = create_engine_for(target)
    for _ in range(2):
        assert read_text(engine.generate(make_request())) == "one two three"
        gevent.sleep(0.01)
    assert target.connections == 2


def test_unread_bytes_on_an_idle_connection_are_never_the_next_response(serve):
    """Mutation: ``is_reusable`` skips the peek: the extra response is read as the second one."""
    stray = make_reply(b"{}")
    target = serve(STREAM_HEAD, chunk(make_stream(ID, TEXTS)), LAST_CHUNK + stray)
    engine = create_engine_for(target)
    for _ in range(2):
        assert read_text(engine.generate(make_request())) == "one two three"
        gevent.sleep(0.01)
    assert target.connections == 2


@pytest.mark.parametrize(
    "steps",
    [
        [CUT],
        [RESET],
        [STREAM_HEAD[:20], CUT],
        [STREAM_HEAD, CUT],
        [STREAM_HEAD, LAST_CHUNK],
        [STREAM_HEAD, chunk(make_event(ID, "one ")), CUT],
        [STREAM_HEAD, chunk(make_event(ID, "one ")), RESET],
        [STREAM_HEAD, chunk(make_event(ID, "one ")), LAST_CHUNK],
        [STREAM_HEAD, chunk(make_event(ID, "one ", "stop")), LAST_CHUNK],
        [STREAM_HEAD, chunk(make_event(ID, "one ")), b"zz\r\n"],
        [STREAM_HEAD, chunk(b"data: {broken\n\n"), LAST_CHUNK],
        [STREAM_HEAD, chunk(make_stream(ID, TEXTS)[:-1]), LAST_CHUNK],
        [make_reply(make_stream(ID, TEXTS))[:-20], CUT],
        [b"no http at all\r\n\r\n", CUT],
    ],
)
def test_a_stream_without_its_end_is_lost(serve, steps):
    """Mutation: ``_read_stream`` returns when the body ends: cut streams look complete."""
    engine = create_engine_for(serve(*steps))
    chunks = []
    with pytest.raises(TargetLostError):
        chunks.extend(engine.generate(make_request()))
    assert not any(c.done for c in chunks)


FRAMED = STREAM_HEAD + chunk(make_stream(ID, TEXTS)) + LAST_CHUNK
SIZED = make_reply(make_stream(ID, TEXTS))


@settings(max_examples=60)
@given(data=st.data(), response=st.sampled_from([FRAMED, SIZED]), end=st.sampled_from([CUT, RESET]))
def test_a_response_cut_at_any_byte_is_lost_and_never_reported_as_not_run(data, response, end):
    """Mutation: an end of file in the headers raises TargetNotReachedError.

    A call that was sent would then count as not run. A response that is cut after its last event
    is complete, even if the HTTP framing is not.
    """
    size = data.draw(st.integers(0, len(response) - 1))
    target = ScriptedTarget(lambda _: [response[:size], end])
    chunks = []
    try:
        chunks.extend(create_engine_for(target).generate(make_request()))
    except TargetLostError:
        assert not any(c.done for c in chunks)
        assert "one two three".startswith(read_text(chunks))
    else:
        assert read_text(chunks) == "one two three"
        assert b"[DONE]\n\n" in response[:size]
    finally:
        target.stop()


def test_a_refused_connection_raises_not_reached(serve):
    target = serve(CUT)
    address = target.address
    target.stop()
    with pytest.raises(TargetNotReachedError):
        list(create_engine(address, create_system_clock()).generate(make_request()))


def test_a_passed_deadline_raises_not_reached_and_sends_nothing(serve):
    target = serve(STREAM_HEAD)
    with pytest.raises(TargetNotReachedError):
        list(create_engine_for(target).generate(make_request(wait_s=-1.0)))
    assert target.requests == []


def test_a_hanging_target_times_out_and_is_not_reported_as_not_reached(serve):
    """Mutation: map every timeout to TargetNotReachedError: a sent call counts as not run."""
    target = serve(HANG)
    with pytest.raises(TargetTimeoutError):
        list(create_engine_for(target).generate(make_request(wait_s=0.1)))
    assert len(target.requests) == 1


def test_a_partly_written_request_is_lost():
    """Mutation: a failure after a partial write raises TargetNotReachedError.

    A call that the target may have read in part would then count as not run.
    """
    listener = gevent.socket.socket()
    listener.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    address = TargetAddress("t", *listener.getsockname())
    engine = create_engine(address, create_system_clock())
    body = {"model": "m", "prompt": "x" * 8_000_000}
    with pytest.raises(TargetLostError):
        list(engine.generate(make_request(body=body, wait_s=0.2)))
    listener.close()


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("full", RefusalReason.FULL),
        ("leaving", RefusalReason.LEAVING),
        ("not_loaded", RefusalReason.NOT_LOADED),
        ("a new reason", RefusalReason.FULL),
    ],
)
def test_a_503_with_the_not_admitted_header_is_a_refusal(serve, text, reason):
    target = serve(make_reply(b"{}", "503 No", [("X-Not-Admitted", text)]))
    with pytest.raises(TargetRefusedError) as caught:
        list(create_engine_for(target).generate(make_request()))
    assert caught.value.reason is reason


@pytest.mark.parametrize(
    "error", [b"HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops", b"oops\n\n"]
)
def test_an_error_in_the_body_of_a_stream_is_no_part_of_it(serve, error):
    """Guards against an error's text, or its whole head, in the middle of a stream."""
    head = STREAM_HEAD.replace(b"Transfer-Encoding: chunked", b"Connection: close")
    target = serve(head + make_event(ID, "one "), error, CUT)
    chunks = []
    with pytest.raises(TargetProtocolError):
        chunks.extend(create_engine_for(target).generate(make_request()))
    assert b"oops" not in b"".join(c.data for c in chunks).lower()


def test_fields_and_comments_beside_the_data_belong_to_an_event(serve):
    event = b": waiting\n\nevent: token\nid: 1\nretry: 5\n" + make_event(ID, "one")
    stream = event + make_event(ID, " two", "stop") + b"data: [DONE]\n\n"
    target = serve(STREAM_HEAD, chunk(stream), LAST_CHUNK)
    assert read_text(create_engine_for(target).generate(make_request())) == "one two"


REFUSAL = make_reply(b"{}", "503 No", [("X-Not-Admitted", "full")])


def test_a_refusal_written_once_more_reaches_no_later_request(serve):
    """Guards against "not run" for a request that the engine runs."""
    replies = [[REFUSAL, HANG], [make_reply(b'{"id": "cmpl-r1"}')]]
    target = serve(lambda _request: replies.pop(0))
    engine = create_engine_for(target)
    request = make_request(whole=True, idempotent=True)
    with pytest.raises(TargetRefusedError):
        list(engine.generate(request))
    (response,) = engine.generate(request)
    assert response.data == b'{"id": "cmpl-r1"}'
    assert target.connections == 2


def test_a_refusal_written_once_more_reaches_no_later_call(serve):
    """Guards against "not run" for a call that a plain service runs."""
    replies = [[REFUSAL, HANG], [make_reply(b"two")]]
    target = serve(lambda _request: replies.pop(0))
    service = create_plain_service(target.address, create_system_clock())
    deadline = create_system_clock().monotonic() + 5.0
    request = PlainRequest("GET", "/", (), b"", deadline, idempotent=True)
    with pytest.raises(TargetRefusedError):
        service.call(request)
    assert b"".join(service.call(request).body) == b"two"
    assert target.connections == 2


def test_an_error_written_once_more_reaches_no_later_request(serve):
    """Guards against an error of one caller's request that another one gets (review/10)."""
    replies = [[make_reply(b"no", "500 Oops"), HANG], [make_reply(b'{"id": "cmpl-r1"}')]]
    target = serve(lambda _request: replies.pop(0))
    engine = create_engine_for(target)
    request = make_request(whole=True, idempotent=True)
    with pytest.raises(TargetRejectedError):
        list(engine.generate(request))
    (response,) = engine.generate(request)
    assert response.data == b'{"id": "cmpl-r1"}'
    assert target.connections == 2


def test_a_response_written_once_more_is_no_answer_to_an_order(serve):
    """Guards against an order taken for carried out by the copy of another response (review/10)."""
    replies = [[make_reply(b'{"id": "cmpl-r1"}')], [make_reply(b"{}", "409 Old")]]
    replies.append([make_reply(b"{}")])
    target = serve(lambda _request: replies.pop(0))
    engine = create_engine_for(target)
    list(engine.generate(make_request(whole=True, idempotent=True)))
    with pytest.raises(OrderRefusedError):
        engine.load_model("m", "1", "w/m", 6)
    engine.load_model("m", "2", "w/m", 7)
    assert target.connections == 3


def test_a_plain_response_written_once_more_reaches_no_later_call(serve):
    """Guards against the response to one caller that another one gets (review/10)."""
    replies = [[make_reply(b"one"), HANG], [make_reply(b"two")]]
    target = serve(lambda _request: replies.pop(0))
    service = create_plain_service(target.address, create_system_clock())
    deadline = create_system_clock().monotonic() + 5.0
    request = PlainRequest("GET", "/", (), b"", deadline, idempotent=True)
    assert b"".join(service.call(request).body) == b"one"
    assert b"".join(service.call(request).body) == b"two"
    assert target.connections == 2


@pytest.mark.parametrize("status", ["503 Down", "500 Oops", "400 Bad"])
def test_other_error_statuses_are_rejections_with_their_body(serve, status):
    """Mutation: treat any 503 as refused: a call that failed while running counts as not run."""
    target = serve(make_reply(b'{"error": {"message": "no"}}', status))
    with pytest.raises(TargetRejectedError) as caught:
        list(create_engine_for(target).generate(make_request()))
    assert caught.value.target_status == int(status[:3])
    assert b"no" in caught.value.body


@pytest.mark.parametrize("status", ["503 Down", "500 Oops", "400 Bad"])
@pytest.mark.parametrize("end", [CUT, RESET])
def test_an_error_whose_body_breaks_off_is_lost(serve, status, end):
    """Guards against a broken answer that the caller gets as one without a message (issue 50)."""
    target = serve(make_reply(b'{"error": {"message": "no"}}', status)[:-5], end)
    with pytest.raises(TargetLostError):
        list(create_engine_for(target).generate(make_request()))


def test_an_error_with_a_long_body_keeps_its_status(serve):
    target = serve(make_reply(b"x" * 100_000, "400 Bad"))
    with pytest.raises(TargetRejectedError) as caught:
        list(create_engine_for(target).generate(make_request()))
    assert (caught.value.target_status, caught.value.body) == (400, b"")


def test_a_response_to_another_request_raises_mixed_up(serve):
    """Mutation: ``EventDecoder._parse`` skips the id check: a mismatched response is accepted."""
    target = serve(STREAM_HEAD, chunk(make_stream("r2", TEXTS)), LAST_CHUNK)
    with pytest.raises(ResponseMismatchError):
        list(create_engine_for(target).generate(make_request()))
    whole = serve(make_reply(b'{"id": "cmpl-r2"}'))
    with pytest.raises(ResponseMismatchError):
        list(create_engine_for(whole).generate(make_request(whole=True)))


def test_a_stream_without_end_is_given_up(serve, monkeypatch):
    monkeypatch.setattr(_engine, "RESPONSE_MAX_BYTES", 20_000)

    def send_without_end(_request):
        yield STREAM_HEAD
        while True:
            yield chunk(make_event(ID, "a" * 100))

    target = serve(send_without_end)
    with gevent.Timeout(20.0), pytest.raises(TargetProtocolError):
        read_text(create_engine_for(target).generate(make_request(wait_s=2.0)))
    assert target.closed_by_peer.wait(5)


def test_closing_the_iterator_closes_the_connection(serve):
    target = serve(STREAM_HEAD, chunk(make_event(ID, "one ")), HANG)
    chunks = create_engine_for(target).generate(make_request())
    next(chunks)
    chunks.close()
    assert target.closed_by_peer.wait(2.0)


def test_a_connection_left_open_after_the_last_event_does_not_delay_the_response(serve):
    target = serve(STREAM_HEAD, chunk(make_stream(ID, TEXTS)), HANG)
    chunks = list(create_engine_for(target).generate(make_request(wait_s=60.0)))
    assert chunks[-1].done


def test_resume_and_whole_are_sent_to_the_engine(serve):
    def script(request):
        body = json.loads(request["body"])
        if body["stream"]:
            return [STREAM_HEAD, chunk(make_stream(ID, ["x"])), LAST_CHUNK]
        return [make_reply(b'{"id": "cmpl-r1", "choices": []}')]

    target = serve(script)
    engine = create_engine_for(target)
    list(engine.generate(make_request(resume_text="one ", resume_tokens=1)))
    chunks = list(engine.generate(make_request(whole=True)))
    first, second = (json.loads(r["body"]) for r in target.requests)
    assert first["resume"] == {"text": "one ", "tokens": 1}
    assert first["stream"] is True
    assert second["stream"] is False
    assert "resume" not in second
    assert target.requests[0]["headers"]["x-request-id"] == ID
    assert chunks[0].done


def test_orders_carry_the_fencing_number_and_a_conflict_raises_order_refused(serve):
    def script(request):
        old = int(request["headers"]["x-fencing-number"]) < 7
        return [make_reply(b"{}", "409 Old" if old else "200 OK")]

    target = serve(script)
    engine = create_engine_for(target)
    engine.load_model("m", "2", "w/m", 7)
    engine.load_adapter("a", "1", "w/a", 8)
    engine.change_role("serve", 9)
    with pytest.raises(OrderRefusedError):
        engine.load_model("m", "1", "w/m", 6)
    paths = [r["path"] for r in target.requests]
    assert paths[:3] == ["/orders/load_model", "/orders/load_adapter", "/orders/change_role"]
    assert json.loads(target.requests[0]["body"])["weights"] == "w/m"


def test_cache_events_and_cache_contents_are_transferred(serve):
    def script(request):
        if request["path"].startswith("/cache_events"):
            return [make_reply(b'[{"sequence": 3, "prefix_hash": "ab", "stored": true}]')]
        return [make_reply(b"bytes")]

    target = serve(script)
    engine = create_engine_for(target)
    events = engine.fetch_cache_events(2)
    assert events[0].sequence == 3
    assert events[0].stored is True
    assert engine.export_cache("a/b") == b"bytes"
    engine.import_cache("ab", b"data")
    assert [r["path"] for r in target.requests] == [
        "/cache_events?after=2",
        "/cache/a%2Fb",
        "/cache/ab",
    ]


def test_load_report_is_parsed():
    text = (
        "# HELP x\nengine_running 3\nengine_waiting 2.0\nengine_cache_share 0.5\n"
        'engine_loaded{kind="model",name="m",version="2"} 1\n'
        'engine_loaded{kind="adapter",name="a",version=""} 1\n'
        'engine_role{role="serve"} 1\nengine_fencing_number 9\nbroken\nbad value\n'
    )
    report = parse_load_report(text, 5.0)
    assert report == (3, 2, 0.5, ("m:2",), ("a",), "serve", 9, 5.0)


@given(st.text(max_size=300))
def test_any_text_is_parsed_as_a_load_report_without_an_error(text):
    parse_load_report(text, 0.0)


@given(
    texts=st.lists(st.text(max_size=5), min_size=1, max_size=8),
    cuts=st.lists(st.integers(0, 2000), max_size=12),
    carriage=st.booleans(),
)
def test_events_are_decoded_the_same_however_the_stream_is_split(texts, cuts, carriage):
    """Mutation: drop ``self._partial``: an event split over two reads is lost."""
    stream = make_stream(ID, texts)
    if carriage:
        stream = stream.replace(b"\n", b"\r\n")
    edges = sorted({0, len(stream), *(c % len(stream) for c in cuts)})
    decoder = EventDecoder(ID)
    pieces = [stream[a:b] for a, b in itertools.pairwise(edges)]
    chunks = [c for c in map(decoder.feed, pieces) if c is not None]
    assert read_text(chunks) == "".join(texts)
    assert decoder.done


@given(st.binary(max_size=200))
def test_decoder_raises_only_target_errors_on_any_bytes(data):
    decoder = EventDecoder(ID)
    try:
        decoder.feed(b"data: " + data + b"\n\n")
    except (TargetProtocolError, ResponseMismatchError, TargetRejectedError):
        return
