"""HTTP server of the instance list, in the HTTP service discovery format of Prometheus."""

from __future__ import annotations

from typing import Any

from gevent.pywsgi import WSGIServer

from clementinepin.helpers.clock import Clock
from clementinepin.infrastructure import ListedInstance
from standins.instance_list._table import LaggingTable
from standins.web import Request, Response, create_app
from standins.web import create_server as create_http_server

LABELS = ("name", "service", "data_centre", "region", "state")


class _Application:
    def __init__(self, table: LaggingTable) -> None:
        self._table = table
        self._available = True

    def route(self, request: Request) -> Response:
        """Answer one request."""
        resource = (request.method, request.path)
        if resource == ("PUT", "/standin/rows"):
            self._table.set_rows(_parse_group(group) for group in request.json())
            return Response.from_json({})
        if resource == ("PUT", "/standin/faults"):
            return self._set_faults(request.json())
        if resource != ("GET", "/instances"):
            return Response(404)
        if not self._available:
            return Response(503)
        return Response.from_json([_format_row(row) for row in self._table.list_rows()])

    def _set_faults(self, faults: dict[str, Any]) -> Response:
        self._table.lag_s = faults.get("lag_s", self._table.lag_s)
        self._available = faults.get("available", self._available)
        return Response.from_json({})


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
    application = _Application(LaggingTable(clock, lag_s))
    return create_http_server(port, create_app(application.route), host)
