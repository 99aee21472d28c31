"""Names and bodies of the platform's calls, decoded into the product's rows and back."""

from __future__ import annotations

import base64
import binascii
from typing import Final
from urllib.parse import parse_qs, quote, urlsplit

import msgspec

from clementinepin.serving.exceptions import BadRequestError
from clementinepin.serving.models import (
    CallerLimits,
    ItemResult,
    ItemState,
    JobItem,
    RequestFacts,
    Route,
    RouteKind,
    RoutingConfiguration,
    Service,
    ServiceShare,
    Target,
)
from clementinepin.serving.wire import JobCall

_PREFIX: Final = "clementinepin-"
_REQUEST_ID: Final = _PREFIX + "request-id"
_DEADLINE: Final = _PREFIX + "deadline-ms"
_TOKENS: Final = _PREFIX + "token-count"
_HINT: Final = _PREFIX + "length-hint"
_PROMPT: Final = _PREFIX + "prompt-prefix"
_WAIT: Final = _PREFIX + "wait-ms"
_EXPECT: Final = "Clementinepin-Expect-Instance"
_SIGNATURE: Final = _PREFIX + "server-signature"
_NOT_EXECUTED: Final = _PREFIX + "not-executed"
_LOAD: Final = _PREFIX + "server-load"
_LAST_EVENT: Final = "last-event-id"
_KINDS: Final = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
    "batch": RouteKind.JOB,
}
_FAILURES_FROM: Final = 400
_PROMISES: Final = frozenset({408, 421, 429, 503})  # each states that the request never runs
_STATES: Final = {ItemState.COMPLETED: "completed", ItemState.DEAD: "dead_lettered"}
_JOBS: Final = "/v1/lots/"
_BODIES: Final = "/v1/items/"
ITEMS_MAX: Final = 200  # the platform's bound on the items of one job
RESULTS_MAX_BYTES: Final = 1_000_000  # the platform's bound on one page of results


class _Share(msgspec.Struct):
    service: str
    weight: float = 0.0


class _Route(msgspec.Struct):
    """``max_count`` bounds waiting tokens; ``run_target_ms`` is when a job's results are due."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 5000.0
    target_latency_ms: float = 0.0
    gap_target_ms: float = 0.0
    run_target_ms: float = 0.0
    retention_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    max_count: int = 0
    resumable: bool = False
    service: str = ""
    traffic_split: list[_Share] = []


class _Engine(msgspec.Struct):
    slots: int = 0


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/health"
    max_connections: int = 64
    engine: _Engine = msgspec.field(default_factory=_Engine)


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Server(msgspec.Struct):
    """A target's own entry. ``sequence`` only shows that it is alive."""

    service: str
    address: str
    zone: str
    state: str
    slots: int
    born: int = 0


class _Item(msgspec.Struct):
    id: str
    path: str
    body: str
    headers: dict[str, str] = {}
    tokens: int = 0


class _Lot(msgspec.Struct):
    items: list[_Item]


_decode_config = msgspec.json.Decoder(_Config, strict=False).decode
_decode_server = msgspec.json.Decoder(_Server).decode
_decode_lot = msgspec.json.Decoder(_Lot).decode


class PlatformWire:
    """Translates the platform's messages; keeps no state."""

    config_key: str = "op/config"
    targets_prefix: str = "servers/"
    own_prefix: str = "cp/"
    retire_prefix: str = "op/retire/"
    ready_path: str = "/v1/ready"
    resolve_path: str = "/v1/resolve"

    def read_request(self, headers: dict[str, str]) -> RequestFacts:
        """Return the facts in lower-cased headers; raises BadRequestError without an id."""
        request_id = headers.get(_REQUEST_ID, "")
        if not request_id:
            raise BadRequestError("the request carries no id")
        prompt, _, output = headers.get(_TOKENS, "").partition(",")
        prefix = headers.get(_PROMPT, "")
        left_ms = _read_number(headers.get(_DEADLINE, ""))
        return RequestFacts(
            request_id=request_id,
            time_left_s=None if left_ms is None else left_ms / 1000,
            prompt_tokens=int(_read_number(prompt) or 0),
            output_tokens_max=int(_read_number(output) or 0),
            length_hint=int(_read_number(headers.get(_HINT, "")) or 0),
            prefix_ids=tuple(part.partition(":")[0].strip() for part in prefix.split(",") if part),
            last_event_id=int(_read_number(headers.get(_LAST_EVENT, "")) or 0),
        )

    def read_request_id(self, target: str, headers: dict[str, str]) -> str:
        """Return the id of a request, or of the job that it asks for; empty if it has none."""
        path = urlsplit(target).path
        job_id = path.removeprefix(_JOBS if path.startswith(_JOBS) else _BODIES)
        return headers.get(_REQUEST_ID) or (job_id if job_id != path else "")

    def is_replaced_header(self, name: str) -> bool:
        """Tell whether this lower-cased header is set anew on the way to a target."""
        return name == _DEADLINE or name == _EXPECT.lower()

    def make_target_headers(
        self, target_id: str, time_left_s: float | None
    ) -> list[tuple[str, str]]:
        """Return the headers that a target needs beside the caller's."""
        headers = [(_EXPECT, target_id)]
        if time_left_s is not None:
            headers.append(("Clementinepin-Deadline-Ms", str(max(1, int(time_left_s * 1000)))))
        return headers

    def make_resume_header(self, event_id: int) -> tuple[str, str]:
        """Return the header with which a stream goes on behind an event."""
        return "Last-Event-Id", str(event_id)

    def make_item_headers(self, item: JobItem) -> list[tuple[str, str]]:
        """Return an item's headers with its id."""
        kept = [(k, v) for k, v in item.headers if k.lower() != _REQUEST_ID]
        return [*kept, ("Clementinepin-Request-Id", item.item_id)]

    def is_refusal(self, status: int, headers: dict[str, str]) -> bool:
        """Tell whether a target's answer proves that it did not run the request."""
        return status == 421 or _NOT_EXECUTED in headers

    def is_answer_to(self, request_id: str, status: int, headers: dict[str, str]) -> bool:
        """Tell whether an answer names this request; only failures may name none.

        One that promises that the request did not run must name it: on a kept connection it may
        be a late answer to the one before.
        """
        named = headers.get(_REQUEST_ID)
        if named is None:
            promises = status in _PROMISES or _NOT_EXECUTED in headers
            return status >= _FAILURES_FROM and not promises
        return named == request_id

    def names_other(self, request_id: str, headers: dict[str, str]) -> bool:
        """Tell whether an answer names another request than this one."""
        return headers.get(_REQUEST_ID, request_id) != request_id

    def has_signature(self, headers: dict[str, str]) -> bool:
        """Tell whether a target signed its answer."""
        return _SIGNATURE in headers

    def read_load(self, headers: dict[str, str]) -> tuple[int, int, int] | None:
        """Return running and waiting requests and slots that an answer reports."""
        parts = headers.get(_LOAD, "").split(",")
        if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
            return None
        return int(parts[0]), int(parts[1]), int(parts[2])

    def read_configuration(self, value: bytes) -> RoutingConfiguration:
        """Decode the operators' configuration; raises msgspec.DecodeError."""
        config = _decode_config(value)
        services = {
            s.name: Service(s.name, s.health_path, s.max_connections, s.engine.slots)
            for s in config.services
        }
        limits = CallerLimits(
            config.limits.max_header_bytes,
            config.limits.max_body_bytes,
            config.limits.header_timeout_ms / 1000,
            config.limits.idle_timeout_ms / 1000,
        )
        routes = tuple(_make_route(route) for route in config.routes)
        return RoutingConfiguration(config.version, routes, services, limits)

    def read_target(self, key: str, value: bytes) -> Target | None:
        """Decode a target's entry; one that can't be read names no target to use."""
        try:
            entry = _decode_server(value)
            host, _, port = entry.address.rpartition(":")
            if entry.state not in ("ready", "draining") or not host or entry.slots <= 0:
                return None
            return Target(
                self.read_target_id(key),
                entry.service,
                host,
                int(port),
                entry.zone,
                entry.slots,
                entry.state == "draining",
                entry.born,
            )
        except (msgspec.DecodeError, ValueError):
            return None

    def read_target_id(self, key: str) -> str:
        """Return the id in the key of a target's entry."""
        return key.removeprefix(self.targets_prefix)

    def read_resolve(self, target: str) -> tuple[str, str, str]:
        """Return host name, region and data centre of a caller that asks where to connect."""
        query = parse_qs(urlsplit(target).query)
        return (
            query.get("name", [""])[0],
            query.get("region", [""])[0],
            query.get("zone", [""])[0],
        )

    def make_resolve_answer(self, addresses: list[str], ttl_s: float) -> bytes:
        """Return the body that tells a caller where to connect."""
        return msgspec.json.encode({"addresses": addresses, "ttl_s": ttl_s})

    def read_job_call(self, method: str, target: str, headers: dict[str, str]) -> JobCall | None:
        """Return the call on a job that a request makes, or None for other requests."""
        parts = urlsplit(target)
        query = parse_qs(parts.query)
        if parts.path.startswith(_JOBS):
            job_id = parts.path.removeprefix(_JOBS)
            if method == "DELETE":
                return JobCall("end", job_id)
            if method == "GET":
                after = _read_number(query.get("after", ["0"])[0])
                if after is None or after < 0:
                    raise BadRequestError("after is not a position")
                wait_s = (_read_number(headers.get(_WAIT, "")) or 0) / 1000
                return JobCall("read", job_id, after=int(after), wait_s=wait_s)
        if parts.path.startswith(_BODIES) and method == "GET":
            job_id = parts.path.removeprefix(_BODIES)
            return JobCall("body", job_id, item_id=query.get("id", [""])[0])
        return None

    def read_job(self, body: bytes) -> tuple[JobItem, ...]:
        """Decode the items of a job; raises BadRequestError when any of it is malformed."""
        try:
            lot = _decode_lot(body)
            items = tuple(
                JobItem(
                    item.id,
                    item.path,
                    tuple(item.headers.items()),
                    base64.b64decode(item.body, validate=True),
                    item.tokens,
                )
                for item in lot.items
            )
        except (msgspec.DecodeError, binascii.Error, ValueError) as err:
            raise BadRequestError(f"the job can't be read: {err}") from err
        if not items or len(items) > ITEMS_MAX:
            raise BadRequestError(f"a job has 1 to {ITEMS_MAX} items, not {len(items)}")
        if len({item.item_id for item in items}) != len(items):
            raise BadRequestError("two items of the job have the same id")
        return items

    def make_results(self, total: int, after: int, results: list[ItemResult]) -> bytes:
        """Return a page of results."""
        rows = [{"id": r.item_id, "state": _STATES[r.state], "text": r.text} for r in results]
        return msgspec.json.encode(
            {"total": total, "next_token": after + len(rows), "results": rows}
        )

    def read_retirement(self, key: str) -> str:
        """Return the instance that an operator's retirement order names."""
        return key.removeprefix(self.retire_prefix)

    def make_retirement(self, instance: str, *, done: bool) -> tuple[str, bytes]:
        """Return key and value that report how far an instance is emptied."""
        state = "completed" if done else "running"
        return f"status/retire/{instance}", msgspec.json.encode({"state": state})

    def quote(self, text: str) -> str:
        """Return a caller's text in a form that may stand in a key."""
        return quote(text, safe="")


def create_wire() -> PlatformWire:
    """Return the translator of the platform's messages."""
    return PlatformWire()


def _read_number(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def _make_route(route: _Route) -> Route:
    shares = tuple(ServiceShare(s.service, s.weight) for s in route.traffic_split)
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_KINDS.get(route.kind, RouteKind.NON_IDEMPOTENT),
        shares=shares or (ServiceShare(route.service, 1.0),),
        timeout_s=route.timeout_ms / 1000,
        objective_s=route.target_latency_ms / 1000,
        gap_objective_s=route.gap_target_ms / 1000,
        priority=route.priority,
        attempts_max=max(1, route.max_attempts),
        resumable=route.resumable,
        due_s=route.run_target_ms / 1000,
        retention_s=route.retention_s,
        tokens_max=route.max_count,
    )
