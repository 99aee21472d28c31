"""Resource ``/services/NAME/...``: forwards calls to plain services."""

from __future__ import annotations

import uuid
from collections.abc import Iterator
from typing import Final
from urllib.parse import unquote

from clementinepin.config import ServiceSpec
from clementinepin.const import (
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
    Priority,
)
from clementinepin.entry._calls import HEADER_IDEMPOTENT, is_idempotent
from clementinepin.entry._context import EntryContext
from clementinepin.entry._http import Request, Response
from clementinepin.entry._idempotency import run_once
from clementinepin.entry._retry import CallAttempts, classify_failure
from clementinepin.entry.exceptions import ServiceNotFoundError
from clementinepin.exceptions import (
    ClementinepinError,
    InvalidInputError,
)
from clementinepin.helpers.fingerprint import make_raw_fingerprint
from clementinepin.scheduling import CallInfo, CallResult, Placement
from clementinepin.targets import PlainRequest, PlainResponse
from clementinepin.targets.exceptions import (
    TargetLostError,
    TargetNotReachedError,
    TargetRefusedError,
)

KIND_PLAIN: Final = "plain"
# A response up to this size is read to its end before its status is sent, so that a failure can
# still be retried.
READ_AHEAD_BYTES: Final = 262_144
METHODS: Final = frozenset({"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
# Headers that apply to one connection, authenticate the caller, are meant for the entry, or could
# change the call at the target (X-HTTP-Method-Override).
UNFORWARDED_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        "Authorization",
        "Connection",
        "Expect",
        "Host",
        "Keep-Alive",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "X-HTTP-Method-Override",
        HEADER_DEADLINE,
        HEADER_IDEMPOTENCY_KEY,
        HEADER_IDEMPOTENT,
        HEADER_REQUEST_ID,
    )
)


class Services:
    """Forwards calls to plain services."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def call(self, request: Request) -> Response:
        """Forward a call and return its response.

        The call is sent at most once if the rules of the service or the caller mark it as
        non-idempotent.
        """
        service = self._find(request)
        if request.method not in METHODS:
            raise InvalidInputError(f"method {request.method} is not supported")
        path = _extract_path(request.raw_path, service.name)
        idempotent = is_idempotent(service, request.method, path)
        if request.get_header(HEADER_IDEMPOTENT).lower() == "false":
            idempotent = False
        body = request.read_body()
        info = CallInfo(
            request_id=uuid.uuid4().hex,
            account=request.account.name,
            service=service.name,
            application="",
            priority=Priority.ONLINE,
            deadline=self._context.compute_deadline(request, service.request_timeout_s),
            fingerprint=make_raw_fingerprint(service.name, request.method, path, body),
            idempotent=idempotent,
        )
        plain = PlainRequest(
            method=request.method,
            path=path,
            headers=_select_headers(request, info.request_id),
            body=body,
            deadline=info.deadline,
            idempotent=idempotent,
        )
        attempts = PlainAttempts(self._context, info, plain)
        return run_once(self._context, request, info.fingerprint, info.deadline, attempts.run)

    def _find(self, request: Request) -> ServiceSpec:
        name = request.params["name"]
        service = self._context.get_configuration().services.get(name)
        allowed = name in request.account.services
        if service is None or service.kind != KIND_PLAIN or not allowed:
            raise ServiceNotFoundError(f"service {name[:100]!r} does not exist for this account")
        return service


class PlainAttempts:
    """Runs one plain call, with as many attempts as are safe and allowed."""

    def __init__(self, context: EntryContext, info: CallInfo, plain: PlainRequest) -> None:
        self._context = context
        self._attempts = CallAttempts(context, info)
        self._plain = plain

    def run(self) -> Response:
        """Return the response.

        NotRunError is raised only if it is certain that no attempt has run.
        """
        while True:
            placement = self._attempts.acquire()
            try:
                return self._attempt(placement)
            except (TargetNotReachedError, TargetRefusedError, TargetLostError) as err:
                self._attempts.wait_for_retry(err, placement, started=False)

    def _attempt(self, placement: Placement) -> Response:
        """Send the call to one target and read its response up to READ_AHEAD_BYTES.

        Most failures occur in this part and can be retried, because no status was sent yet.
        """
        scheduler = self._context.scheduler
        try:
            response = self._context.targets.get_plain(placement.target).call(self._plain)
            scheduler.report_first_token(placement.ticket)
            pieces, ended = _read_ahead(response)
        except ClementinepinError as err:
            scheduler.finish(placement.ticket, classify_failure(err, started=False))
            raise
        except BaseException:
            scheduler.finish(placement.ticket, CallResult.CANCELLED)
            raise
        headers = [*response.headers, (HEADER_REQUEST_ID, self._attempts.info.request_id)]
        if ended:
            scheduler.finish(placement.ticket, CallResult.SUCCESS)
            return Response(response.status, headers, b"".join(pieces))
        return Response(response.status, headers, self._relay(placement, pieces, response))

    def _relay(
        self, placement: Placement, pieces: list[bytes], response: PlainResponse
    ) -> Iterator[bytes]:
        """Yield a long response. If it is truncated, the caller's connection is broken too."""
        result = CallResult.CANCELLED
        try:
            yield from pieces
            yield from response.body
            result = CallResult.SUCCESS
        except ClementinepinError as err:
            result = classify_failure(err, started=True)
            raise
        finally:
            response.body.close()  # type: ignore[attr-defined]
            self._context.scheduler.finish(placement.ticket, result)


def _read_ahead(response: PlainResponse) -> tuple[list[bytes], bool]:
    """Return the first pieces of the body, and whether they are the complete body."""
    pieces: list[bytes] = []
    size = 0
    for piece in response.body:
        pieces.append(piece)
        size += len(piece)
        if size >= READ_AHEAD_BYTES:
            return pieces, False
    return pieces, True


def _extract_path(raw_path: str, name: str) -> str:
    """Return the path and query for the service; raise InvalidInputError for dot segments."""
    path, mark, query = raw_path.partition("?")
    parts = path.split("/", 3)
    service_path = "/" + (parts[3] if len(parts) > 3 else "")
    if any(part in (".", "..") for part in unquote(service_path).replace("\\", "/").split("/")):
        raise InvalidInputError(f"the path of service {name!r} must not contain dot segments")
    return service_path + mark + query


def _select_headers(request: Request, request_id: str) -> tuple[tuple[str, str], ...]:
    """Return the headers to forward, with our request id."""
    headers = [
        (name, value)
        for name, value in request.list_headers()
        if name.lower() not in UNFORWARDED_HEADERS
    ]
    return (*headers, (HEADER_REQUEST_ID, request_id))
