"""The list in the HTTP service discovery format of Prometheus."""

from __future__ import annotations

from typing import Any

from gevent.pywsgi import WSGIServer

from clementinepin.helpers.clock import Clock
from clementinepin.platform import ListedInstance
from standins._http import (
    Environ,
    StartResponse,
    answer_empty,
    answer_json,
    create_http_server,
    read_json,
)
from standins.instance_list._table import LaggingTable

LABELS = ("name", "service", "data_centre", "region", "state")


class _Application:
    def __init__(self, table: LaggingTable) -> None:
        self._table = table
        self._available = True

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        request = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if request == ("PUT", "/standin/rows"):
            self._table.set_rows(_parse_group(group) for group in read_json(environ))
            return answer_json(start_response, {})
        if request == ("PUT", "/standin/faults"):
            return self._set_faults(read_json(environ), start_response)
        if request != ("GET", "/instances"):
            return answer_empty(start_response, "404 Not Found")
        if not self._available:
            return answer_empty(start_response, "503 Service Unavailable")
        rows = [_format_row(row) for row in self._table.list_rows()]
        return answer_json(start_response, rows)

    def _set_faults(self, faults: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        self._table.lag_s = faults.get("lag_s", self._table.lag_s)
        self._available = faults.get("available", self._available)
        return answer_json(start_response, {})


def _parse_group(group: dict[str, Any]) -> ListedInstance:
    address, _, port = group["targets"][0].rpartition(":")
    labels = group["labels"]
    return ListedInstance(
        address=address,
        port=int(port),
        peer_port=int(labels.get("peer_port", 0)),
        **{key: labels[key] for key in LABELS},
    )


def _format_row(row: ListedInstance) -> dict[str, Any]:
    labels = {key: getattr(row, key) for key in LABELS}
    labels["peer_port"] = str(row.peer_port)
    return {"targets": [f"{row.address}:{row.port}"], "labels": labels}


def create_server(host: str, port: int, clock: Clock, lag_s: float = 0.0) -> WSGIServer:
    """Return the server, not yet started."""
    return create_http_server(host, port, _Application(LaggingTable(clock, lag_s)))
