"""Client for the platform's store: ranges, watches, conditional writes and leases."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Annotated, Any, Final, TypeVar
from urllib.parse import quote

import msgspec
from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.helpers.decoding import guard_decoder, make_json_decoder
from clementinepin.infrastructure import Change, KeyValue, LeaseGrant, Page, WatchEvent
from clementinepin.infrastructure.exceptions import (
    LeaseLostError,
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
    WatchCompactedError,
)
from clementinepin.targets import HttpRequest, TargetAddress, Transport
from clementinepin.targets.exceptions import TargetLostError, TargetNotReachedError

# The store responds within milliseconds, and an outage must be detected soon.
CALL_TIMEOUT_S: Final = 1.5
WATCH_WAIT_MS: Final = 25_000  # the platform allows 30 s; shorter waits cost more calls
WATCH_MARGIN_S: Final = 2.0
RESPONSE_MAX_BYTES: Final = 16_000_000  # the store limits a page to about 1 MB
VALUE_SHOWN_MAX: Final = 60  # characters of a value that can't be decoded, in a log line
T = TypeVar("T")
JSON_HEADERS: Final = (("Content-Type", "application/json"),)

# Numbers of 64 bits and more don't fit into messages between instances.
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _Row(msgspec.Struct):
    """A stored item, or the removal of one in a watch.

    ``rev`` is the version of its last change. ``value`` is base64.
    """

    key: str
    value: str = ""
    rev: _Number = 0
    created_at: _Number = 0
    tombstone: bool = False


class _Page(msgspec.Struct):
    items: list[_Row] = []
    truncated: bool = False
    store_revision: _Number = 0


class _WatchEvents(msgspec.Struct):
    events: list[_Row] = []
    store_revision: _Number = 0


class _WriteResult(msgspec.Struct):
    rev: _Number = 0


class _Conflict(msgspec.Struct):
    items: list[_Row] = []


class _Lease(msgspec.Struct):
    lease: _Number = 0
    ttl_ms: _Milliseconds = 0


_decode_row: Callable[[bytes], _Row] = make_json_decoder(_Row)
_decode_page: Callable[[bytes], _Page] = make_json_decoder(_Page)
_decode_events: Callable[[bytes], _WatchEvents] = make_json_decoder(_WatchEvents)
_decode_write: Callable[[bytes], _WriteResult] = make_json_decoder(_WriteResult)
_decode_conflict: Callable[[bytes], _Conflict] = make_json_decoder(_Conflict)
_decode_lease: Callable[[bytes], _Lease] = make_json_decoder(_Lease)
_decode_value = guard_decoder(base64.b64decode)


class _Store:
    """The StateStore over HTTP. It never retries a call."""

    def __init__(
        self, address: tuple[str, int], clock: Clock, count_call: Callable[[str, float], None]
    ) -> None:
        self._clock = clock
        self._count_call = count_call
        self._transport = Transport(TargetAddress("store", *address), clock)

    def move(self, address: tuple[str, int]) -> None:
        """Use another address of the store from now on; running calls end at the old one."""
        if address != (self._transport.address.address, self._transport.address.port):
            self._transport.close()
            self._transport = Transport(TargetAddress("store", *address), self._clock)

    def get(self, key: str) -> KeyValue | None:
        """Return the current value of a key, or None if it does not exist."""
        status, body = self._call("GET", f"/v1/kv-key?key={quote(key, safe='')}")
        if status == 404:
            return None
        return _make_value(self._decode(status, body, _decode_row))

    def list_page(self, prefix: str, after: str) -> Page:
        """Return one page of the values under a prefix whose keys come after ``after``."""
        path = f"/v1/kv-range?path_prefix={quote(prefix, safe='')}"
        if after:
            path += f"&after={quote(after, safe='')}"
        status, body = self._call("GET", path)
        page = self._decode(status, body, _decode_page)
        values = [_make_value(row) for row in page.items]
        return Page(values, page.store_revision, not (page.truncated and values))

    def list_range(self, prefix: str) -> Page:
        """Return all values under a prefix and the version from which to watch."""
        rows: list[KeyValue] = []
        after, version = "", -1
        while True:
            page = self.list_page(prefix, after)
            rows.extend(page.values)
            # Pages are not a snapshot: a watch from the first page's version also returns the
            # changes made while later pages were read.
            version = page.version if version < 0 else version
            if page.is_last:
                return Page(rows, version)
            if page.values[-1].key == after:
                raise ReplyLostError(f"the store's page after {after!r} does not go on")
            after = page.values[-1].key

    def watch(self, prefix: str, after: int) -> tuple[list[WatchEvent], int]:
        """Wait for changes after a version; return them and the version to continue from.

        Returns no events if nothing changed within WATCH_WAIT_MS. Raises WatchCompactedError if
        the store no longer has the history after that version.
        """
        path = f"/v1/kv-watch?path_prefix={quote(prefix, safe='')}&after={after}"
        path += f"&max_wait_ms={WATCH_WAIT_MS}"
        status, body = self._call("GET", path, WATCH_WAIT_MS / 1000 + WATCH_MARGIN_S)
        if status == 410:
            raise WatchCompactedError(prefix)
        response = self._decode(status, body, _decode_events)
        return [_make_event(row) for row in response.events], max(after, response.store_revision)

    def write(self, change: Change) -> int:
        """Apply a change atomically and return its version.

        Raises VersionConflictError, LeaseLostError or PlatformUnavailableError if nothing was
        changed, and ReplyLostError if the change may have been applied or may still be.
        """
        message: dict[str, Any] = {
            "precondition": [{"key": k, "rev": v} for k, v in change.expected.items()],
            "set_keys": [
                {"key": k, "value": base64.b64encode(v).decode(), "lease": change.lease_id}
                for k, v in change.put.items()
            ],
            "remove": list(change.remove),
        }
        status, body = self._call("POST", "/v1/kv-txn", body=message)
        if status == 412:
            raise _make_conflict(change, self._decode(200, body, _decode_conflict).items)
        if status == 404:
            raise LeaseLostError(str(change.lease_id))
        return self._decode(status, body, _decode_write).rev

    def grant_lease(self, ttl_s: float) -> LeaseGrant:
        """Create a lease. Its deadline is counted from before the call, so it is never too late."""
        sent_at = self._clock.monotonic()
        status, body = self._call("POST", "/v1/kv-lease", body={"ttl_ms": int(ttl_s * 1000)})
        lease = self._decode(status, body, _decode_lease)
        return LeaseGrant(lease.lease, sent_at + lease.ttl_ms / 1000)

    def keep_lease(self, lease_id: int) -> LeaseGrant:
        """Extend a lease. Raises LeaseLostError if it has ended."""
        sent_at = self._clock.monotonic()
        status, body = self._call("POST", f"/v1/kv-keep/{lease_id}")
        if status == 404:
            raise LeaseLostError(str(lease_id))
        lease = self._decode(status, body, _decode_lease)
        return LeaseGrant(lease_id, sent_at + lease.ttl_ms / 1000)

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys. A lease that has already ended is not an error."""
        self._call("DELETE", f"/v1/kv-lease-end/{lease_id}")

    def _call(
        self,
        method: str,
        path: str,
        timeout_s: float = CALL_TIMEOUT_S,
        body: dict[str, Any] | None = None,
    ) -> tuple[int, bytes]:
        """Send one call and return the status and body of its response.

        Raises PlatformUnavailableError if the store did not execute the call, and ReplyLostError
        if that is unknown.
        """
        data = b"" if body is None else msgspec.json.encode(body)
        sent_at = self._clock.monotonic()
        deadline = sent_at + timeout_s
        headers = JSON_HEADERS if data else ()
        try:
            request = HttpRequest(method, path, headers, data, deadline)
            exchange = self._transport.send(request)
            response = exchange.read_all(RESPONSE_MAX_BYTES)
        except TargetNotReachedError as err:
            raise PlatformUnavailableError(f"store: {err}") from err
        except TargetLostError as err:
            raise ReplyLostError(f"store: {err}") from err
        finally:
            kind = _name_call(path)
            self._count_call(kind, self._clock.monotonic() - sent_at)
        if exchange.status in (429, 503):
            raise PlatformUnavailableError(f"store responded with status {exchange.status}")
        return exchange.status, response

    @staticmethod
    def _decode(status: int, body: bytes, decode: Callable[[bytes], T]) -> T:
        """Return the decoded body.

        Raises ReplyLostError if the status is not 200 or the body can't be decoded.
        """
        if status != 200:
            raise ReplyLostError(f"store responded with status {status}")
        try:
            return decode(body)
        except msgspec.DecodeError as err:
            raise ReplyLostError(f"response of the store can't be parsed: {err}") from err


def create_store(
    address: tuple[str, int],
    clock: Clock,
    count_call: Callable[[str, float], None] | None = None,
) -> _Store:
    """Return a client for the store.

    ``count_call`` is called after each call with its kind and its duration in seconds.
    """
    return _Store(address, clock, count_call or _ignore_call)


def _ignore_call(_kind: str, _took_s: float) -> None:
    return


def _name_call(path: str) -> str:
    """Return the kind of a call: its name and the first part of its key or prefix."""
    name, _, query = path.removeprefix("/v1/").partition("?")
    name = name.partition("/")[0]
    prefix = query.partition("=")[2].partition("&")[0].partition("%2F")[0]
    return f"{name}_{prefix}" if prefix else name


def _make_conflict(change: Change, rows: list[_Row]) -> VersionConflictError:
    """Return an error that names the first key whose version differs from the expected one."""
    current = {row.key: row for row in rows if row.rev}
    for key, expected in change.expected.items():
        row = current.get(key)
        if (row.rev if row else 0) != expected:
            value = _read_value(row) if row else None
            return VersionConflictError(key, row.rev if row else 0, value)
    return VersionConflictError(next(iter(change.expected), ""), 0, None)


def _make_value(row: _Row) -> KeyValue:
    return KeyValue(row.key, _read_value(row), row.rev)


def _make_event(row: _Row) -> WatchEvent:
    return WatchEvent(row.key, None if row.tombstone else _read_value(row), row.rev)


def _read_value(row: _Row) -> bytes:
    """Return the value of a row, empty if it is no base64.

    The other rows of the response must not be lost with it, and no reader takes an empty value for
    a record.
    """
    try:
        return _decode_value(row.value, validate=True)
    except msgspec.DecodeError as err:
        log = logger.bind(key=row.key, store_version=row.rev, error=str(err))
        log.bind(value=row.value[:VALUE_SHOWN_MAX]).warning("value_unreadable")
        return b""
