"""Error responses in the envelope of the callers' protocol."""

from __future__ import annotations

import math
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

import msgspec

from clementinepin.const import HEADER_OUTCOME
from clementinepin.entry._http import JSON_TYPE, Response
from clementinepin.exceptions import ClementinepinError, Outcome
from clementinepin.helpers.decoding import make_json_decoder
from clementinepin.targets.exceptions import TargetRejectedError

ERROR_TYPES: Final = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    409: "conflict_error",
    422: "invalid_request_error",
    429: "rate_limit_error",
}
SERVER_ERROR_TYPE: Final = "server_error"
STATUS_SERVER_MIN: Final = 500
CAPACITY_STATUSES: Final = frozenset({429, 503})
RETRY_AFTER_MIN_S: Final = 1
RETRY_DEFAULT_S: Final = 1.0


class _TargetError(msgspec.Struct):
    error: dict[str, Any]


_decode_error: Callable[[bytes], _TargetError] = make_json_decoder(_TargetError)


def make_envelope(err: ClementinepinError) -> dict[str, Any]:
    """Return the error envelope of a failure."""
    error: dict[str, Any] = {
        "message": err.message,
        "type": _get_error_type(get_status(err)),
        "code": err.code,
        "param": err.param,
        "outcome": str(err.outcome),
        "retry_at": err.retry_at,
    }
    if isinstance(err, TargetRejectedError):
        error.update(_read_target_error(err.body))
    return {"error": error}


def make_error_response(err: ClementinepinError, wall_now: float) -> Response:
    """Return the response to a failure, with the headers for a retry.

    A rejection for lack of capacity always has a retry time. ``wall_now`` is in wall-clock seconds.
    """
    status = get_status(err)
    not_run = err.outcome is Outcome.NOT_RUN
    if not_run and err.retry_at is None and status in CAPACITY_STATUSES:
        err.retry_at = wall_now + RETRY_DEFAULT_S
    headers = [("Content-Type", JSON_TYPE), (HEADER_OUTCOME, str(err.outcome))]
    retriable = not_run and err.retry_at is not None
    headers.append(("X-Should-Retry", "true" if retriable else "false"))
    if err.retry_at is not None:
        wait_s = max(RETRY_AFTER_MIN_S, math.ceil(err.retry_at - wall_now))
        headers.append(("Retry-After", str(wait_s)))
    return Response(status, headers, msgspec.json.encode(make_envelope(err)))


def make_error_event(err: ClementinepinError) -> bytes:
    """Return the last event of a stream that failed. No end marker follows it."""
    return b"data: " + msgspec.json.encode(make_envelope(err)) + b"\n\n"


def make_raw_error(err: ClementinepinError) -> bytes:
    """Return a complete HTTP/1.1 response, after which the connection must be closed."""
    body = msgspec.json.encode(make_envelope(err))
    lines = [
        f"HTTP/1.1 {err.status} {HTTPStatus(err.status).phrase}",
        f"Content-Type: {JSON_TYPE}",
        f"Content-Length: {len(body)}",
        f"{HEADER_OUTCOME}: {err.outcome}",
        "Connection: close",
    ]
    if err.retry_at is not None:
        lines.append(f"Retry-After: {RETRY_AFTER_MIN_S}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def get_status(err: ClementinepinError) -> int:
    """Return the HTTP status of a failure.

    A status below 500 with which a target rejected the input is passed on.
    """
    if isinstance(err, TargetRejectedError) and err.target_status < STATUS_SERVER_MIN:
        return err.target_status
    return err.status


def _get_error_type(status: int) -> str:
    if status >= STATUS_SERVER_MIN:
        return SERVER_ERROR_TYPE
    return ERROR_TYPES.get(status, ERROR_TYPES[400])


def _read_target_error(body: bytes) -> dict[str, Any]:
    """Return message, param and type from a target's error envelope, if it has them."""
    try:
        error = _decode_error(body).error
    except msgspec.DecodeError:
        return {}
    fields = {name: error.get(name) for name in ("message", "param", "type")}
    return {name: value for name, value in fields.items() if isinstance(value, str)}
