"""Resource ``/services/NAME/...``: plain services, passed through."""

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
from clementinepin.entry._keys import run_once
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
BUFFER_BYTES: Final = 262_144
METHODS: Final = frozenset({"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
PRIVATE_HEADERS: Final = frozenset(
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
    """Passes calls on to plain services."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def call(self, request: Request) -> Response:
        """Pass one call on; at most once where the service's rules say so."""
        service = self._find(request)
        if request.method not in METHODS:
            raise InvalidInputError(f"{request.method} is not passed on")
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
            raise ServiceNotFoundError(f"no service {name[:100]!r} for this account")
        return service


class PlainAttempts:
    """Runs one plain call over as many attempts as are safe and allowed."""

    def __init__(self, context: EntryContext, info: CallInfo, plain: PlainRequest) -> None:
        self._context = context
        self._attempts = CallAttempts(context, info)
        self._plain = plain

    def run(self) -> Response:
        """Return the answer; a NotRunError holds proof for every attempt."""
        while True:
            placement = self._attempts.acquire()
            try:
                return self._attempt(placement)
            except (TargetNotReachedError, TargetRefusedError, TargetLostError) as err:
                self._attempts.wait_for_retry(err, placement, started=False)

    def _attempt(self, placement: Placement) -> Response:
        """Send once and read up to the buffer, so that most failures come before the answer."""
        scheduler = self._context.scheduler
        try:
            answer = self._context.targets.get_plain(placement.target).call(self._plain)
            scheduler.report_first_token(placement.ticket)
            pieces, ended = _read_ahead(answer)
        except ClementinepinError as err:
            scheduler.finish(placement.ticket, classify_failure(err, started=False))
            raise
        except BaseException:
            scheduler.finish(placement.ticket, CallResult.CANCELLED)
            raise
        headers = [*answer.headers, (HEADER_REQUEST_ID, self._attempts.info.request_id)]
        if ended:
            scheduler.finish(placement.ticket, CallResult.SUCCESS)
            return Response(answer.status, headers, b"".join(pieces))
        return Response(answer.status, headers, self._relay(placement, pieces, answer))

    def _relay(
        self, placement: Placement, pieces: list[bytes], answer: PlainResponse
    ) -> Iterator[bytes]:
        """Yield a long answer; one that is cut short breaks the caller's connection too."""
        result = CallResult.CANCELLED
        try:
            yield from pieces
            yield from answer.body
            result = CallResult.SUCCESS
        except ClementinepinError as err:
            result = classify_failure(err, started=True)
            raise
        finally:
            answer.body.close()  # type: ignore[attr-defined]
            self._context.scheduler.finish(placement.ticket, result)


def _read_ahead(answer: PlainResponse) -> tuple[list[bytes], bool]:
    """Return the answer's first pieces and whether they are all."""
    pieces: list[bytes] = []
    size = 0
    for piece in answer.body:
        pieces.append(piece)
        size += len(piece)
        if size >= BUFFER_BYTES:
            return pieces, False
    return pieces, True


def _extract_path(raw_path: str, name: str) -> str:
    """Return the path and query for the service; a path that climbs out is refused."""
    path, mark, query = raw_path.partition("?")
    parts = path.split("/", 3)
    rest = "/" + (parts[3] if len(parts) > 3 else "")
    if any(part in (".", "..") for part in unquote(rest).replace("\\", "/").split("/")):
        raise InvalidInputError(f"the path below {name} must have no dot segments")
    return rest + mark + query


def _select_headers(request: Request, request_id: str) -> tuple[tuple[str, str], ...]:
    headers = [
        (name, value)
        for name, value in request.list_headers()
        if name.lower() not in PRIVATE_HEADERS
    ]
    return (*headers, (HEADER_REQUEST_ID, request_id))
