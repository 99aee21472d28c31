"""Callers' operations on jobs: submit, read results, read an item's body, end.

All state is in the store, so any instance can serve any call.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Final, Generic, TypeVar

from loguru import logger

from clementinepin.helpers.clock import Clock
from clementinepin.helpers.rendezvous import choose_owner
from clementinepin.infrastructure.exceptions import (
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)
from clementinepin.serving import _job_records as records
from clementinepin.serving import _messages as messages
from clementinepin.serving._fleet import FleetView
from clementinepin.serving._links import InstanceLinks
from clementinepin.serving._write_outcomes import (
    UNAVAILABLE_RETRY_S,
    read_with_retry,
    resolve_write,
)
from clementinepin.serving.exceptions import (
    BadRequestError,
    JobNotFoundError,
    TokensExhaustedError,
)
from clementinepin.serving.models import ItemResult, ItemState, JobItem, Route
from clementinepin.serving.store import HedgingStore
from clementinepin.serving.wire import JobCall, Wire

ID_MAX_CHARS: Final = 120  # store keys hold 200 bytes, prefixes included
READ_HOLD_MAX_S: Final = 0.8  # leaves time to read the store before the caller times out
OWNER_TIMEOUT_S: Final = 0.4  # round trip to the owner, on top of the hold
OWNER_REQUESTS_MAX: Final = 2  # the expected owner and the one that it names
JOBS_KNOWN_MAX: Final = 5_000  # jobs within the retention time at several times the usual rate
CALL_TIMEOUT_S: Final = 3.0  # callers time out after 4 s
CALL_MAX_S: Final = 4.5  # of a call that sends its last request to the store just before that
READ_TIMEOUT_S: Final = 1.0  # readers poll twice a second
PAGE_TEXT_MAX_BYTES: Final = 900_000  # a page of results may hold a megabyte
CACHED_TEXT_MAX_BYTES: Final = 6_000_000  # about 500 results; small entry instances have 128 MB
T = TypeVar("T")


class BoundedDict(Generic[T]):
    """A mapping with at most ``rows_max`` entries; the oldest is dropped for a new one."""

    def __init__(self, rows_max: int) -> None:
        self._rows: OrderedDict[str, T] = OrderedDict()
        self._rows_max = rows_max

    def get(self, key: str) -> T | None:
        """Return the value of a key or None."""
        return self._rows.get(key)

    def put(self, key: str, value: T) -> None:
        """Set the value of a key."""
        self._rows[key] = value
        if len(self._rows) > self._rows_max:
            self._rows.popitem(last=False)


class _ResultCache:
    """Results by job and position. They never change, so entries never become stale."""

    def __init__(self) -> None:
        self._rows: OrderedDict[tuple[str, int], ItemResult] = OrderedDict()
        self._bytes = 0

    def get(self, job_id: str, position: int) -> ItemResult | None:
        """Return a cached result or None."""
        return self._rows.get((job_id, position))

    def put(self, job_id: str, position: int, result: ItemResult) -> None:
        """Cache a result; drop the oldest beyond ``CACHED_TEXT_MAX_BYTES``."""
        if (job_id, position) not in self._rows:
            self._bytes += len(result.text)
        self._rows[job_id, position] = result
        while self._bytes > CACHED_TEXT_MAX_BYTES:
            self._bytes -= len(self._rows.popitem(last=False)[1].text)


class JobService:
    """Serves callers' operations on jobs."""

    def __init__(
        self, store: HedgingStore, fleet: FleetView, links: InstanceLinks, wire: Wire, clock: Clock
    ) -> None:
        self._store = store
        self._links = links
        self._fleet = fleet
        self._wire = wire
        self._clock = clock
        self._cache = _ResultCache()
        self._totals = BoundedDict[int](JOBS_KNOWN_MAX)
        self._owners = BoundedDict[str](JOBS_KNOWN_MAX)

    def submit(self, job_id: str, host: str, route: Route, items: tuple[JobItem, ...]) -> None:
        """Store a job and return once it is stored, also if an earlier call stored it.

        Raises BadRequestError for an invalid id, TokensExhaustedError or OverloadedError only if
        nothing was stored, and DeadlineError if the outcome is unknown.
        """
        keys = self._make_keys(job_id)
        started_at = self._clock.monotonic()
        deadline = started_at + CALL_TIMEOUT_S
        runners = [member.name for member in self._fleet.list_job_runners()]
        now_ms = int(self._clock.wall() * 1000)
        head = records.JobHead(
            job_id=job_id,
            route=route.name,
            host=host,
            owner=choose_owner(job_id, runners) or "",
            created_ms=now_ms,
            due_ms=now_ms + int(route.due_s * 1000),
            expires_ms=now_ms + int(route.retention_s * 1000),
            parts=0,
        )
        change = records.make_submission(keys, head, items)
        if route.tokens_max:
            self._check_tokens(job_id, keys, route, sum(item.tokens for item in items), deadline)
        try:
            version = resolve_write(lambda: self._store.write_hedged(change), deadline, self._clock)
            log = logger.bind(request_id=job_id, items=len(items), owner=head.owner)
            took_ms = round((self._clock.monotonic() - started_at) * 1000, 1)
            log.bind(store_version=version, took_ms=took_ms).info("job_accepted")
        except VersionConflictError as err:
            logger.bind(request_id=job_id, store_version=err.current).info("job_already_stored")
        self._totals.put(job_id, len(items))

    def read(self, call: JobCall) -> bytes:
        """Return the results from position ``call.after`` on, encoded for the caller.

        While there are none, the job's owner holds the request for a part of ``call.wait_s``, at
        most READ_HOLD_MAX_S. Raises JobNotFoundError if there is no such job, OverloadedError if
        the store can't be read.
        """
        keys = self._make_keys(call.job_id)
        total = self._totals.get(call.job_id)
        results = self._list_cached(call.job_id, call.after)
        if total is not None and (results or call.after >= total):
            return self._wire.make_results(total, call.after, results)
        page = self._read_from_owner(call)
        if page is not None:
            total = page.total
            results = [ItemResult(row[0], ItemState(row[1]), row[2]) for row in page.results]
            self._cache_results(call, results)
        else:
            if total is None:
                progress, _ = self._read_with_retry(
                    lambda: records.fetch_progress(self._store, keys)
                )
                total = progress.total
            results = self._fetch_results(keys, call)
        self._totals.put(call.job_id, total)
        return self._wire.make_results(total, call.after, results)

    def _read_from_owner(self, call: JobCall) -> messages.JobPage | None:
        """Return a page from the job's owner, or None if no instance replies as its owner."""
        members = {member.name: member for member in self._fleet.list_job_runners()}
        owner = self._owners.get(call.job_id) or choose_owner(call.job_id, members)
        hold_s = min(READ_HOLD_MAX_S, call.wait_s * READ_HOLD_MAX_S)
        for _ in range(OWNER_REQUESTS_MAX):
            if owner is None or owner not in members or self._links.is_unresponsive(owner):
                return None
            request = messages.ReadJob(0, call.job_id, call.after, hold_s)
            try:
                page = self._links.send_request(members[owner], request, hold_s + OWNER_TIMEOUT_S)
            except (PlatformUnavailableError, ReplyLostError) as err:
                logger.bind(request_id=call.job_id, owner=owner, error=str(err)).info(
                    "job_owner_unreachable"
                )
                return None
            if isinstance(page, messages.JobPage) and page.known:
                self._owners.put(call.job_id, owner)
                return page
            owner = page.owner
        return None

    def _cache_results(self, call: JobCall, results: list[ItemResult]) -> None:
        for position, result in enumerate(results, call.after):
            self._cache.put(call.job_id, position, result)

    def read_body(self, call: JobCall) -> bytes:
        """Return the body of an item.

        Raises JobNotFoundError if there is none, OverloadedError if the store can't be read.
        """
        keys = self._make_keys(call.job_id)
        for item in self._read_with_retry(lambda: records.fetch_items(self._store, keys)):
            if item.item_id == call.item_id:
                return item.body
        raise JobNotFoundError("the job has no such item")

    def end(self, call: JobCall) -> None:
        """End a job and return once that is stored.

        Raises OverloadedError if it was not stored, DeadlineError if the outcome is unknown.
        """
        keys = self._make_keys(call.job_id)

        def try_once() -> None:
            progress, version = records.fetch_progress(self._store, keys)
            if progress.ended:
                return
            ended = records.JobProgress(
                progress.route,
                progress.owner,
                progress.total,
                progress.tokens_left,
                True,
                progress.listed,
                progress.failures,
            )
            self._store.write(records.make_progress_change(keys, version, ended))

        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        resolve_write(try_once, deadline, self._clock, repeat_conflicts=True)
        logger.bind(request_id=call.job_id).info("job_ended")

    def _check_tokens(
        self, job_id: str, keys: records.JobKeys, route: Route, tokens: int, deadline: float
    ) -> None:
        """Raise TokensExhaustedError if a new job exceeds the route's unfinished tokens limit."""
        page = read_with_retry(
            lambda: self._store.list_hedged(records.PROGRESS_PREFIX), deadline, self._clock
        )
        if any(row.key == keys.progress for row in page.values):
            return
        unfinished = records.count_route_tokens(page.values, route.name)
        if unfinished + tokens > route.tokens_max:
            log = logger.bind(request_id=job_id, store_version=page.version, waiting=unfinished)
            log.bind(tokens=tokens, bound=route.tokens_max).info("job_too_large")
            raise TokensExhaustedError(
                "the job exceeds the route's limit of unfinished tokens", UNAVAILABLE_RETRY_S
            )

    def _list_cached(self, job_id: str, after: int) -> list[ItemResult]:
        """Return the cached results from a position on, up to a page or the first gap."""
        results: list[ItemResult] = []
        size = 0
        while size < PAGE_TEXT_MAX_BYTES:
            result = self._cache.get(job_id, after + len(results))
            if result is None:
                break
            results.append(result)
            size += len(result.text)
        return results

    def _fetch_results(self, keys: records.JobKeys, call: JobCall) -> list[ItemResult]:
        fetched = self._read_with_retry(
            lambda: records.fetch_results(self._store, keys, call.after)
        )
        results: list[ItemResult] = []
        size = 0
        self._cache_results(call, fetched)
        for result in fetched:
            size += len(result.text)
            if results and size > PAGE_TEXT_MAX_BYTES:
                break
            results.append(result)
        return results

    def _make_keys(self, job_id: str) -> records.JobKeys:
        quoted = self._wire.quote(job_id)
        if not quoted or len(quoted) > ID_MAX_CHARS:
            raise BadRequestError("the job id is empty or too long")
        return records.JobKeys(self._wire.own_prefix, quoted)

    def _read_with_retry(self, read: Callable[[], T]) -> T:
        return read_with_retry(read, self._clock.monotonic() + READ_TIMEOUT_S, self._clock)
