from __future__ import annotations

import json

import pytest

from tests.entry.fakes import KEY
from tests.entry.test_bad_input import assert_serves
from tests.entry.test_online import COMPLETION, respond_complete
from tests.targets.scripted import CUT, make_reply

START = b"Host: x\r\nConnection: close\r\nAuthorization: Bearer " + KEY.encode() + b"\r\n"
DIGITS = b"9" * 5_000
HEADERS = [
    *(b"X-Deadline: " + v for v in (b"nan", b"inf", b"-inf", b"1e999", DIGITS, b"\xb2", b"\xff")),
    *(b"X-Resume-Token: " + v for v in (b"\xff", b"x", b"=", b"AAAA", b"A" * 1_024, b"\xb2" * 9)),
    *(b"Idempotency-Key: " + v for v in (b"\xff", b"\xb2", b"a" * 300, b"\x7f", b"\xa0")),
    *(b"X-Request-Id: " + v for v in (b"\xff", b"a" * 300)),
    *(name + b": \xff" for name in (b"X-Idempotent", b"Authorization", b"Content-Type", b"Expect")),
    *(name + b": \xff" for name in (b"Connection", b"Transfer-Encoding", b"Accept-Encoding")),
    *(b"Content-Length: " + v for v in (b"\xb2", b"1_0", DIGITS, b"-1", b"+1", b"nan")),
]
PATHS = [
    b"/v1/files/%00",
    b"/v1/files/%FF%FE",
    b"/v1/files/" + b"a" * 5_000,
    b"/v1/files/%2F..",
    b"/v1/files/%",
    b"/v1/files/output-%00/content",
    b"/v1/models/%FF",
    b"/v1/batches/%ZZ",
    b"/services/%FF/x",
    b"//",
    b"/\xff",
    b"*",
    b"http://[::1",
    b"http://x:99999/v1/models",
    *(b"/v1/batches?limit=" + v for v in (b"\xff", b"%FF", b"%C2%B2", b"1;2", DIGITS, b"&limit=")),
    b"/v1/batches?" + b"&" * 2_000,
]
TYPES = [
    b"multipart/form-data",
    b"multipart/form-data; boundary=\xff",
    b'multipart/form-data; boundary="x"; a=\xff',
    b"\xff",
]
PART = b"--x\r\nContent-Disposition: form-data; name="
FORMS = [
    b"",
    b"--x\r\n\r\n",
    b"\xff" * 100,
    PART + b'"purpose"\r\n\r\n\xff\r\n--x--',
    PART + b'"purpose"\r\n\r\nbatch\r\n' + PART + b'"file"; filename="\xff\0"\r\n\r\n[[[\r\n--x--',
    PART + b'"file"; filename="f"\r\n\r\nx\r\n--x--',
]
JOB = b'{"input_file_id":"f","endpoint":"/v1/completions","completion_window":"'
BODIES = [
    b'{"input_file_id":"\\u0000","endpoint":"/v1/completions","completion_window":"1h"}',
    b'{"input_file_id":"f","endpoint":[],"completion_window":"1h"}',
    b'{"input_file_id":"f","endpoint":{},"completion_window":"1h"}',
    *(JOB + v + b'"}' for v in (b"\xc2\xb2h", DIGITS + b"h", b"\xd9\xa1h", b"1e9h", b"")),
    JOB + b'1h","metadata":{"job_key":"' + b"x" * 100_000 + b'"}}',
    b'{"model":"assist","prompt":"x","n":1e300}',
    b'{"model":"assist","prompt":"x","n":1e999}',
    *(
        b'{"model":"assist","prompt":"x","%s":%s}' % (f, b"9" * 400)
        for f in (b"seed", b"max_tokens")
    ),
    b'{"model":"assist","prompt":"x","resume":{"text":"x","tokens":' + b"9" * 400 + b"}}",
    b"9" * 5_000,
    b"[" * 5_000,
    b'{"a":' * 5_000,
]


def _post(path, body, headers=b""):
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return b"POST " + path + b" HTTP/1.1\r\n" + START + headers + length + body


def _list_requests():
    body = json.dumps(COMPLETION).encode()
    yield from (_post(b"/v1/completions", body, header + b"\r\n") for header in HEADERS)
    for method in (b"GET", b"POST", b"PU\xff", b"\xb2"):
        yield from (method + b" " + path + b" HTTP/1.1\r\n" + START + b"\r\n" for path in PATHS)
    for content_type in TYPES:
        header = b"Content-Type: " + content_type + b"\r\n"
        yield from (_post(b"/v1/files", form, header) for form in FORMS)
    for path in (b"/v1/batches", b"/v1/completions", b"/v1/chat/completions"):
        yield from (_post(path, body) for body in BODIES)


# A caller's odd input is refused with a status of its own, never by a silent close.
def test_odd_requests_get_a_response_that_blames_the_caller(serve):
    entry = serve(respond_complete)
    for request in _list_requests():
        response = entry.send(request)
        assert response.startswith(b"HTTP/1.1 "), request[:200]
        assert response[9:10] in (b"2", b"4"), (request[:200], response[:200])
    assert_serves(entry)


ODD_RESPONSES = [
    b"",
    b"\xff" * 100,
    b"HTTP/1.1 200 OK\r\nContent-Length: " + DIGITS + b"\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"f" * 30 + b"\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\xb2\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: \xff\r\n\r\n",
    b"HTTP/1.1 99999 OK\r\n\r\n",
    b"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 999 OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 204 OK\r\nX-\xff: a\r\n\r\n",
    b"HTTP/1.1 503 \xff\r\nX-Not-Admitted: \xff\r\nContent-Length: 0\r\n\r\n",
    make_reply(b"x", "200 OK", [("Keep-Alive", "timeout=" + "9" * 5_000)]),
    make_reply(b"x", "200 \u2603", [("X-A", "\u2603"), ("Content-Type", "\xb2")]),
    make_reply(b"[" * 50_000, "400 Bad"),
    make_reply(b'{"error":' * 5_000, "422 Bad"),
    make_reply(b'{"error":{"message":' + b"9" * 5_000 + b"}}", "400 Bad"),
    make_reply(b"\xff", "500 Bad"),
    make_reply(b'{"id":"x","x":' + b"[" * 50_000),
    make_reply(b'data: {"id":"x","usage":' + b"[" * 50_000 + b"\n\n"),
]


# What a target sends may follow a run of the call, so its caller gets a whole response, and no odd
# one of them means "not run" but a refusal before admission.
@pytest.mark.parametrize("raw", ODD_RESPONSES, ids=lambda raw: repr(raw[:40]))
def test_odd_responses_of_targets_are_responses_to_their_callers(serve, raw):
    entry = serve(lambda _request: [raw, CUT])
    calls = [
        entry.call("POST", "/v1/completions", COMPLETION),
        entry.call("POST", "/v1/completions", {**COMPLETION, "n": 2}),
        entry.call("POST", "/services/desk/x", b"{}"),
    ]
    for response in calls:
        assert response.complete
        assert b"internal_error" not in response.body
        if b"X-Not-Admitted" not in raw:
            assert response.headers.get("x-outcome", "") != "not_run"
    assert entry.call("GET", "/healthz").status == 200
