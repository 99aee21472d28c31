from __future__ import annotations

import gevent
import pytest

from clementinepin.core import DrainStarted
from clementinepin.entry._batches import parse_window
from clementinepin.exceptions import InvalidInputError
from tests.entry.fakes import KEY, OPERATOR_KEY, OTHER_KEY, PEER_SECRET, digest, wait_for
from tests.entry.test_multipart import TYPE, make_form
from tests.entry.test_online import COMPLETION, respond_complete

BATCH = {"input_file_id": "file-0", "endpoint": "/v1/completions", "completion_window": "24h"}
LINES = b'{"custom_id": "a"}\n'


def upload(entry, parts=(("purpose", None, b"batch"), ("file", "in.jsonl", LINES)), **options):
    headers = {"Content-Type": TYPE}
    return entry.call("POST", "/v1/files", make_form(parts), headers=headers, **options)


def test_files_are_stored_described_and_read(serve):
    entry = serve()
    stored = upload(entry).json
    assert stored["bytes"] == len(LINES)
    assert stored["filename"] == "in.jsonl"
    assert entry.call("GET", f"/v1/files/{stored['id']}").json == stored
    assert entry.call("GET", f"/v1/files/{stored['id']}/content").body == LINES


def test_files_and_jobs_of_another_account_are_not_found(serve):
    """Mutation: pass a fixed account to the batch service: another account can read them."""
    entry = serve()
    upload(entry)
    entry.call("POST", "/v1/batches", BATCH)
    for path in ("/v1/files/file-0", "/v1/files/file-0/content", "/v1/batches/batch-0"):
        assert entry.call("GET", path, key=OTHER_KEY).status == 404
    assert entry.call("GET", "/v1/files/output-batch-0/content", key=OTHER_KEY).status == 404
    assert entry.call("GET", "/v1/batches", key=OTHER_KEY).json["data"] == []


@pytest.mark.parametrize(
    ("parts", "code"),
    [
        ([("file", "n", b"x"), ("purpose", None, b"batch")], "upload_order"),
        ([("purpose", None, b"batch")], "invalid_request"),
        ([("purpose", None, b"assistants"), ("file", "n", b"x")], "invalid_request"),
        ([("purpose", None, b"batch"), ("other", "n", b"x")], "invalid_multipart"),
        ([("purpose", None, b"\xff"), ("file", "n", b"x")], "invalid_multipart"),
    ],
)
def test_invalid_uploads_get_an_error_code_and_store_nothing(serve, parts, code):
    entry = serve()
    response = upload(entry, parts)
    assert response.status == 400
    assert response.error["code"] == code
    assert entry.batch.files == {}


def test_an_upload_above_the_body_limit_is_stored_in_bounded_pieces(serve):
    entry = serve(limits={"body_max_bytes": 1000})
    response = upload(entry, [("purpose", None, b"batch"), ("file", "n", b"x" * 3_000_000)])
    assert response.json["bytes"] == 3_000_000
    assert entry.batch.piece_max <= 200_000


def test_a_job_is_accepted_once_and_described(serve):
    """Mutation: ``_make_job_key`` adds the time: a resend starts a second job."""
    entry = serve()
    upload(entry)
    first = entry.call("POST", "/v1/batches", BATCH).json
    assert entry.call("POST", "/v1/batches", BATCH).json["id"] == first["id"]
    assert len(entry.batch.jobs) == 1
    assert first["expires_at"] > 86_000
    shown = entry.call("GET", f"/v1/batches/{first['id']}").json
    assert shown["request_counts"] == {"total": 2, "completed": 1, "failed": 0}
    content = entry.call("GET", f"/v1/files/{shown['output_file_id']}/content")
    assert content.body == b'{"custom_id": "a"}\n{"custom_id": "b"}\n'
    assert entry.call("GET", f"/v1/files/{shown['output_file_id']}").json["purpose"]
    listed = entry.call("GET", "/v1/batches?limit=5").json["data"]
    assert [row["id"] for row in listed] == [first["id"]]
    cancelled = entry.call("POST", f"/v1/batches/{first['id']}/cancel")
    assert cancelled.json["status"] == "cancelling"


def test_a_limited_list_of_jobs_reports_that_there_are_more(serve):
    """Mutation: ``has_more`` is always False."""
    entry = serve()
    upload(entry)
    for week in range(3):
        entry.call("POST", "/v1/batches", BATCH, headers={"Idempotency-Key": f"week {week}"})
    first = entry.call("GET", "/v1/batches?limit=2").json
    second = entry.call("GET", f"/v1/batches?limit=2&after={first['last_id']}").json
    assert [first["has_more"], second["has_more"]] == [True, False]
    assert len({row["id"] for row in first["data"] + second["data"]}) == 3


def test_jobs_over_one_file_are_distinguished_by_their_key(serve):
    entry = serve()
    upload(entry)
    entry.call("POST", "/v1/batches", BATCH, headers={"Idempotency-Key": "week 1"})
    entry.call("POST", "/v1/batches", BATCH, headers={"Idempotency-Key": "week 2"})
    entry.call("POST", "/v1/batches", {**BATCH, "metadata": {"job_key": "week 2"}})
    assert len(entry.batch.jobs) == 2


@pytest.mark.parametrize(
    "change",
    [
        {"endpoint": "/v1/embeddings"},
        {"completion_window": "soon"},
        {"completion_window": "31d"},
        {"input_file_id": 3},
        {"metadata": {"a": 1}},
        {"input_file_id": "file-9"},
    ],
)
def test_invalid_jobs_are_rejected(serve, change):
    entry = serve()
    upload(entry)
    response = entry.call("POST", "/v1/batches", {**BATCH, **change})
    assert response.status in (400, 404)
    assert response.error["outcome"] == "not_run"
    assert entry.batch.jobs == {}


@pytest.mark.parametrize(("text", "seconds"), [("90m", 5400), ("24h", 86400), ("2d", 172800)])
def test_completion_windows_are_parsed(text, seconds):
    assert parse_window(text) == seconds


@pytest.mark.parametrize("text", ["", "0h", "-1h", "1w", "1.5h", "٣h", "9" * 40 + "s"])
def test_invalid_completion_windows_are_rejected(text):
    with pytest.raises(InvalidInputError):
        parse_window(text)


def test_models_are_those_of_the_account(serve):
    entry = serve()
    listed = entry.call("GET", "/v1/models").json["data"]
    assert [row["id"] for row in listed] == ["assist", "night"]
    assert entry.call("GET", "/v1/models/assist").json["id"] == "assist"
    for name in ("private", "night", "nothing"):
        response = entry.call("POST", "/v1/completions", {**COMPLETION, "model": name})
        assert response.error["code"] == "model_not_found"


def test_entries_are_listed_for_account_and_operator_keys(serve):
    entry = serve()
    for key in (KEY, OPERATOR_KEY):
        advice = entry.call("GET", "/v1/entries", key=key).json
        assert advice["valid_until"] == 99.0
        assert advice["data"][0]["url"] == "http://127.0.0.2:80"


def test_operator_resources(serve):
    entry = serve()
    files = {"base": 3, "files": {"a.toml": "version = 1"}}
    applied = entry.call("POST", "/ops/config", files, key=OPERATOR_KEY).json
    assert applied == {"revision": 7, "digest": "digest"}
    assert entry.fleet.applied == [({"a.toml": b"version = 1"}, 3)]
    shown = entry.call("GET", "/ops/config", key=OPERATOR_KEY).json
    assert shown == {"revision": 1, "digest": "d", "in_force": {"i1": 7}}
    instances = entry.call("GET", "/ops/instances", key=OPERATOR_KEY).json["data"]
    targets = entry.call("GET", "/ops/targets", key=OPERATOR_KEY).json
    assert [row["name"] for row in instances] == ["i2"]
    assert [row["name"] for row in targets["data"]] == ["w1"]
    assert targets["stewards"] == {"engines": "i2"}
    upload(entry)
    entry.call("POST", "/v1/batches", BATCH)
    jobs = entry.call("GET", "/ops/jobs", key=OPERATOR_KEY).json["data"]
    assert jobs[0]["account"] == "lets"
    cancelled = entry.call("POST", "/ops/jobs/lets/batch-0/cancel", key=OPERATOR_KEY)
    assert cancelled.json["state"] == "cancelling"


def test_the_state_dump_contains_no_secret(serve):
    """Mutation: dump all settings: the dump contains the peer secret and the key digest."""
    entry = serve()
    response = entry.call("GET", "/ops/state", key=OPERATOR_KEY)
    assert response.json["components"]["entry"]["active"] == 1
    for secret in (PEER_SECRET, KEY, digest(KEY), digest(OPERATOR_KEY)):
        assert secret.encode() not in response.body


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/v1/models", "", 401),
        ("/v1/models", "wrong", 401),
        ("/v1/models", "k" * 600, 401),
        ("/v1/models", OPERATOR_KEY, 401),
        ("/ops/state", KEY, 403),
        ("/ops/state", "wrong", 401),
        ("/nothing", KEY, 404),
        ("/v1/batches/a/b/c", KEY, 404),
        ("/v1/completions", KEY, 405),
    ],
)
def test_keys_and_paths_are_checked(serve, path, key, status):
    """Mutation: ``authorize`` accepts an account key for operators: 403 becomes 200."""
    response = serve().call("GET", path, key=key)
    assert response.status == status
    assert response.error["outcome"] == "not_run"


def test_health_needs_no_key(serve):
    assert serve().call("GET", "/healthz", key="").json == {"status": "ok"}


def test_a_draining_instance_serves_until_the_advice_expires_and_then_lists_others(serve):
    """Mutation: ``refuse_at`` is now: callers whose advice is still valid are rejected."""
    entry = serve(respond_complete, limits={"advice_s": 30.0, "drain_s": 60.0})
    assert entry.call("POST", "/ops/drain", key=OPERATOR_KEY).status == 202
    assert entry.core.draining
    served = entry.call("POST", "/v1/completions", COMPLETION)
    assert served.status == 200
    assert served.headers["connection"] == "close"
    entry.clock.advance(30.0)
    rejected = entry.call("POST", "/v1/completions", COMPLETION)
    assert rejected.error["code"] == "instance_leaving"
    assert rejected.error["outcome"] == "not_run"
    assert "127.0.0.2:80" in rejected.error["message"]
    assert entry.call("GET", "/ops/state", key=OPERATOR_KEY).json["draining"] is True


def test_a_draining_instance_rejects_what_may_outlast_it(serve):
    """Guards against requests that are accepted late in a drain and cut at its end (review/3)."""
    entry = serve(respond_complete, limits={"advice_s": 58.0, "drain_s": 60.0})
    gate = entry.entry._gate
    assert entry.call("POST", "/v1/completions", COMPLETION).status == 200
    gate.record_run("/v1/completions", entry.core.clock.monotonic() - 8.0)
    entry.call("POST", "/ops/drain", key=OPERATOR_KEY)
    entry.clock.advance(45.0)
    assert entry.call("POST", "/v1/completions", COMPLETION).status == 200
    entry.clock.advance(5.0)
    rejected = entry.call("POST", "/v1/completions", COMPLETION)
    assert rejected.error["code"] == "instance_leaving"
    assert rejected.error["outcome"] == "not_run"


def test_stop_waits_for_requests_in_flight(serve):
    """Mutation: ``stop`` does not wait for active requests: the slot is not freed yet."""

    def script(request):
        steps = respond_complete(request)
        yield steps[0]
        gevent.sleep(0.2)
        yield from steps[1:]

    entry = serve(script)
    running = gevent.spawn(entry.call, "POST", "/v1/completions", {**COMPLETION, "stream": True})
    wait_for(lambda: entry.describe("active") == 1)
    entry.entry.stop(entry.core.clock.monotonic() + 5.0)
    assert entry.scheduler.open == {}
    response = running.get()
    assert response.complete
    assert response.body.endswith(b"data: [DONE]\n\n")


def test_drain_is_published_once(serve):
    entry = serve()
    events = []
    entry.core.subscribe(DrainStarted, events.append)
    for _ in range(2):
        entry.call("POST", "/ops/drain", key=OPERATOR_KEY)
    assert len(events) == 1
