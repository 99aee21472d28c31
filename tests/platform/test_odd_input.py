"""Property tests: any input gives a value or the documented error, and values can be passed on."""

from __future__ import annotations

import contextlib
import json
import math
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.clock import ManualClock
from clementinepin.infrastructure import Change
from clementinepin.platform import create_store, create_wire, load_instance_settings
from clementinepin.platform._formats import SLOTS_MAX
from clementinepin.serving import _job_records as records
from clementinepin.serving import _messages as messages
from clementinepin.serving.exceptions import BadRequestError, SettingsError
from tests.serving.odd_entries import DEPTH, encode_entry
from tests.serving.parts import make_head

WIRE = create_wire()
NUMBERS = st.one_of(
    st.integers(),
    st.integers(-(2**80), 2**80),
    st.floats(),
    st.sampled_from([0, -1, 2**53 + 1, 2**63, 2**64, 10**400]),
)
TEXTS = st.one_of(
    st.text(max_size=20),
    st.sampled_from(["", "1e999", "nan", "-inf", "9" * 5000, "\ud800", "\0", "a\r\nb", "\u0661"]),
    st.sampled_from(["127.0.0.1:80", "::1:80", "0.0.0.0:1", "127.0.0.1:\u00b2", "[::1]:80"]),
)
SCALARS = st.one_of(st.none(), st.booleans(), NUMBERS, TEXTS)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3),
    max_leaves=6,
)
NESTED = [b"[" * DEPTH, b'{"a":' * DEPTH, b"[" * DEPTH + b"]" * DEPTH]
PROPERTY = settings(derandomize=True, max_examples=300)


def encode(value: Any) -> bytes:
    """Return JSON as another writer may write it: nan, huge numbers and half surrogates too."""
    return json.dumps(value).encode("utf-8", "surrogatepass")


def odd_bytes(*sound: dict[str, Any]) -> st.SearchStrategy[bytes]:
    """Return a strategy of bytes: any, any JSON, and sound objects with some fields replaced."""

    def replace(base: dict[str, Any]) -> st.SearchStrategy[bytes]:
        changes = st.dictionaries(st.sampled_from(sorted(base)), VALUES, min_size=1, max_size=2)
        return changes.map(lambda row: encode(base | row))

    return st.one_of(
        st.binary(max_size=60), VALUES.map(encode), st.sampled_from(NESTED), *map(replace, sound)
    )


ROUTE = {
    "name": "a",
    "host": "h",
    "path_prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 1,
    "target_latency_ms": 1,
    "gap_target_ms": 1,
    "run_target_ms": 1,
    "retention_s": 1,
    "priority": 1,
    "max_attempts": 1,
    "max_count": 1,
    "resumable": True,
    "traffic_split": [{"service": "s", "weight": 1}],
}
LIMITS = {
    "max_header_bytes": 1,
    "max_body_bytes": 1,
    "header_timeout_ms": 1,
    "idle_timeout_ms": 1,
}
ITEM = {"id": "i", "path": "/a/1", "headers": {"A": "b"}, "body": "YQ==", "tokens": 1}


def nest(field: str, inner: st.SearchStrategy[bytes], **others: Any) -> st.SearchStrategy[bytes]:
    """Return a strategy of objects with an odd value in a list field."""
    fields = encode(others)[:-1]
    comma = b", " if others else b""
    return inner.map(lambda v: fields + comma + b'"' + field.encode() + b'": [' + v + b"]}")


@PROPERTY
@given(value=odd_bytes(msgspec.json.decode(encode_entry())))
def test_any_entry_gives_a_target_that_can_be_used_or_none(value):
    target = WIRE.read_target("servers/t1", value)
    if target is not None:
        assert 0 < target.port <= 65_535
        assert 0 < target.slots <= SLOTS_MAX
        messages.pack_message(messages.TargetLeaving(*target.start))
        messages.pack_message(messages.GrantSlot(1, target.target_id, target.software_version))
        messages.pack_message(messages.FeedRows("targets", [("servers/t1", value, 1)], 1))


@PROPERTY
@given(
    value=st.one_of(
        odd_bytes({"version": 1, "routes": [ROUTE], "services": [], "limits": LIMITS}),
        nest("routes", odd_bytes(ROUTE), version=1),
        nest("services", odd_bytes({"name": "s", "engine": {"slots": 1}}), version=1, routes=[]),
    )
)
def test_any_configuration_is_decoded_or_refused(value):
    with contextlib.suppress(msgspec.DecodeError):
        configuration = WIRE.read_configuration(value)
        assert isinstance(configuration.find_route("h", "/a/x"), object)
        for route in configuration.routes:
            times = (route.timeout_s, route.objective_s, route.due_s, route.retention_s)
            assert all(math.isfinite(seconds) for seconds in times)
            int(route.timeout_s * 1000)


@PROPERTY
@given(body=st.one_of(odd_bytes({"items": [ITEM]}), nest("items", odd_bytes(ITEM))))
def test_any_job_can_be_stored_and_sent_or_is_a_bad_request(body):
    try:
        items = WIRE.read_job(body)
    except BadRequestError:
        return
    records.make_submission(records.JobKeys("cp/", "j1"), make_head(), items)
    for item in items:
        lines = [item.path, *(f"{k}: {v}" for k, v in WIRE.make_item_headers(item))]
        assert not any(c in line for line in lines for c in "\r\n\0")
        "\r\n".join(lines).encode("latin-1")


HEADER_NAMES = [
    "clementinepin-request-id",
    "clementinepin-deadline-ms",
    "clementinepin-token-count",
    "clementinepin-length-hint",
    "clementinepin-prompt-prefix",
    "clementinepin-wait-ms",
    "clementinepin-server-load",
    "server-limit",
    "server-leaving",
    "last-event-id",
    "resumes",
]
HEADER_TEXTS = st.one_of(
    st.text(st.characters(max_codepoint=255), max_size=20),
    st.sampled_from(["1e308", "1e999", "-1e308", "nan", "inf", "9" * 5000, "1,2,3", "1_0"]),
    NUMBERS.map(lambda n: f"{n:.300g}" if isinstance(n, float) else str(n)[:4000]),
)
HEADERS = st.dictionaries(st.sampled_from(HEADER_NAMES), HEADER_TEXTS, max_size=4)


@PROPERTY
@given(headers=HEADERS)
def test_any_headers_give_facts_that_can_be_passed_on(headers):
    facts = WIRE.read_request(headers | {"clementinepin-request-id": "q1"})
    WIRE.make_target_headers("t1", facts.time_left_s)
    numbers = (facts.prompt_tokens, facts.output_tokens_max, facts.length_hint)
    assert min(*numbers, facts.last_event_id) >= 0
    msgspec.msgpack.encode((*numbers, facts.last_event_id, facts.prefix_ids, facts.resumes))
    WIRE.read_load(headers)
    limit_per_s = WIRE.read_limit(headers)
    messages.pack_message(messages.ReportLoad(1, 1, limit_per_s))
    assert limit_per_s is None or math.isfinite(limit_per_s)
    WIRE.says_leaving(200, headers)


PATHS = st.one_of(
    st.text(st.characters(min_codepoint=33, max_codepoint=255), max_size=30),
    st.sampled_from(["//[", "http://[::1", "/v1/lots/j?after=", "/v1/items/", "*", "//", "http:"]),
    HEADER_TEXTS.map(lambda text: f"/v1/lots/j?after={text}"),
    HEADER_TEXTS.map(lambda text: f"/v1/items/{text}?id={text}&{text}"),
)


@PROPERTY
@given(method=st.sampled_from(["GET", "DELETE", "POST", "X"]), path=PATHS, headers=HEADERS)
def test_any_path_is_a_call_or_none_or_a_bad_request(method, path, headers):
    WIRE.read_request_id(path, headers)
    WIRE.read_resolve(path)
    with contextlib.suppress(BadRequestError):
        call = WIRE.read_job_call(method, path, headers)
        if call is not None:
            assert call.wait_s >= 0.0  # an owner that is not waited for counts as unresponsive
            messages.pack_message(messages.ReadJob(1, call.job_id, call.after, call.wait_s))


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("http://h.example/v1/lots/j?after=2#x", "j"),
        ("https://h.example:80/v1/lots/j", "j"),
        ("/v1/lots/j#x", "j"),
        ("//h.example/v1/lots/j", ""),
        ("http://[::1/v1/lots/j", "j"),
    ],
)
def test_the_path_of_a_target_with_a_host_is_read(path, expected):
    assert WIRE.read_request_id(path, {}) == expected


class FakeExchange:
    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.read_all = lambda _size_max: body


class FakeTransport:
    def __init__(self, status: int, body: bytes) -> None:
        self.send = lambda _request: FakeExchange(status, body)


ROW = {"key": "k", "value": "YQ==", "rev": 1, "created_at": 1, "lease": 0}
EVENT = {"key": "k", "rev": 1, "tombstone": True}
CALLS: list[tuple[Callable[[Any], Any], st.SearchStrategy[bytes]]] = [
    (lambda store: store.get("k"), odd_bytes(ROW)),
    (
        lambda store: store.list_range("k"),
        st.one_of(
            odd_bytes({"items": [ROW], "truncated": True, "store_revision": 1}),
            nest("items", odd_bytes(ROW)),
            nest("items", odd_bytes(ROW), truncated=True, store_revision=2),
        ),
    ),
    (
        lambda store: store.watch("k", 0),
        st.one_of(
            odd_bytes({"events": [ROW], "store_revision": 1}),
            nest("events", odd_bytes(ROW, EVENT), store_revision=3),
        ),
    ),
    (
        lambda store: store.write(Change({"k": 7}, {"k": b"1"})),
        st.one_of(odd_bytes({"rev": 1}, {"items": [ROW]}), nest("items", odd_bytes(ROW))),
    ),
    (lambda store: store.grant_lease(1.0), odd_bytes({"lease": 1, "ttl_ms": 1})),
    (lambda store: store.keep_lease(1), odd_bytes({"lease": 1, "ttl_ms": 1})),
]


@settings(derandomize=True, max_examples=500)
@given(data=st.data(), status=st.sampled_from([200, 200, 200, 404, 410, 412, 418]))
def test_any_reply_of_the_store_gives_a_value_or_a_typed_error(data, status):
    call, bodies = data.draw(st.sampled_from(CALLS))
    store = create_store(("127.0.0.1", 1), ManualClock())
    store._transport = FakeTransport(status, data.draw(bodies))  # type: ignore[assignment]
    with contextlib.suppress(ClementinepinError):
        msgspec.msgpack.encode(call(store))


@pytest.mark.parametrize("value", ["a", "=", "YQ", "\u00e9", "Y Q=="])
def test_a_value_that_is_no_base64_hides_no_other_row(value):
    """Guards against a range that could not be read for one of its rows."""
    rows = [ROW, ROW | {"key": "l", "value": value}, ROW | {"key": "m"}]
    store = create_store(("127.0.0.1", 1), ManualClock())
    store._transport = FakeTransport(200, encode({"items": rows}))  # type: ignore[assignment]
    found = [(row.key, row.value) for row in store.list_range("k").values]
    assert found == [("k", b"a"), ("l", b""), ("m", b"a")]
    store._transport = FakeTransport(200, encode({"events": rows}))  # type: ignore[assignment]
    assert [row.value for row in store.watch("k", 0)[0]] == [b"a", b"", b"a"]


SETTINGS_TEXT = """node = "n"
ip = "127.0.0.1"
zone = "a"
internal_ports = [7720]
serves = ["store"]
[platform]
address = "127.0.0.1:1"
[bounds]
"""


@pytest.mark.parametrize(
    "text",
    [
        SETTINGS_TEXT + "grace_period_s = nan",
        SETTINGS_TEXT + "grace_period_s = inf",
        SETTINGS_TEXT + "ttl_max_s = -1",
        SETTINGS_TEXT + f"settle_timeout_ms = {10**400}",
        SETTINGS_TEXT.replace("127.0.0.1:1", "127.0.0.1:\u00b2"),
        SETTINGS_TEXT.replace("127.0.0.1:1", "127.0.0.1:" + "9" * 5000),
        SETTINGS_TEXT.replace("127.0.0.1:1", "127.0.0.1:65536"),
        SETTINGS_TEXT.replace("[7720]", "[70000]"),
        SETTINGS_TEXT.replace("[7720]", "[" * DEPTH),
        SETTINGS_TEXT.replace("[7720]", "[" * DEPTH + "]" * DEPTH),
    ],
)
def test_odd_settings_are_refused_with_a_typed_error(tmp_path: Path, text: str) -> None:
    """Guards against a reload that ends its greenlet or brings values that no wait can use."""
    path = tmp_path / "local.toml"
    path.write_bytes(text.encode())
    with pytest.raises(SettingsError):
        load_instance_settings(str(path))


@PROPERTY
@given(data=st.one_of(st.binary(max_size=60), VALUES.map(encode)))
def test_any_settings_are_read_or_refused(data, tmp_path_factory):
    path = tmp_path_factory.getbasetemp() / "odd.toml"
    path.write_bytes(data)
    with pytest.raises(SettingsError):
        load_instance_settings(str(path))


def test_a_negative_wait_is_none():
    """Guards against a caller that makes the owner of a job count as unresponsive for all."""
    call = WIRE.read_job_call("GET", "/v1/lots/j", {"clementinepin-wait-ms": "-5000"})
    assert call is not None
    assert call.wait_s == 0.0


def test_instances_agree_on_an_entry_whatever_their_stacks():
    """Guards against an entry that names a target where the stack is low, and none elsewhere."""

    def read(nesting: int, stack: int) -> bool:
        if stack:
            return read(nesting, stack - 1)
        lists = b"[" * nesting + b"]" * nesting
        value = encode_entry()[:-1] + b',"more":' + lists + b"}"
        return WIRE.read_target("servers/t1", value) is not None

    found = [[read(nesting, stack) for nesting in range(10, 1200, 10)] for stack in (0, 300)]
    assert found[0] == found[1]
    assert sum(found[0]) == 49
