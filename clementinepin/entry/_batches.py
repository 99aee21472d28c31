"""Resource ``/v1/batches``: batch jobs."""

from __future__ import annotations

import hashlib
import re
from typing import Any, Final
from urllib.parse import parse_qs

import msgspec
import voluptuous as vol

from clementinepin.batch import JobStatus
from clementinepin.entry._calls import check_body
from clementinepin.entry._completions import CHAT_PATH, COMPLETIONS_PATH
from clementinepin.entry._context import EntryContext
from clementinepin.entry._files import OUTPUT_PREFIX
from clementinepin.entry._http import Request, Response, make_json_response
from clementinepin.entry._idempotency import read_idempotency_key
from clementinepin.exceptions import InvalidInputError

WINDOW_PATTERN: Final = re.compile(r"([1-9]\d{0,6})([smhd])")
WINDOW_UNITS_S: Final = {"s": 1, "m": 60, "h": 3_600, "d": 86_400}
WINDOW_MAX_S: Final = 30 * 86_400
LIST_LIMIT_DEFAULT: Final = 20
LIST_LIMIT_MAX: Final = 100
JOB_KEY_FIELD: Final = "job_key"
BATCH_SCHEMA: Final = vol.Schema(
    {
        vol.Required("input_file_id"): vol.All(str, vol.Length(min=1, max=256)),
        vol.Required("endpoint"): vol.In([COMPLETIONS_PATH, CHAT_PATH]),
        vol.Required("completion_window"): str,
        vol.Optional("metadata"): vol.Any(None, vol.All({str: str}, vol.Length(max=16))),
    },
    extra=vol.ALLOW_EXTRA,
)


class Batches:
    """Accepts, describes, lists and cancels jobs."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def create(self, request: Request) -> Response:
        """Accept a job; if the job was accepted before, return the existing job.

        Jobs are identified by the idempotency key, else by ``metadata.job_key``, else by the input
        file and the endpoint.
        """
        body = request.read_json()
        check_body(body, BATCH_SCHEMA)
        due_at = self._context.core.clock.wall() + parse_window(body["completion_window"])
        status = self._context.batch.submit(
            request.account.name,
            _make_job_key(request, body),
            body["input_file_id"],
            body["endpoint"],
            due_at,
        )
        return make_json_response(format_job(status))

    def retrieve(self, request: Request) -> Response:
        """Return a job."""
        job_id = request.params["job_id"]
        return make_json_response(
            format_job(self._context.batch.describe(request.account.name, job_id))
        )

    def list_jobs(self, request: Request) -> Response:
        """Return the jobs of the account, limited by ``limit`` and starting after ``after``."""
        limit = _read_limit(request.query)
        after = parse_qs(request.query).get("after", [""])[0]
        account = request.account.name
        rows = self._context.batch.list_jobs(account, limit=limit + 1, after=after)
        data = [format_job(row) for row in rows[:limit]]
        return make_json_response(
            {
                "object": "list",
                "data": data,
                "first_id": data[0]["id"] if data else None,
                "last_id": data[-1]["id"] if data else None,
                "has_more": len(rows) > limit,
            }
        )

    def cancel(self, request: Request) -> Response:
        """Cancel a job and return it."""
        job_id = request.params["job_id"]
        return make_json_response(
            format_job(self._context.batch.cancel(request.account.name, job_id))
        )


def parse_window(text: str) -> int:
    """Return a completion window in seconds; raise InvalidInputError if it is invalid."""
    match = WINDOW_PATTERN.fullmatch(text)
    seconds = int(match[1]) * WINDOW_UNITS_S[match[2]] if match else 0
    if not 0 < seconds <= WINDOW_MAX_S:
        message = "completion_window must be a number followed by s, m, h or d, at most 30d"
        raise InvalidInputError(message, param="completion_window")
    return seconds


def format_job(status: JobStatus) -> dict[str, Any]:
    """Return a job as an object of the callers' protocol."""
    ended_at = int(status.ended_at) if status.ended_at is not None else None
    return {
        "id": status.job_id,
        "object": "batch",
        "endpoint": status.endpoint,
        "input_file_id": status.input_file_id,
        "completion_window": f"{max(1, int(status.due_at - status.created_at))}s",
        "status": status.state,
        "output_file_id": f"{OUTPUT_PREFIX}{status.job_id}",
        "error_file_id": None,
        "errors": None,
        "created_at": int(status.created_at),
        "in_progress_at": int(status.created_at),
        "expires_at": int(status.due_at),
        "completed_at": ended_at if status.state == "completed" else None,
        "cancelled_at": ended_at if status.state == "cancelled" else None,
        "estimated_end_at": status.estimated_end_at,
        "request_counts": {
            "total": status.items_total,
            "completed": status.items_completed,
            "failed": status.items_failed,
        },
        "metadata": None,
    }


def _make_job_key(request: Request, body: dict[str, Any]) -> str:
    key = read_idempotency_key(request) or (body.get("metadata") or {}).get(JOB_KEY_FIELD, "")
    if key:
        return str(key)
    identity = msgspec.json.encode([body["input_file_id"], body["endpoint"]])
    return hashlib.sha256(identity).hexdigest()


def _read_limit(query: str) -> int:
    text = parse_qs(query).get("limit", [str(LIST_LIMIT_DEFAULT)])[0]
    if not text.isdecimal() or not text.isascii() or len(text) > 4:
        raise InvalidInputError("limit must be a number", param="limit")
    return max(1, min(int(text), LIST_LIMIT_MAX))
