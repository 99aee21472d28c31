"""Settings, routes and job records shared by tests of the serving path."""

from __future__ import annotations

from clementinepin.serving import _job_records as records
from clementinepin.serving.models import InstanceSettings, JobItem, Route, RouteKind, ServiceShare

SETTINGS = InstanceSettings(
    name="store-1",
    runs_jobs=True,
    host="127.0.0.1",
    data_centre="a",
    region="r",
    link_port=0,
    entry_address=None,
    ready_address=None,
    directory_address=None,
    metrics_address=None,
    store_address=("127.0.0.1", 1),
    grace_s=8.0,
    directory_ttl_max_s=5.0,
    settle_s=1.0,
    status_retention_s=120.0,
    connections_max=64,
)


def make_route(**changes: object) -> Route:
    route = Route(
        name="r",
        host="h.example",
        path_prefix="/x/",
        kind=RouteKind.STREAM,
        shares=(ServiceShare("llm", 1.0),),
        timeout_s=5.0,
        objective_s=0.3,
        gap_objective_s=0.2,
        attempts_max=2,
        due_s=18.0,
        retention_s=60.0,
    )
    return route._replace(**changes)  # type: ignore[arg-type]


def make_items(count: int, tokens: int = 100) -> tuple[JobItem, ...]:
    return tuple(JobItem(f"i{n}", f"/x/{n}", (), b"body", tokens) for n in range(count))


def make_head(
    job_id: str = "j1", owner: str = "store-1", now_s: float = 1_000_000.0
) -> records.JobHead:
    now_ms = int(now_s * 1000)
    return records.JobHead(
        job_id, "r", "h.example", owner, now_ms, now_ms + 18_000, now_ms + 60_000, 0
    )
