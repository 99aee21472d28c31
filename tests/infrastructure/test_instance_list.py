from __future__ import annotations

import contextlib
import json
from collections.abc import Iterator

import msgspec
import pytest
from geventhttpclient import HTTPClient
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.helpers.clock import ManualClock, create_system_clock
from clementinepin.infrastructure import ListedInstance
from clementinepin.infrastructure._http import HttpClient, HttpResponse
from clementinepin.infrastructure._instance_list import HttpInstanceList, parse_group
from clementinepin.infrastructure.exceptions import PlatformUnavailableError
from standins.instance_list import LaggingTable, create_server

GROUP = {
    "targets": ["127.0.0.1:8000"],
    "labels": {
        "name": "n1",
        "service": "clementinepin",
        "data_centre": "dc1",
        "region": "r1",
        "state": "live",
        "peer_port": "8001",
    },
}
ROW = ListedInstance("n1", "clementinepin", "127.0.0.1", 8000, 8001, "dc1", "r1", "live")


@pytest.fixture
def port(clock: ManualClock) -> Iterator[int]:
    server = create_server("127.0.0.1", 0, clock)
    server.start()
    yield server.server_port
    server.stop(timeout=0)


def _put(port: int, path: str, body: object) -> None:
    client = HTTPClient("127.0.0.1", port)
    assert client.request("PUT", path, body=msgspec.json.encode(body)).status_code == 200
    client.close()


def test_fetch_reads_rows_over_http(port: int):
    _put(port, "/standin/rows", [GROUP])
    assert HttpInstanceList(f"127.0.0.1:{port}", create_system_clock()).fetch() == [ROW]


def test_error_status_raises_platform_unavailable(port: int):
    _put(port, "/standin/faults", {"available": False})
    with pytest.raises(PlatformUnavailableError):
        HttpInstanceList(f"127.0.0.1:{port}", create_system_clock()).fetch()


def test_closed_port_raises_platform_unavailable():
    with pytest.raises(PlatformUnavailableError):
        HttpInstanceList("127.0.0.1:1", create_system_clock()).fetch()


def test_fetch_shows_changes_only_after_the_lag(port: int, clock: ManualClock):
    _put(port, "/standin/faults", {"lag_s": 5.0})
    _put(port, "/standin/rows", [GROUP])
    _put(port, "/standin/rows", [])
    client = HttpInstanceList(f"127.0.0.1:{port}", create_system_clock())
    assert client.fetch() == [ROW]
    clock.advance(5.0)
    assert client.fetch() == []


@pytest.mark.parametrize(
    "change",
    [
        {"targets": []},
        {"targets": ["127.0.0.1"]},
        {"targets": ["127.0.0.1:0"]},
        {"labels": {"name": "n1"}},
        {"labels": {**GROUP["labels"], "state": "gone"}},
        {"labels": {**GROUP["labels"], "peer_port": "x"}},
    ],
)
def test_malformed_row_is_left_out(change: dict):
    assert parse_group(msgspec.json.encode({**GROUP, **change})) is None


def test_table_drops_history_that_it_can_no_longer_show(clock: ManualClock):
    table = LaggingTable(clock)
    for _ in range(3):
        table.set_rows([ROW])
        clock.advance(1.0)
    assert table.list_rows() == [ROW]
    assert len(table._history) == 1


DEEP = b'{"targets": ["127.0.0.1:1"], "labels": {}, "x": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"


def _read_list(monkeypatch: pytest.MonkeyPatch, body: bytes) -> list[ListedInstance]:
    monkeypatch.setattr(HttpClient, "fetch", lambda *_: HttpResponse(200, None, body))
    return HttpInstanceList("127.0.0.1:1", create_system_clock()).fetch()


# One row nested too deeply made the whole list unreadable: RecursionError, which no reader caught.
def test_deeply_nested_row_does_not_hide_the_others(monkeypatch: pytest.MonkeyPatch):
    group = msgspec.json.encode(GROUP)
    assert _read_list(monkeypatch, b"[" + DEEP + b"," + group + b"]") == [ROW]


def test_list_nested_too_deeply_raises_platform_unavailable(monkeypatch: pytest.MonkeyPatch):
    with pytest.raises(PlatformUnavailableError):
        _read_list(monkeypatch, b"[" * 100_000)


@pytest.mark.parametrize(
    "change",
    [
        {"targets": ["127.0.0.1:70000"]},
        {"targets": ["127.0.0.1:" + "9" * 5000]},
        {"targets": ["127.0.0.1:²"]},
        {"targets": ["a\0b:80"]},
        {"targets": [":80"]},
        {"labels": {**GROUP["labels"], "peer_port": 70000}},
        {"labels": {**GROUP["labels"], "peer_port": 10**400}},
        {"labels": {**GROUP["labels"], "name": "n\0"}},
    ],
)
def test_row_that_can_not_be_reached_is_left_out(change: dict):
    assert parse_group(json.dumps({**GROUP, **change}).encode()) is None


@settings(derandomize=True, max_examples=300)
@given(
    body=st.binary(max_size=80) | st.lists(st.binary(max_size=20)).map(lambda r: b",".join(r)),
    wrap=st.booleans(),
)
def test_any_list_gives_rows_or_platform_unavailable(body: bytes, wrap: bool):
    with pytest.MonkeyPatch.context() as monkeypatch, contextlib.suppress(PlatformUnavailableError):
        _read_list(monkeypatch, b"[" + body + b"]" if wrap else body)


@settings(derandomize=True, max_examples=300)
@given(
    targets=st.lists(st.text(max_size=24), max_size=2),
    labels=st.fixed_dictionaries(
        {"name": st.text(max_size=6), "service": st.text(max_size=6), "data_centre": st.text()},
        optional={"peer_port": st.integers() | st.text(max_size=5), "state": st.text(max_size=6)},
    ),
)
def test_any_group_gives_a_row_or_none(targets: list, labels: dict):
    row = parse_group(json.dumps({"targets": targets, "labels": labels}).encode())
    assert row is None or 0 < row.port < 65_536
