from __future__ import annotations

import msgspec
import pytest

from clementinepin.platform import create_wire
from clementinepin.serving.exceptions import BadRequestError
from clementinepin.serving.models import ItemResult, ItemState, JobItem, RouteKind
from clementinepin.serving.wire import JobCall

WIRE = create_wire()
CONFIG = b"""{"version":7,"routes":[
{"name":"a","host":"h","path_prefix":"/a/","kind":"streaming","timeout_ms":5000,
 "target_latency_ms":300,"gap_target_ms":200,"priority":1,"service":"s","max_attempts":2,
 "resumable":true},
{"name":"b","host":"h","path_prefix":"/a/b/","kind":"batch","timeout_ms":15000,
 "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}],
 "run_target_ms":18000,"retention_s":60,"max_count":500}],
"services":[{"name":"s","max_connections":160,"engine":{"slots":8}}],
"limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}"""


def test_the_configuration_is_decoded():
    configuration = WIRE.read_configuration(CONFIG)
    stream, job = configuration.routes
    assert configuration.version == 7
    assert (stream.kind, stream.resumable, stream.attempts_max) == (RouteKind.STREAM, True, 2)
    assert (stream.objective_s, stream.gap_objective_s, stream.priority) == (0.3, 0.2, 1)
    assert (job.kind, job.due_s, job.tokens_max) == (RouteKind.JOB, 18.0, 500)
    assert [share.weight for share in job.shares] == [90, 10]
    assert configuration.limits.body_max_bytes == 200


def test_the_route_with_the_longest_matching_prefix_is_found():
    configuration = WIRE.read_configuration(CONFIG)
    found = [configuration.find_route("h", path) for path in ("/a/x", "/a/b/x", "/z/")]
    assert [route.name if route else None for route in found] == ["a", "b", None]
    assert configuration.find_route("other", "/a/x") is None


def test_the_facts_of_a_request_are_read_from_its_headers():
    facts = WIRE.read_request(
        {
            "clementinepin-request-id": "q",
            "clementinepin-token-count": "450,80",
            "clementinepin-prompt-prefix": "aa:200,bb:50",
            "clementinepin-deadline-ms": "4200",
            "last-event-id": "3",
            "resumes": "q0",
        }
    )
    assert facts.resumes == "q0"
    assert (facts.prompt_tokens, facts.output_tokens_max, facts.last_event_id) == (450, 80, 3)
    assert (facts.prefix_ids, facts.time_left_s) == (("aa", "bb"), 4.2)


def test_a_request_without_an_id_is_a_bad_request():
    with pytest.raises(BadRequestError):
        WIRE.read_request({})


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (503, {"clementinepin-not-executed": "1"}, True),
        (421, {}, True),
        (503, {}, False),
        (200, {}, False),
    ],
)
def test_only_a_marked_response_proves_that_nothing_ran(status, headers, expected):
    assert WIRE.is_refusal(status, headers) is expected


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("GET", "/v1/lots/j?after=12", JobCall("read", "j", 12, wait_s=1.0)),
        ("DELETE", "/v1/lots/j", JobCall("end", "j")),
        ("GET", "/v1/items/j?id=i", JobCall("body", "j", item_id="i")),
        ("POST", "/v1/lots/j", None),
        ("GET", "/other", None),
    ],
)
def test_job_calls_are_read_from_method_and_path(method, path, expected):
    assert WIRE.read_job_call(method, path, {"clementinepin-wait-ms": "1000"}) == expected


def test_a_position_that_is_not_a_number_is_a_bad_request():
    with pytest.raises(BadRequestError):
        WIRE.read_job_call("GET", "/v1/lots/j?after=x", {})


def test_results_are_encoded_in_the_terms_of_the_wire():
    results = [ItemResult("i", ItemState.DEAD, "")]
    page = msgspec.json.decode(WIRE.make_results(4, 2, results))
    assert page["next_token"] == 3
    assert page["results"] == [{"id": "i", "state": "dead_lettered", "text": ""}]


def test_an_item_is_sent_with_its_own_id():
    item = JobItem("i", "/x", (("Clementinepin-Request-Id", "other"), ("A", "b")), b"", 1)
    assert WIRE.make_item_headers(item) == [("A", "b"), ("Clementinepin-Request-Id", "i")]


@pytest.mark.parametrize(
    "value", ["", "1,2", "a,b,c", "1,2,3,4", "\u00b2,0,8", "1,0," + "9" * 5000, "-1,0,8"]
)
def test_a_malformed_load_header_returns_none(value):
    assert WIRE.read_load({"clementinepin-server-load": value}) is None


@pytest.mark.parametrize(
    ("value", "expected"),
    [("2.5", 2.5), ("0", 0.0), ("", None), ("-1", None), ("nan", None), ("inf", None), ("x", None)],
)
def test_a_limit_is_a_number_of_requests_a_second(value: str, expected: float | None) -> None:
    assert WIRE.read_limit({"server-limit": value}) == expected
    assert WIRE.read_limit({}) is None


def test_a_retirement_key_contains_its_instance():
    assert WIRE.read_retirement("op/retire/store-1") == "store-1"
    key, value = WIRE.make_retirement("store-1", done=True)
    assert (key, msgspec.json.decode(value)) == ("status/retire/store-1", {"state": "completed"})


@pytest.mark.parametrize("value", ["inf,1", "nan,1", "1e999,1", "\u00b2,x"])
def test_a_number_of_tokens_that_is_none_counts_as_unknown(value: str) -> None:
    """Guards against a request that ends its connection without a response."""
    facts = WIRE.read_request(
        {
            "clementinepin-request-id": "q1",
            "clementinepin-token-count": value,
            "last-event-id": "inf",
        }
    )
    assert (facts.prompt_tokens, facts.last_event_id) == (0, 0)
