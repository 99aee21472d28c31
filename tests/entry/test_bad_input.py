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
from tests.entry.fakes import KEY, ParsedResponse, read_to_end, wait_for
from tests.entry.test_online import COMPLETION, respond_complete

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
def test_invalid_bodies_get_an_error_code_and_reach_no_target(serve, body, code):
    entry = serve(respond_complete)
    response = entry.call("POST", "/v1/completions", body)
    assert response.error["code"] == code
    assert response.error["outcome"] == "not_run"
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
def test_malformed_requests_get_a_response_and_are_closed(serve, raw, status):
    """Mutation: ``MessageClass`` reads headers without a limit: the long line is accepted."""
    entry = serve(respond_complete)
    response = ParsedResponse(entry.send(raw))
    assert response.status == status
    if status == 400:
        assert response.error["outcome"] == "not_run"
    assert entry.targets[0].requests == []
    assert_serves(entry)


@pytest.mark.parametrize("sent", [b"", b"POST", HEAD, HEAD + b"X: y"])
def test_incomplete_headers_time_out(serve, sent):
    """Mutation: no header timer: the connection stays open forever."""
    entry = serve(respond_complete)
    sock = entry.connect()
    sock.sendall(sent)
    if sent:
        assert ParsedResponse(read_to_end(sock)).error["code"] == "header_timeout"
    else:
        sock.close()
    assert_serves(entry)


def test_slowly_sent_headers_time_out(serve):
    entry = serve(respond_complete)
    sock = entry.connect()

    def trickle():
        for byte in HEAD:
            sock.sendall(bytes([byte]))
            gevent.sleep(0.02)

    sender = gevent.spawn(trickle)
    assert ParsedResponse(read_to_end(sock)).error["code"] == "header_timeout"
    sender.kill()


def test_a_slowly_sent_body_times_out(serve, monkeypatch):
    monkeypatch.setattr("clementinepin.entry._http.BODY_GRACE_S", 0.1)
    monkeypatch.setattr("clementinepin.entry._http.BODY_RATE_MIN_BYTES_S", 1_000_000)
    entry = serve(respond_complete)
    sock = entry.connect()
    sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")

    def trickle():
        while True:
            sock.sendall(b"1\r\nx\r\n")
            gevent.sleep(0.02)

    sender = gevent.spawn(trickle)
    assert ParsedResponse(read_to_end(sock)).error["code"] == "body_timeout"
    sender.kill()


def test_a_truncated_body_gets_an_error_code(serve):
    entry = serve(respond_complete)
    sock = entry.connect()
    sock.sendall(HEAD + b'Content-Length: 500\r\n\r\n{"model"')
    sock.shutdown(gevent.socket.SHUT_WR)
    assert ParsedResponse(read_to_end(sock)).error["code"] == "body_incomplete"
    assert entry.targets[0].requests == []


def test_any_bytes_on_a_connection_get_a_response_and_the_server_keeps_serving(serve):
    """Mutation: ``_reject`` sends nothing: the connection closes without a response."""
    entry = serve(respond_complete)
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


def test_a_half_closed_connection_gets_its_response(serve):
    entry = serve(respond_complete)
    sock = entry.connect()
    body = b'{"model": "assist", "prompt": "x"}'
    sock.sendall(HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
    sock.shutdown(gevent.socket.SHUT_WR)
    assert ParsedResponse(read_to_end(sock)).status == 200


def test_an_oversized_body_is_rejected_before_it_is_read(serve):
    """Mutation: ``read_body`` ignores Content-Length: the response waits for the body."""
    entry = serve(respond_complete)
    response = ParsedResponse(entry.send(HEAD + b"Content-Length: 900000000\r\n\r\n"))
    assert response.error["code"] == "body_too_large"


def test_connections_above_the_limit_are_rejected_with_a_retry_time(serve):
    """Mutation: ``handle`` ignores the limit: the connection gets no response."""
    entry = serve(respond_complete, limits={"connections_max": 3, "header_timeout_s": 5.0})
    held = [entry.connect() for _ in range(3)]
    for sock in held:
        sock.sendall(b"G")
    wait_for(lambda: entry.describe("connections") == 3)
    response = ParsedResponse(read_to_end(entry.connect()))
    assert response.status == 503
    assert response.error["code"] == "connections_exhausted"
    assert response.headers["retry-after"] == "1"
    for sock in held:
        sock.close()
    wait_for(lambda: entry.describe("connections") == 0)
    assert_serves(entry)


def test_the_memory_of_all_request_bodies_is_limited(serve, monkeypatch):
    """Mutation: ``reserve`` only counts: concurrent large bodies use all memory."""
    monkeypatch.setattr("clementinepin.entry._app.FULL_SIZE_BODIES_MAX", 2)
    entry = serve(respond_complete, limits={"body_max_bytes": 150_000, "header_timeout_s": 5.0})
    held = [entry.connect() for _ in range(3)]
    for number, sock in enumerate(held):
        sock.sendall(HEAD + b"Content-Length: 140000\r\n\r\n" + b"x" * 139_999)
        expected = 131_072 * min(number + 1, 2)
        wait_for(lambda expected=expected: entry.describe("body_bytes_held") >= expected)
    rejected = ParsedResponse(read_to_end(held.pop()))
    assert rejected.error["code"] == "body_memory_exhausted"
    assert rejected.headers["retry-after"]
    for sock in held:
        sock.sendall(b"x")
        sock.shutdown(gevent.socket.SHUT_WR)
        assert ParsedResponse(read_to_end(sock)).error["code"] == "invalid_json"
    wait_for(lambda: entry.describe("body_bytes_held") == 0)
    assert_serves(entry)


def test_a_connection_serves_several_requests(serve):
    entry = serve(respond_complete)
    sock = entry.connect()
    for _ in range(3):
        sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        assert sock.recv(4096).startswith(b"HTTP/1.1 200")
    sock.close()


def test_an_unexpected_exception_gets_an_error_code_and_the_server_keeps_serving(serve):
    entry = serve(respond_complete)
    entry.scheduler.acquire = None
    response = entry.call("POST", "/v1/completions", COMPLETION)
    assert response.status == 500
    assert response.error["code"] == "internal_error"
    assert entry.call("GET", "/healthz").status == 200


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_json_invalid_error(data):
    for text in (data, b'{"a": "' + data + b'"}'):
        try:
            assert isinstance(decode_object(text), dict)
        except JsonInvalidError:
            continue


@given(body=st.dictionaries(st.sampled_from(["model", "prompt", "messages", "n", "stream"]), JSON))
def test_any_json_passes_the_schema_or_raises_invalid_input_error(body):
    for schema in (COMPLETION_SCHEMA, CHAT_SCHEMA):
        try:
            check_body(body, schema)
        except InvalidInputError:
            continue
        make_fingerprint("s", body)
        make_prefix_hash(body)


@given(text=st.text(max_size=300))
def test_any_unsigned_resume_token_is_invalid(text):
    with pytest.raises(ResumeTokenInvalidError):
        ResumeSigner("secret").verify(text, "a", "f", 0.0)


@given(value=JSON | st.fixed_dictionaries({"text": JSON, "tokens": JSON}))
def test_any_resume_point_is_consistent_or_invalid(value):
    try:
        point = read_resume_point(value, 100)
    except ResumeTokenInvalidError:
        return
    assert 0 <= point.tokens <= len(point.text)


@given(method=st.text(max_size=6), path=st.text(max_size=40))
def test_any_path_finds_a_route_or_raises_a_routing_error(method, path):
    router = Router([Route("GET", "/v1/{a}/b", Access.OPEN, lambda _: None)])
    try:
        assert router.find(method, path)[1]["a"]
    except (RouteNotFoundError, MethodNotAllowedError):
        return


@pytest.mark.parametrize("stop", [["x"] * 17, 5, ["a", 1]])
def test_invalid_stop_sequences_are_rejected(serve, stop):
    """Mutation: no limit: an engine would check any number of sequences at each token."""
    entry = serve(respond_complete)
    response = entry.call("POST", "/v1/completions", {**COMPLETION, "stop": stop})
    assert response.status == 400
    assert "stop" in response.error["message"]


# The check of a body passed at depths at which the same encoder failed further down the stack,
# which the caller saw as an internal error after its call had got a slot.
@pytest.mark.parametrize("path", ["completions", "chat/completions"])
def test_nesting_of_any_depth_is_served_or_rejected_as_invalid(serve, path):
    entry = serve(respond_complete)
    statuses = []
    for depth in (20, 500, *range(920, 940), 2_000):
        nested = "[" * depth + "]" * depth
        messages = f'[{{"role": "user", "content": {nested}}}, {{"role": "user"}}]'
        content = (
            f'"messages": {messages}' if "chat" in path else f'"prompt": "x", "tools": {nested}'
        )
        body = f'{{"model": "assist", "stream": true, {content}}}'.encode()
        response = entry.call("POST", f"/v1/{path}", body)
        statuses.append(response.status)
        if response.status != 200:
            assert (response.status, response.error["code"]) == (400, "invalid_json")
            assert response.error["outcome"] == "not_run"
    assert statuses[0] == 200
    assert statuses[-1] == 400
    assert_serves(entry)
