from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from standins.plain import PlainService
from standins.web import Request, StreamCutError


def make_request(path: str, key: str = "k1", body: bytes = b"") -> Request:
    return Request("POST", path, {}, {"x-run-key": key}, body)


def test_runs_are_counted_by_key_across_restarts(tmp_path: Path) -> None:
    journal = tmp_path / "runs"
    first = PlainService("p1", journal=journal)
    first.route(make_request("/bookings"))
    second = PlainService("p1", journal=journal)
    second.route(make_request("/bookings"))
    assert second.runs == {"k1": 2}


def test_cut_call_counts_as_a_run_and_closes_the_connection() -> None:
    service = PlainService("p1")
    service.route(make_request("/standin/fault", body=b'{"kind":"truncate"}'))
    with pytest.raises(StreamCutError):
        service.route(make_request("/bookings"))
    assert service.runs == {"k1": 1}


def test_leaving_service_refuses_calls_without_running_them() -> None:
    service = PlainService("p1")
    service.route(make_request("/standin/fault", body=b'{"kind":"leave"}'))
    response = service.route(make_request("/bookings"))
    assert (response.status, dict(response.headers)) == (503, {"X-Not-Admitted": "leaving"})
    assert service.runs == {}
    counts = service.route(Request("GET", "/standin/runs", {}, {}, b""))
    assert msgspec.json.decode(counts.body) == {"runs": {}}
