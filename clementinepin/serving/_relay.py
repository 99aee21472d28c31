"""Calls the store through another instance, the relay, while the direct connection fails.

Load pattern: the store refuses, resets or ignores some instances and serves the others. Callers
of such an instance should notice nothing.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any, Final

import gevent
import msgspec
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.containment import contain_failure
from clementinepin.helpers.decoding import make_msgpack_decoder
from clementinepin.infrastructure import Change, KeyValue, LeaseGrant, Page, StateStore, WatchEvent
from clementinepin.infrastructure.exceptions import (
    IsolatedFromStoreError,
    LeaseLostError,
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)
from clementinepin.serving import _messages as messages
from clementinepin.serving._hedging import HEDGE_DELAY_S, run_hedged
from clementinepin.serving._links import InstanceLinks, Link, LinkServer
from clementinepin.serving._outages import StoreOutages
from clementinepin.serving.models import Member
from clementinepin.tables.mechanisms import Mechanism

REPLY_TIMEOUT_MIN_S: Final = 0.25  # many round trips and calls; a lost relay sends no error
REPLY_TIMEOUT_MAX_S: Final = 1.0  # a relay that itself waits longer for the store is of no use
ISOLATED_S: Final = 0.5  # how long calls fail at once after no relay replied
RELAYS_MAX: Final = 3  # more would make a call outlast its caller while the store is down

_encode = msgspec.msgpack.Encoder().encode


class _StoreResult(msgspec.Struct, array_like=True):
    """The result of a store call: at most one field is set, none for a missing key.

    ``lease`` is the lease id and the seconds that remain.
    """

    value: KeyValue | None = None
    page: Page | None = None
    version: int = 0
    lease: tuple[int, float] | None = None


class _RelayUnresponsiveError(PlatformUnavailableError):
    """A relay could not be reached or did not reply in time."""


_decode_result: Callable[[bytes], _StoreResult] = make_msgpack_decoder(_StoreResult)
_decode_change: Callable[[bytes], Change] = make_msgpack_decoder(Change)
_decode_conflict: Callable[[bytes], tuple[str, int, bytes | None]] = make_msgpack_decoder(
    tuple[str, int, bytes | None]
)


class RelayServer:
    """Makes store calls for other instances through this instance's direct connection."""

    def __init__(self, links: LinkServer, store: StateStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        links.handle(messages.StoreCall, self._handle_call)

    def _handle_call(self, link: Link, call: messages.StoreCall) -> None:
        gevent.spawn(self._reply, link, call)

    def _reply(self, link: Link, call: messages.StoreCall) -> None:
        with contain_failure("relayed_call", member=link.name, call=call.kind):
            link.send(self.run_call(call))

    def run_call(self, call: messages.StoreCall) -> messages.StoreReply:
        """Return the outcome of a call; an error is sent as its code."""
        try:
            return messages.StoreReply(call.number, "", _encode(self._call_store(call)))
        except VersionConflictError as err:
            body = _encode((err.key, err.current, err.value))
            return messages.StoreReply(call.number, err.code, body)
        except ClementinepinError as err:
            return messages.StoreReply(call.number, err.code, b"")
        except msgspec.DecodeError as err:
            logger.bind(call=call.kind, error=str(err)).error("relayed_call_unreadable")
            return messages.StoreReply(call.number, PlatformUnavailableError.code, b"")

    def _call_store(self, call: messages.StoreCall) -> _StoreResult:
        store = self._store
        if call.kind == "get":
            return _StoreResult(value=store.get(call.key))
        if call.kind == "list":
            return _StoreResult(page=store.list_page(call.key, call.after))
        if call.kind == "write":
            return _StoreResult(version=store.write(_decode_change(call.change)))
        if call.kind == "grant":
            return self._make_lease_result(store.grant_lease(call.ttl_s))
        return self._make_lease_result(store.keep_lease(call.lease_id))

    def _make_lease_result(self, grant: LeaseGrant) -> _StoreResult:
        remaining_s = grant.deadline - self._clock.monotonic()
        return _StoreResult(lease=(grant.lease_id, remaining_s))


class RelayedStore:
    """A StateStore that calls the store directly, or through a relay while that fails.

    The first relay gets a short reply timeout, because it may just have been lost. The timeout of
    the next one is twice as long, because the store may be slow for all instances.
    ``list_relays`` returns the instances that may be used.
    """

    def __init__(
        self,
        direct_store: StateStore,
        links: InstanceLinks,
        own_name: str,
        clock: Clock,
        rng: random.Random,
        outages: StoreOutages,
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._hedges = Mechanism.HEDGING not in disabled
        self._outages = outages
        self._direct_store = direct_store
        self._own_name = own_name
        self._clock = clock
        self._random = rng
        self._links = links
        self._reply_timeout_s = REPLY_TIMEOUT_MIN_S
        self._isolated_until = 0.0
        self.list_relays: Callable[[], list[Member]] = list

    def get(self, key: str) -> KeyValue | None:
        """Return the current value of a key, or None."""
        call = messages.StoreCall(0, "get", key=key)
        return self._run(lambda: self._direct_store.get(key), call, lambda result: result.value)

    def list_page(self, prefix: str, after: str) -> Page:
        """Return the first page of values under a prefix whose keys come after ``after``."""
        call = messages.StoreCall(0, "list", key=prefix, after=after)
        return self._run(
            lambda: self._direct_store.list_page(prefix, after), call, lambda result: result.page
        )

    def list_range(self, prefix: str) -> Page:
        """Return all values under a prefix."""
        return _read_all_pages(lambda after: self.list_page(prefix, after))

    def watch(self, prefix: str, after: int) -> tuple[list[WatchEvent], int]:
        """Wait for changes on the direct connection only; a follower recovers by listing again."""
        events = self._direct_store.watch(prefix, after)
        self._outages.record_reply()
        return events

    def write(self, change: Change) -> int:
        """Apply a change atomically and return its version."""
        call = messages.StoreCall(0, "write", change=_encode(change))
        return self._run(
            lambda: self._direct_store.write(change), call, lambda result: result.version
        )

    def write_hedged(self, change: Change) -> int:
        """Apply a change that only creates keys, also through relays if the direct call is slow.

        Load pattern: the store loses replies, or an instance silently loses its connection, while
        callers wait for their job to be accepted. Writing twice is safe because the second write of
        the same keys raises VersionConflictError.
        """
        call = messages.StoreCall(0, "write", change=_encode(change))
        return int(self._hedge(lambda: self._direct_store.write(change), call).version)

    def list_hedged(self, prefix: str) -> Page:
        """Return all values under a prefix, also through relays if the direct call is slow."""

        def list_page(after: str) -> Page:
            call = messages.StoreCall(0, "list", key=prefix, after=after)
            page = self._hedge(lambda: self._direct_store.list_page(prefix, after), call).page
            if page is None:
                raise ReplyLostError(f"a relay returned no page of {prefix!r}")
            return page

        return _read_all_pages(list_page)

    def grant_lease(self, ttl_s: float) -> LeaseGrant:
        """Create a lease of ``ttl_s`` seconds."""
        call = messages.StoreCall(0, "grant", ttl_s=ttl_s)
        return self._run(lambda: self._direct_store.grant_lease(ttl_s), call, self._read_lease)

    def keep_lease(self, lease_id: int) -> LeaseGrant:
        """Extend a lease. Raises LeaseLostError if it has ended."""
        call = messages.StoreCall(0, "keep", lease_id=lease_id)
        return self._run(lambda: self._direct_store.keep_lease(lease_id), call, self._read_lease)

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease directly; if that fails, the lease expires."""
        self._direct_store.revoke_lease(lease_id)

    def _run(
        self,
        call_directly: Callable[[], Any],
        call: messages.StoreCall,
        read_result: Callable[[_StoreResult], Any],
    ) -> Any:
        """Call the store directly, then through relays.

        A direct write whose reply was lost is not repeated through a relay: its caller resolves the
        outcome.
        """
        with self._watch_outages():
            try:
                return call_directly()
            except PlatformUnavailableError as err:
                failure: ClementinepinError = err
            except ReplyLostError as err:
                if call.kind == "write":
                    raise
                failure = err
            return self._call_through_relays(call, read_result, failure)

    @contextmanager
    def _watch_outages(self) -> Iterator[None]:
        """Record whether the store replied.

        A lost reply is not recorded: it proves neither, and the next call will tell.
        """
        try:
            yield
        except PlatformUnavailableError:
            self._outages.record_failure()
            raise
        except ReplyLostError:
            raise
        except ClementinepinError:
            self._outages.record_reply()
            raise
        self._outages.record_reply()

    def _call_through_relays(
        self,
        call: messages.StoreCall,
        read_result: Callable[[_StoreResult], Any],
        failure: ClementinepinError,
    ) -> Any:
        """Call the store through relays. Raises ``failure`` if they can't reach the store either.

        Raises IsolatedFromStoreError if no relay replies: this instance is then isolated.
        """
        if self._clock.monotonic() < self._isolated_until:
            raise IsolatedFromStoreError(f"no relay replied within the last {ISOLATED_S} s")
        relays = self._choose_relays()
        unresponsive = 0
        for relay in relays:
            try:
                return read_result(self._call_relay(relay, call))
            except _RelayUnresponsiveError as err:
                unresponsive += 1
                logger.bind(helper=relay.name, call=call.kind, error=str(err)).debug("relay_failed")
            except PlatformUnavailableError as err:
                logger.bind(helper=relay.name, call=call.kind, error=str(err)).debug("relay_failed")
        if relays and unresponsive == len(relays):
            raise self._record_isolation([r.name for r in relays], failure)
        raise failure

    def _hedge(self, call_directly: Callable[[], Any], call: messages.StoreCall) -> _StoreResult:
        """Call the store directly, and through one more relay each time that the reply is slow.

        Raises IsolatedFromStoreError if the store was not reached and no relay replied.
        """
        unresponsive: list[str] = []

        def attempt_relay(relay: Member) -> _StoreResult:
            try:
                return self._call_relay(relay, call)
            except _RelayUnresponsiveError:
                unresponsive.append(relay.name)
                raise

        def attempt_directly() -> _StoreResult:
            result = call_directly()
            return (
                _StoreResult(page=result)
                if isinstance(result, Page)
                else _StoreResult(version=result)
            )

        is_isolated = self._clock.monotonic() < self._isolated_until
        relays = [] if is_isolated else self._choose_relays()
        attempts: list[Callable[[], _StoreResult]] = [attempt_directly]
        attempts += [partial(attempt_relay, relay) for relay in relays]
        with self._watch_outages():
            try:
                return run_hedged(attempts, HEDGE_DELAY_S if self._hedges else None)
            except PlatformUnavailableError as err:
                if is_isolated:
                    raise IsolatedFromStoreError(
                        f"no relay replied within the last {ISOLATED_S} s"
                    ) from err
                if relays and len(unresponsive) == len(relays):
                    raise self._record_isolation(unresponsive, err) from err
                raise

    def _record_isolation(
        self, relays: list[str], err: ClementinepinError
    ) -> IsolatedFromStoreError:
        self._isolated_until = self._clock.monotonic() + ISOLATED_S
        logger.bind(helpers=relays, error=str(err)).info("isolated_from_store")
        return IsolatedFromStoreError("neither the store nor a relay replies")

    def _choose_relays(self) -> list[Member]:
        """Return up to RELAYS_MAX relays, the best first.

        Responsive relays come first, among them job runners, and among these the ones with an open
        connection. Load pattern: an entry loses the connection to all job runners, but not to
        other entries, so entries are relays too.
        """
        relays = [m for m in self.list_relays() if m.name != self._own_name]
        self._random.shuffle(relays)

        def rank(member: Member) -> tuple[bool, bool, bool]:
            links = self._links
            return (
                links.is_unresponsive(member.name),
                not member.runs_jobs,
                not links.has_link(member.name),
            )

        return sorted(relays, key=rank)[:RELAYS_MAX]

    def _call_relay(self, relay: Member, call: messages.StoreCall) -> _StoreResult:
        """Return a relay's result. Raises the errors that the store's client would raise.

        Raises _RelayUnresponsiveError if the relay can't be reached, or does not reply to a call
        that is not a write. A write without a reply raises ReplyLostError.
        """
        try:
            reply = self._links.send_request(relay, call, self._reply_timeout_s)
            self._reply_timeout_s = REPLY_TIMEOUT_MIN_S
        except ReplyLostError as err:
            self._reply_timeout_s = min(REPLY_TIMEOUT_MAX_S, self._reply_timeout_s * 2)
            if call.kind == "write":
                raise
            raise _RelayUnresponsiveError(str(err)) from err
        except PlatformUnavailableError as err:
            raise _RelayUnresponsiveError(str(err)) from err
        try:
            return self._read_reply(relay, call, reply)
        except msgspec.DecodeError as err:
            if call.kind == "write":
                raise ReplyLostError(f"{relay.name} sent an invalid reply: {err}") from err
            raise _RelayUnresponsiveError(f"{relay.name} sent an invalid reply: {err}") from err

    def _read_reply(self, relay: Member, call: messages.StoreCall, reply: Any) -> _StoreResult:
        if not isinstance(reply, messages.StoreReply):
            raise msgspec.DecodeError(f"unexpected {type(reply).__name__}")
        if reply.code == "":
            return _decode_result(reply.body)
        if reply.code == VersionConflictError.code:
            raise VersionConflictError(*_decode_conflict(reply.body))
        if reply.code == LeaseLostError.code:
            raise LeaseLostError(str(call.lease_id))
        if reply.code == ReplyLostError.code:
            raise ReplyLostError(f"{relay.name} got no reply from the store")
        raise PlatformUnavailableError(f"{relay.name} can't reach the store: {reply.code}")

    def _read_lease(self, result: _StoreResult) -> LeaseGrant:
        lease_id, remaining_s = result.lease or (0, 0.0)
        return LeaseGrant(lease_id, self._clock.monotonic() + remaining_s)


def _read_all_pages(list_page: Callable[[str], Page]) -> Page:
    """Return all values of a range that is read page by page."""
    rows: list[KeyValue] = []
    version, after = -1, ""
    while True:
        page = list_page(after)
        rows.extend(page.values)
        # Pages are not a snapshot: a watch from the first page's version repeats later changes.
        version = page.version if version < 0 else version
        if page.is_last:
            return Page(rows, version)
        if not page.values or page.values[-1].key == after:
            raise ReplyLostError(f"the page after {after!r} does not go on")
        after = page.values[-1].key
