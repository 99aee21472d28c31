from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from gevent.pywsgi import WSGIServer

from clementinepin._cli.exceptions import ExitCode
from clementinepin.cli import run
from standins.web import Request, Response, StreamCutError, create_app, create_server
from tests.ports import find_port

ROOT = Path(__file__).parents[2]
KIRKVOICE = str(ROOT / "examples" / "kirkvoice")
Route = Callable[[Request], Response]


class FakeEntry:
    """An HTTP server in place of an entry; tests set its answers by method and path."""

    def __init__(self) -> None:
        self.answers: dict[tuple[str, str], Route] = {}
        self.requests: list[Request] = []
        self.server: WSGIServer = create_server(0, create_app(self.route))
        self.server.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server.server_port}"

    def route(self, request: Request) -> Response:
        self.requests.append(request)
        answer = self.answers.get((request.method, request.path))
        return answer(request) if answer else Response(404)

    def answer_json(self, method: str, path: str, value: object, status: int = 200) -> None:
        self.answers[(method, path)] = lambda _: Response.from_json(value, status)

    def answer_error(self, method: str, path: str, status: int, code: str, outcome: str) -> None:
        error = {"error": {"message": "text", "code": code, "outcome": outcome, "retry_at": 60.0}}
        self.answer_json(method, path, error, status)

    def cut_response(self, method: str, path: str) -> None:
        def cut_stream(_: Request) -> Response:
            raise StreamCutError

        self.answers[(method, path)] = cut_stream


@pytest.fixture(autouse=True)
def keys(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("CLEMENTINEPIN_OPERATOR_KEY", "operator")
    monkeypatch.setenv("CLEMENTINEPIN_KEY", "account")
    monkeypatch.delenv("CLEMENTINEPIN_ENTRY", raising=False)


@pytest.fixture
def entry() -> Iterator[FakeEntry]:
    fake = FakeEntry()
    yield fake
    fake.server.stop(0)


@pytest.fixture
def other() -> Iterator[FakeEntry]:
    fake = FakeEntry()
    yield fake
    fake.server.stop(0)


def pick_closed_address() -> str:
    return f"127.0.0.1:{find_port()}"


@pytest.mark.parametrize(
    "argv",
    [
        [],
        ["show", "weather"],
        ["apply"],
        ["apply", KIRKVOICE, "--base", "x", "--entry", "127.0.0.1:1"],
        ["check", "no-such-folder"],
        ["show", "config"],
        ["show", "config", "--entry", "ftp://x"],
        ["show", "config", "--entry", "127.0.0.1:99999"],
        ["job", "submit", "no-such-file", "--entry", "127.0.0.1:1"],
        ["show", "config", "--entry", "127.0.0.1:1", "--operator-key-file", "no-such-file"],
    ],
)
def test_invalid_command_line_exits_with_usage(argv: list[str]) -> None:
    assert run(argv) == ExitCode.USAGE


def test_missing_key_exits_with_usage(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("CLEMENTINEPIN_OPERATOR_KEY")
    assert run(["show", "config", "--entry", "127.0.0.1:1"]) == ExitCode.USAGE


@pytest.mark.parametrize("name", ["kirkvoice", "lakaz"])
def test_check_accepts_the_examples(name: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert run(["check", str(ROOT / "examples" / name), "--json"]) == ExitCode.OK
    assert json.loads(capsys.readouterr().out)["services"] == 2


def test_check_reports_every_issue(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "a.toml").write_text('version = 1\n[models.m]\nservice = "s"\nspeed = 3\n')
    assert run(["check", str(tmp_path)]) == ExitCode.INVALID
    err = capsys.readouterr().err
    assert all(word in err for word in ("a.toml", "models.m", "speed", "weights"))


@pytest.mark.parametrize(
    ("status", "code", "outcome", "exit_code"),
    [
        (400, "invalid_request", "not_run", ExitCode.INVALID),
        (401, "unauthorised", "not_run", ExitCode.UNAUTHORISED),
        (409, "conflict", "not_run", ExitCode.CONFLICT),
        (429, "limited", "not_run", ExitCode.NOT_RUN),
        (502, "outcome_unknown", "outcome_unknown", ExitCode.OUTCOME_UNKNOWN),
        (503, "platform_unavailable", "not_run", ExitCode.NOT_RUN),
        (500, "internal_error", "failed", ExitCode.FAILED),
    ],
)
def test_exit_code_depends_on_status_and_outcome(
    entry: FakeEntry,
    capsys: pytest.CaptureFixture[str],
    status: int,
    code: str,
    outcome: str,
    exit_code: ExitCode,
) -> None:
    """Mutation: return OUTCOME_UNKNOWN for every RemoteError."""
    entry.answer_error("GET", "/ops/jobs", status, code, outcome)
    assert run(["show", "jobs", "--entry", entry.address]) == exit_code
    err = capsys.readouterr().err
    assert code in err
    assert "1970-01-01T00:01:00Z" in err


def test_error_response_without_error_object_has_unknown_outcome(entry: FakeEntry) -> None:
    entry.answers[("GET", "/ops/jobs")] = lambda _: Response(500, b"oops")
    assert run(["show", "jobs", "--entry", entry.address]) == ExitCode.OUTCOME_UNKNOWN


def test_next_entry_is_tried_if_a_connection_fails(
    entry: FakeEntry, capsys: pytest.CaptureFixture[str]
) -> None:
    entry.answer_json("GET", "/ops/instances", [{"name": "entry-1", "state": "live"}])
    addresses = f"{pick_closed_address()},{entry.address}"
    assert run(["show", "instances", "--entry", addresses]) == ExitCode.OK
    assert "entry-1  live" in capsys.readouterr().out
    assert entry.requests[0].headers["authorization"] == "Bearer operator"


def test_unreachable_entries_exit_with_not_run() -> None:
    assert run(["show", "config", "--entry", pick_closed_address()]) == ExitCode.NOT_RUN


def test_next_entry_is_tried_after_a_rejection_proven_not_run(
    entry: FakeEntry, other: FakeEntry
) -> None:
    entry.answer_error("POST", "/ops/config", 503, "leaving", "not_run")
    other.answer_json("POST", "/ops/config", {"revision": 4, "digest": "d"})
    addresses = f"{entry.address},{other.address}"
    assert run(["apply", KIRKVOICE, "--base", "3", "--entry", addresses]) == ExitCode.OK
    sent = json.loads(other.requests[0].body)
    assert sent["base"] == 3
    assert set(sent["files"]) == {"accounts.toml", "models.toml", "services.toml"}


def test_apply_is_not_sent_twice_after_a_lost_response(entry: FakeEntry, other: FakeEntry) -> None:
    """Mutation: remove the break after ResponseMissingError in EntryClient.send."""
    entry.cut_response("POST", "/ops/config")
    for fake in (entry, other):
        fake.answer_json("GET", "/ops/config", {"revision": 4, "digest": "x", "in_force": {}})
    addresses = f"{entry.address},{other.address}"
    code = run(["apply", KIRKVOICE, "--base", "3", "--entry", addresses])
    assert code == ExitCode.OUTCOME_UNKNOWN
    assert all(request.method == "GET" for request in other.requests)


def test_lost_response_of_apply_is_resolved_by_reading(
    entry: FakeEntry, capsys: pytest.CaptureFixture[str]
) -> None:
    """Mutation: compare only the revision in _resolve_outcome; the test above then exits OK."""
    run(["check", KIRKVOICE, "--json"])
    digest = json.loads(capsys.readouterr().out)["digest"]
    entry.cut_response("POST", "/ops/config")
    entry.answer_json("GET", "/ops/config", {"revision": 4, "digest": digest, "in_force": {}})
    argv = ["apply", KIRKVOICE, "--base", "3", "--entry", entry.address, "--json"]
    assert run(argv) == ExitCode.OK
    assert json.loads(capsys.readouterr().out) == {"revision": 4, "digest": digest}


def test_apply_waits_until_in_force_everywhere(entry: FakeEntry) -> None:
    entry.answer_json("POST", "/ops/config", {"revision": 4, "digest": "d"})
    answers = iter([{"a": 3, "b": 4}, {"a": 4, "b": 4}])
    entry.answers[("GET", "/ops/config")] = lambda _: Response.from_json(
        {"revision": 4, "digest": "d", "in_force": next(answers)}
    )
    assert run(["apply", KIRKVOICE, "--wait", "--entry", entry.address]) == ExitCode.OK
    assert next(answers, None) is None


def make_job(status: str, failed: int = 0) -> dict[str, object]:
    return {
        "id": "job-1",
        "status": status,
        "request_counts": {"total": 2, "completed": 2 - failed, "failed": failed},
        "output_file_id": "file-2",
    }


def test_job_submit_is_repeated_with_the_same_job_key(
    entry: FakeEntry, other: FakeEntry, tmp_path: Path
) -> None:
    """Mutation: include the time in the default job key."""
    file = tmp_path / "items.jsonl"
    file.write_bytes(b'{"custom_id":"a"}\n' * 50_000)
    for fake in (entry, other):
        fake.answer_json("POST", "/v1/files", {"id": "file-1"})
        fake.answer_json("GET", "/v1/batches/job-1", make_job("completed"))
    entry.cut_response("POST", "/v1/batches")
    other.answer_json("POST", "/v1/batches", make_job("in_progress"))
    addresses = f"{entry.address},{other.address}"
    assert run(["job", "submit", str(file), "--wait", "--entry", addresses]) == ExitCode.OK
    assert run(["job", "submit", str(file), "--entry", other.address]) == ExitCode.OK
    sent = [r for r in (*entry.requests, *other.requests) if r.path == "/v1/batches"]
    assert len(sent) == 3
    assert len({r.headers["idempotency-key"] for r in sent}) == 1
    upload = next(r for r in entry.requests if r.path == "/v1/files")
    assert file.read_bytes() in upload.body


def test_job_with_failed_items_exits_with_failed(entry: FakeEntry, tmp_path: Path) -> None:
    file = tmp_path / "items.jsonl"
    file.write_bytes(b"{}\n")
    entry.answer_json("POST", "/v1/files", {"id": "file-1"})
    entry.answer_json("POST", "/v1/batches", make_job("in_progress"))
    entry.answer_json("GET", "/v1/batches/job-1", make_job("completed", failed=1))
    argv = ["job", "submit", str(file), "--wait", "--entry", entry.address]
    assert run(argv) == ExitCode.FAILED


def test_job_results_are_written_completely(entry: FakeEntry, tmp_path: Path) -> None:
    entry.answer_json("GET", "/v1/batches/job-1", make_job("completed"))
    entry.answers[("GET", "/v1/files/file-2/content")] = lambda _: Response(200, iter([b"a", b"b"]))
    output = tmp_path / "results"
    argv = ["job", "results", "job-1", "--output", str(output), "--entry", entry.address]
    assert run(argv) == ExitCode.OK
    assert output.read_bytes() == b"ab"


def test_results_that_cannot_be_written_exit_with_a_message(
    entry: FakeEntry, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Mutation: let the OSError of the output file pass: the tool ends with a traceback."""
    output = tmp_path / "missing" / "results"
    argv = ["job", "results", "job-1", "--output", str(output), "--entry", entry.address]
    assert run(argv) == ExitCode.USAGE
    assert str(output) in capsys.readouterr().err


@pytest.mark.parametrize("command", [["job", "list"], ["show", "instances"]])
def test_a_success_without_json_exits_with_a_message(
    entry: FakeEntry, command: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Mutation: decode without a check: the tool ends with a traceback."""
    for path in ("/v1/batches", "/ops/instances"):
        entry.answers[("GET", path)] = lambda _: Response(200, b"<html>Welcome</html>")
    assert run([*command, "--entry", entry.address]) == ExitCode.OUTCOME_UNKNOWN
    assert "<html>Welcome" in capsys.readouterr().err


def test_truncated_results_exit_with_outcome_unknown(entry: FakeEntry, tmp_path: Path) -> None:
    """Mutation: ignore the HTTP parser's error in EntryClient.stream."""

    def chunks() -> Iterator[bytes]:
        yield b"a"
        raise StreamCutError

    entry.answer_json("GET", "/v1/batches/job-1", make_job("completed"))
    entry.answers[("GET", "/v1/files/file-2/content")] = lambda _: Response(200, chunks())
    argv = ["job", "results", "job-1", "--output", str(tmp_path / "r"), "--entry", entry.address]
    assert run(argv) == ExitCode.OUTCOME_UNKNOWN


def test_drain_is_sent_to_the_named_instance(entry: FakeEntry, other: FakeEntry) -> None:
    host, _, port = other.address.rpartition(":")
    row = {"name": "entry-2", "service": "clementinepin", "address": host, "port": int(port)}
    entry.answer_json("GET", "/ops/instances", [row])
    other.answer_json("POST", "/ops/drain", {"draining": True})
    assert run(["drain", "entry-2", "--entry", entry.address]) == ExitCode.OK
    assert [(r.method, r.path) for r in other.requests] == [("POST", "/ops/drain")]
    assert run(["drain", "entry-9", "--entry", entry.address]) == ExitCode.USAGE


def test_drain_waits_until_the_instance_has_stopped(entry: FakeEntry, other: FakeEntry) -> None:
    """Mutation: return from _wait_until_stopped on any error; a rejection then counts as a stop."""
    host, _, port = other.address.rpartition(":")
    row = {"name": "entry-2", "service": "clementinepin", "address": host, "port": int(port)}
    entry.answer_json("GET", "/ops/instances", [row])
    other.answer_json("POST", "/ops/drain", {"draining": True})
    health_checks = []

    def reject(_: Request) -> Response:
        health_checks.append(1)
        if len(health_checks) == 2:
            other.server.stop_accepting()
            other.server.close()
        return Response(503, b"{}")

    other.answers[("GET", "/healthz")] = reject
    assert run(["drain", "entry-2", "--wait", "--entry", entry.address]) == ExitCode.OK
    assert len(health_checks) == 2
