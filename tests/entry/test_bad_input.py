from __future__ import annotations

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.entry._calls import CHAT_SCHEMA, COMPLETION_SCHEMA, check_body, make_prefix_hash
from clementinepin.entry._http import decode_object
from clementinepin.entry._resume import ResumeSigner, read_resume_point
from clementinepin.entry._router import Access, Route, Router
from clementinepin.entry.exceptions import (
    JsonInvalidError,
    MethodNotAllowedError,
    ResumeTokenInvalidError,
    RouteNotFoundError,
)
from clementinepin.exceptions import InvalidInputError
from clementinepin.helpers.fingerprint import make_fingerprint
from tests.entry.fakes import KEY, Answer, read_to_end, wait_for
from tests.entry.test_online import COMPLETION, play_whole

HEAD = f"POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\n".encode()
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=9), inner),
    max_leaves=8,
)


def assert_serves(entry):
    assert entry.call("GET", "/healthz").status == 200
    assert entry.call("POST", "/v1/completions", COMPLETION).status == 200


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (b"", "invalid_json"),
        (b"{", "invalid_json"),
        (b"[]", "invalid_json"),
        (b'{"model": "assist", "prompt": "\xff"}', "invalid_json"),
        (b'{"model": "assist", "prompt": "\\ud800"}', "invalid_json"),
        (b"[" * 50_000, "invalid_json"),
        (b'{"model": "assist"}', "invalid_request"),
        (b'{"model": 3, "prompt": "x"}', "invalid_request"),
        (b'{"model": "assist", "prompt": {"a": 1}}', "invalid_request"),
        (b'{"model": "assist", "prompt": "x", "max_tokens": 0}', "invalid_request"),
        (b'{"model": "assist", "prompt": "x", "max_tokens": true}', "invalid_request"),
        (b'{"model": "assist", "prompt": "x", "stream": "yes"}', "invalid_request"),
        (b"x" * 200_000, "body_too_large"),
    ],
)
def test_bad_bodies_are_typed_and_reach_no_target(serve, body, code):
    entry = serve(play_whole)
    answer = entry.call("POST", "/v1/completions", body)
    assert answer.error["code"] == code
    assert answer.error["outcome"] == "not_run"
    assert entry.targets[0].requests == []
    assert_serves(entry)


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
        (b"GET / HTTP/9.9\r\n\r\n", 400),
        (HEAD + b"Content-Length: -5\r\n\r\n", 400),
        (HEAD + b"Content-Length: ten\r\n\r\n", 400),
        (HEAD + b"X: " + b"y" * 40_000 + b"\r\n\r\n", 400),
        (HEAD + b"X-A: b\r\n" * 3_000 + b"\r\n", 400),
        (HEAD + b"X-A: b\r\n" * 150 + b"\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
        (HEAD + b"Content-Length: 2\r\nContent-Length: 90\r\n\r\n{}", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nffffffffffffffffffff\r\n", 400),
        (b"GET /" + b"a" * 9_000 + b" HTTP/1.1\r\n\r\n", 414),
    ],
)
def test_broken_requests_are_answered_and_closed(serve, raw, status):
    """Mutation: ``MessageClass`` reads unbounded headers: the long line is accepted."""
    entry = serve(play_whole)
    answer = Answer(entry.send(raw))
    assert answer.status == status
    if status == 400:
        assert answer.error["outcome"] == "not_run"
    assert entry.targets[0].requests == []
    assert_serves(entry)


@pytest.mark.parametrize("sent", [b"", b"POST", HEAD, HEAD + b"X: y"])
def test_slow_headers_end_in_time(serve, sent):
    """Mutation: no header timer: the connection stays for ever."""
    entry = serve(play_whole)
    sock = entry.connect()
    sock.sendall(sent)
    if sent:
        assert Answer(read_to_end(sock)).error["code"] == "header_timeout"
    else:
        sock.close()
    assert_serves(entry)


def test_trickled_headers_end_in_time(serve):
    entry = serve(play_whole)
    sock = entry.connect()

    def trickle():
        for byte in HEAD:
            sock.sendall(bytes([byte]))
            gevent.sleep(0.02)

    sender = gevent.spawn(trickle)
    assert Answer(read_to_end(sock)).error["code"] == "header_timeout"
    sender.kill()


def test_a_slow_body_is_ended(serve, monkeypatch):
    monkeypatch.setattr("clementinepin.entry._http.BODY_GRACE_S", 0.1)
    monkeypatch.setattr("clementinepin.entry._http.BODY_RATE_MIN_BYTES_S", 1_000_000)
    entry = serve(play_whole)
    sock = entry.connect()
    sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")

    def trickle():
        while True:
            sock.sendall(b"1\r\nx\r\n")
            gevent.sleep(0.02)

    sender = gevent.spawn(trickle)
    assert Answer(read_to_end(sock)).error["code"] == "body_timeout"
    sender.kill()


def test_a_body_that_ends_early_is_typed(serve):
    entry = serve(play_whole)
    sock = entry.connect()
    sock.sendall(HEAD + b'Content-Length: 500\r\n\r\n{"model"')
    sock.shutdown(gevent.socket.SHUT_WR)
    assert Answer(read_to_end(sock)).error["code"] == "body_incomplete"
    assert entry.targets[0].requests == []


def test_any_bytes_on_a_connection_end_it_and_nothing_else(serve):
    """Mutation: ``_reject`` sends nothing: the caller is cut off without an answer."""
    entry = serve(play_whole)
    lines = [b"GET /healthz HTTP/1.1", HEAD.strip(), b"Content-Length: 3", b"X: y", b":", b""]
    line = st.sampled_from(lines) | st.binary(max_size=20)
    pieces = st.lists(line, max_size=6).map(b"\r\n".join)

    @settings(max_examples=80)
    @given(data=pieces)
    def send_any(data):
        sock = entry.connect()
        sock.sendall(data + b"\r\n\r\n")
        sock.shutdown(gevent.socket.SHUT_WR)
        assert read_to_end(sock).startswith(b"HTTP/1.1 ")

    send_any()
    assert entry.describe("active") == 0
    assert_serves(entry)


def test_a_half_closed_caller_gets_its_answer(serve):
    entry = serve(play_whole)
    sock = entry.connect()
    body = b'{"model": "assist", "prompt": "x"}'
    sock.sendall(HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
    sock.shutdown(gevent.socket.SHUT_WR)
    assert Answer(read_to_end(sock)).status == 200


def test_an_oversized_body_is_refused_before_it_is_read(serve):
    """Mutation: ``read_body`` ignores the announced length: the answer waits for the body."""
    entry = serve(play_whole)
    answer = Answer(entry.send(HEAD + b"Content-Length: 900000000\r\n\r\n"))
    assert answer.error["code"] == "body_too_large"


def test_too_many_connections_are_refused_with_a_time_to_come_back(serve):
    """Mutation: ``handle`` skips the bound: the connection hangs without an answer."""
    entry = serve(play_whole, limits={"connections_max": 3, "header_timeout_s": 5.0})
    held = [entry.connect() for _ in range(3)]
    for sock in held:
        sock.sendall(b"G")
    wait_for(lambda: entry.describe("connections") == 3)
    answer = Answer(read_to_end(entry.connect()))
    assert answer.status == 503
    assert answer.error["code"] == "connections_exhausted"
    assert answer.headers["retry-after"] == "1"
    for sock in held:
        sock.close()
    wait_for(lambda: entry.describe("connections") == 0)
    assert_serves(entry)


def test_bodies_in_memory_are_bounded_over_all_requests(serve, monkeypatch):
    """Mutation: ``reserve`` only counts: many large bodies at once take all memory."""
    monkeypatch.setattr("clementinepin.entry._app.BODIES_WHOLE_MAX", 2)
    entry = serve(play_whole, limits={"body_max_bytes": 150_000, "header_timeout_s": 5.0})
    held = [entry.connect() for _ in range(3)]
    for number, sock in enumerate(held):
        sock.sendall(HEAD + b"Content-Length: 140000\r\n\r\n" + b"x" * 139_999)
        expected = 131_072 * min(number + 1, 2)
        wait_for(lambda expected=expected: entry.describe("body_bytes_held") >= expected)
    refused = Answer(read_to_end(held.pop()))
    assert refused.error["code"] == "body_memory_exhausted"
    assert refused.headers["retry-after"]
    for sock in held:
        sock.sendall(b"x")
        sock.shutdown(gevent.socket.SHUT_WR)
        assert Answer(read_to_end(sock)).error["code"] == "invalid_json"
    wait_for(lambda: entry.describe("body_bytes_held") == 0)
    assert_serves(entry)


def test_keep_alive_serves_several_requests(serve):
    entry = serve(play_whole)
    sock = entry.connect()
    for _ in range(3):
        sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        assert sock.recv(4096).startswith(b"HTTP/1.1 200")
    sock.close()


def test_a_defect_is_answered_typed_and_does_not_end_the_process(serve):
    entry = serve(play_whole)
    entry.scheduler.acquire = None
    answer = entry.call("POST", "/v1/completions", COMPLETION)
    assert answer.status == 500
    assert answer.error["code"] == "internal_error"
    assert entry.call("GET", "/healthz").status == 200


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_fail_typed(data):
    for text in (data, b'{"a": "' + data + b'"}'):
        try:
            assert isinstance(decode_object(text), dict)
        except JsonInvalidError:
            continue


@given(body=st.dictionaries(st.sampled_from(["model", "prompt", "messages", "n", "stream"]), JSON))
def test_any_json_passes_the_schema_or_fails_typed(body):
    for schema in (COMPLETION_SCHEMA, CHAT_SCHEMA):
        try:
            check_body(body, schema)
        except InvalidInputError:
            continue
        make_fingerprint("s", body)
        make_prefix_hash(body)


@given(text=st.text(max_size=300))
def test_any_resume_token_fails_typed(text):
    with pytest.raises(ResumeTokenInvalidError):
        ResumeSigner("secret").verify(text, "a", "f", 0.0)


@given(value=JSON | st.fixed_dictionaries({"text": JSON, "tokens": JSON}))
def test_any_resume_point_is_sound_or_fails_typed(value):
    try:
        point = read_resume_point(value, 100)
    except ResumeTokenInvalidError:
        return
    assert 0 <= point.tokens <= len(point.text)


@given(method=st.text(max_size=6), path=st.text(max_size=40))
def test_any_path_finds_a_route_or_fails_typed(method, path):
    router = Router([Route("GET", "/v1/{a}/b", Access.OPEN, lambda _: None)])
    try:
        assert router.find(method, path)[1]["a"]
    except (RouteNotFoundError, MethodNotAllowedError):
        return
