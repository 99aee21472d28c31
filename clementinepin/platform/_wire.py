"""Converts the platform's headers, paths and bodies to the product's types and back."""

from __future__ import annotations

import re
from typing import Final
from urllib.parse import quote

import msgspec
from loguru import logger

from clementinepin.platform import _formats as formats
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

_HEADER_PREFIX: Final = "clementinepin-"
_REQUEST_ID_HEADER: Final = _HEADER_PREFIX + "request-id"
_DEADLINE_HEADER: Final = _HEADER_PREFIX + "deadline-ms"
_TOKENS_HEADER: Final = _HEADER_PREFIX + "token-count"
_LENGTH_HINT_HEADER: Final = _HEADER_PREFIX + "length-hint"
_PROMPT_PREFIX_HEADER: Final = _HEADER_PREFIX + "prompt-prefix"
_WAIT_HEADER: Final = _HEADER_PREFIX + "wait-ms"
_EXPECTED_INSTANCE_HEADER: Final = "Clementinepin-Expect-Instance"
_SIGNATURE_HEADER: Final = _HEADER_PREFIX + "server-signature"
_NOT_EXECUTED_HEADER: Final = _HEADER_PREFIX + "not-executed"
_LOAD_HEADER: Final = _HEADER_PREFIX + "server-load"
_COUNT: Final = r"\s*([0-9]{1,9})\s*"
_LOAD: Final = re.compile(f"{_COUNT},{_COUNT},{_COUNT}")
_LIMIT_HEADER: Final = "server-limit"
_LEAVING_HEADER: Final = "server-leaving"
_LEAVING: Final = "1"
_LAST_EVENT_HEADER: Final = "last-event-id"
_RESUMES_HEADER: Final = "resumes"
_ROUTE_KINDS: Final = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
    "batch": RouteKind.JOB,
}
_ERROR_STATUS_MIN: Final = 400
# Each of these statuses guarantees that the request never runs.
_NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
_ITEM_STATES: Final = {ItemState.COMPLETED: "completed", ItemState.DEAD: "dead_lettered"}
_JOBS_PATH: Final = "/v1/lots/"
_BODIES_PATH: Final = "/v1/items/"
ITEMS_MAX: Final = 200  # the platform's limit for one job
RESULTS_MAX_BYTES: Final = 1_000_000  # the platform's limit for one page


class PlatformWire:
    """Converts the platform's messages. It has no state."""

    config_key: str = "op/config"
    targets_prefix: str = "servers/"
    own_prefix: str = "cp/"
    retire_prefix: str = "op/retire/"
    ready_path: str = "/v1/ready"
    resolve_path: str = "/v1/resolve"

    def read_request(self, headers: dict[str, str]) -> RequestFacts:
        """Return the facts in the headers, which have lower-cased names.

        Raises BadRequestError if there is no request id. Numbers that can't be parsed count as
        absent.
        """
        request_id = headers.get(_REQUEST_ID_HEADER, "")
        if not request_id:
            raise BadRequestError(f"the request has no {_REQUEST_ID_HEADER} header")
        prompt, _, output = headers.get(_TOKENS_HEADER, "").partition(",")
        prefix = headers.get(_PROMPT_PREFIX_HEADER, "")
        time_left_ms = formats.parse_number(headers.get(_DEADLINE_HEADER, ""))
        return RequestFacts(
            request_id=request_id,
            time_left_s=None if time_left_ms is None else time_left_ms / 1000,
            prompt_tokens=formats.parse_count(prompt),
            output_tokens_max=formats.parse_count(output),
            length_hint=formats.parse_count(headers.get(_LENGTH_HINT_HEADER, "")),
            prefix_ids=tuple(part.partition(":")[0].strip() for part in prefix.split(",") if part),
            last_event_id=formats.parse_count(headers.get(_LAST_EVENT_HEADER, "")),
            resumes=headers.get(_RESUMES_HEADER, ""),
        )

    def read_request_id(self, target: str, headers: dict[str, str]) -> str:
        """Return the id of a request, or of the job in its path, or an empty string."""
        path, _ = formats.split_target(target)
        job_id = path.removeprefix(_JOBS_PATH if path.startswith(_JOBS_PATH) else _BODIES_PATH)
        return headers.get(_REQUEST_ID_HEADER) or (job_id if job_id != path else "")

    def is_replaced_header(self, name: str) -> bool:
        """Return whether a header, given in lower case, is replaced on requests to a target."""
        return name == _DEADLINE_HEADER or name == _EXPECTED_INSTANCE_HEADER.lower()

    def make_target_headers(
        self, target_id: str, time_left_s: float | None
    ) -> list[tuple[str, str]]:
        """Return the headers that a target needs in addition to the caller's."""
        headers = [(_EXPECTED_INSTANCE_HEADER, target_id)]
        if time_left_s is not None:
            headers.append(("Clementinepin-Deadline-Ms", str(max(1, int(time_left_s * 1000)))))
        return headers

    def make_resume_header(self, event_id: int) -> tuple[str, str]:
        """Return the header that resumes a stream after an event."""
        return "Last-Event-Id", str(event_id)

    def make_item_headers(self, item: JobItem) -> list[tuple[str, str]]:
        """Return an item's headers, with its own id as the request id."""
        kept = [(k, v) for k, v in item.headers if k.lower() != _REQUEST_ID_HEADER]
        return [*kept, ("Clementinepin-Request-Id", item.item_id)]

    def is_refusal(self, status: int, headers: dict[str, str]) -> bool:
        """Return whether a target's response proves that it did not run the request."""
        return status == 421 or _NOT_EXECUTED_HEADER in headers

    def is_response_to(self, request_id: str, status: int, headers: dict[str, str]) -> bool:
        """Return whether a response belongs to this request.

        A response without a request id is accepted only if it is an error that does not
        guarantee that the request did not run. A guarantee must have the id, because on a reused
        connection it may be a late response to the previous request.
        """
        response_id = headers.get(_REQUEST_ID_HEADER)
        if response_id is None:
            guarantees_not_run = status in _NOT_RUN_STATUSES or _NOT_EXECUTED_HEADER in headers
            return status >= _ERROR_STATUS_MIN and not guarantees_not_run
        return response_id == request_id

    def names_request(self, request_id: str, headers: dict[str, str]) -> bool:
        """Return whether a response has the id of this request."""
        return headers.get(_REQUEST_ID_HEADER) == request_id

    def names_other_request(self, request_id: str, headers: dict[str, str]) -> bool:
        """Return whether a response has the id of another request."""
        return headers.get(_REQUEST_ID_HEADER, request_id) != request_id

    def has_signature(self, headers: dict[str, str]) -> bool:
        """Return whether a response has a target's signature."""
        return _SIGNATURE_HEADER in headers

    def read_load(self, headers: dict[str, str]) -> tuple[int, int, int] | None:
        """Return the numbers of running requests, waiting requests and slots in a response.

        Returns None if the header is missing or malformed.
        """
        match = _LOAD.fullmatch(headers.get(_LOAD_HEADER, ""))
        return (int(match[1]), int(match[2]), int(match[3])) if match is not None else None

    def read_limit(self, headers: dict[str, str]) -> float | None:
        """Return the requests a second that a target takes at present, or None without a limit."""
        limit = formats.parse_number(headers.get(_LIMIT_HEADER, ""))
        return limit if limit is not None and limit >= 0.0 else None

    def says_leaving(self, status: int, headers: dict[str, str]) -> bool:
        """Return whether the target that responds says that it leaves.

        A response with status 421 is that of another target at the same address.
        """
        value = headers.get(_LEAVING_HEADER)
        if value is None or status == 421:
            return False
        if value.strip() != _LEAVING:
            log = logger.bind(
                request_id=headers.get(_REQUEST_ID_HEADER, ""),
                value=value[: formats.TEXT_MAX_CHARS],
            )
            log.warning("leaving_value_ignored")
            return False
        return True

    def read_configuration(self, value: bytes) -> RoutingConfiguration:
        """Decode the operators' configuration. Raises msgspec.DecodeError if it is invalid."""
        config = formats.decode_configuration(value)
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
        """Return the target in an entry, or None if the entry is invalid or not to be used."""
        try:
            entry = formats.decode_entry(value)
            host, port = formats.read_address(entry.address)
        except msgspec.DecodeError:
            return None
        target_id = self.read_target_id(key)
        is_target = key.startswith(self.targets_prefix) and formats.TARGET_ID.fullmatch(target_id)
        if not is_target or entry.state not in ("ready", "draining"):
            return None
        return Target(
            target_id,
            entry.service,
            host,
            port,
            entry.zone,
            entry.slots,
            entry.state == "draining",
            entry.born,
            entry.version,
        )

    def read_target_id(self, key: str) -> str:
        """Return the target id in the key of an entry."""
        return key.removeprefix(self.targets_prefix)

    def read_resolve(self, target: str) -> tuple[str, str, str]:
        """Return the host name, region and data centre in a resolve request."""
        _, query = formats.split_target(target)
        return (
            query.get("name", [""])[0],
            query.get("region", [""])[0],
            query.get("zone", [""])[0],
        )

    def make_resolve_response(self, addresses: list[str], ttl_s: float) -> bytes:
        """Return the response body for a resolve request: addresses and their TTL in seconds."""
        return msgspec.json.encode({"addresses": addresses, "ttl_s": ttl_s})

    def read_job_call(self, method: str, target: str, headers: dict[str, str]) -> JobCall | None:
        """Return the job call in a request, or None for other requests.

        Raises BadRequestError if the position is not a number of at least 0.
        """
        path, query = formats.split_target(target)
        if path.startswith(_JOBS_PATH):
            job_id = path.removeprefix(_JOBS_PATH)
            if method == "DELETE":
                return JobCall("end", job_id)
            if method == "GET":
                after = formats.parse_number(query.get("after", ["0"])[0])
                if after is None or after < 0:
                    raise BadRequestError("after must be a position of at least 0")
                wait_s = formats.parse_count(headers.get(_WAIT_HEADER, "")) / 1000
                return JobCall("read", job_id, after=int(after), wait_s=wait_s)
        if path.startswith(_BODIES_PATH) and method == "GET":
            job_id = path.removeprefix(_BODIES_PATH)
            return JobCall("body", job_id, item_id=query.get("id", [""])[0])
        return None

    def read_job(self, body: bytes) -> tuple[JobItem, ...]:
        """Return the items of a job.

        Raises BadRequestError if the body is malformed, two ids are the same, or the number of
        items is not between 1 and ITEMS_MAX.
        """
        try:
            items = tuple(formats.make_item(item) for item in formats.decode_lot(body).items)
        except msgspec.DecodeError as err:
            raise BadRequestError(f"the job can't be parsed: {err}") from err
        if not items or len(items) > ITEMS_MAX:
            raise BadRequestError(f"a job must have 1 to {ITEMS_MAX} items, not {len(items)}")
        if len({item.item_id for item in items}) != len(items):
            raise BadRequestError("two items of the job have the same id")
        return items

    def make_results(self, total: int, after: int, results: list[ItemResult]) -> bytes:
        """Return a page of results as JSON; ``after`` is the number of results before the page."""
        rows = [{"id": r.item_id, "state": _ITEM_STATES[r.state], "text": r.text} for r in results]
        return msgspec.json.encode(
            {"total": total, "next_token": after + len(rows), "results": rows}
        )

    def read_retirement(self, key: str) -> str:
        """Return the instance in the key of an operator's retirement order."""
        return key.removeprefix(self.retire_prefix)

    def make_retirement(self, instance: str, *, done: bool) -> tuple[str, bytes]:
        """Return the key and value that report whether an instance's retirement is done."""
        state = "completed" if done else "running"
        return f"status/retire/{instance}", msgspec.json.encode({"state": state})

    def quote(self, text: str) -> str:
        """Return a caller's text escaped for use in a key."""
        return quote(text, safe="")


def create_wire() -> PlatformWire:
    """Return the converter of the platform's messages."""
    return PlatformWire()


def _make_route(route: formats.RouteRow) -> Route:
    shares = tuple(ServiceShare(s.service, s.weight) for s in route.traffic_split)
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_ROUTE_KINDS.get(route.kind, RouteKind.NON_IDEMPOTENT),
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
