from __future__ import annotations

from collections.abc import Iterator

import msgspec
import pytest
from geventhttpclient import HTTPClient

from clementinepin.helpers.clock import ManualClock
from clementinepin.infrastructure import ListedInstance
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
    assert HttpInstanceList(f"127.0.0.1:{port}").fetch() == [ROW]


def test_error_status_raises_platform_unavailable(port: int):
    _put(port, "/standin/faults", {"available": False})
    with pytest.raises(PlatformUnavailableError):
        HttpInstanceList(f"127.0.0.1:{port}").fetch()


def test_closed_port_raises_platform_unavailable():
    with pytest.raises(PlatformUnavailableError):
        HttpInstanceList("127.0.0.1:1").fetch()


def test_fetch_shows_changes_only_after_the_lag(port: int, clock: ManualClock):
    _put(port, "/standin/faults", {"lag_s": 5.0})
    _put(port, "/standin/rows", [GROUP])
    _put(port, "/standin/rows", [])
    client = HttpInstanceList(f"127.0.0.1:{port}")
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
