"""Reaches the store through another instance while it turns this one away.

Load pattern: the store refuses, resets or ignores some instances and serves the others. A caller
who came to such an instance should notice nothing.
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
from clementinepin.infrastructure import Change, KeyValue, LeaseGrant, Page, StateStore, WatchEvent
from clementinepin.infrastructure.exceptions import (
    CutOffError,
    LeaseLostError,
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)
from clementinepin.serving import _messages as messages
from clementinepin.serving._hedging import run_hedged
from clementinepin.serving._links import InstanceLinks, Link, LinkServer
from clementinepin.serving._outages import StoreOutages
from clementinepin.serving.models import Member

REPLY_TIMEOUT_MIN_S: Final = 0.25  # many times a round trip and a call; a lost helper is silent
REPLY_TIMEOUT_MAX_S: Final = 1.0  # a helper that waits longer for the store itself is of no help
CUT_OFF_S: Final = 0.5  # how long calls fail at once after no helper answered
HELPERS_MAX: Final = 3  # with more, a call would outlast its caller while the store is down

_encode = msgspec.msgpack.Encoder().encode


class _Answer(msgspec.Struct, array_like=True):
    """What a store call gave: exactly one field is set, or none for an empty answer."""

    value: KeyValue | None = None
    page: Page | None = None
    version: int = 0
    lease: tuple[int, float] | None = None


class _HelperSilentError(PlatformUnavailableError):
    """A helper could not be reached or did not answer."""


_decode_answer = msgspec.msgpack.Decoder(_Answer).decode
_decode_change = msgspec.msgpack.Decoder(Change).decode


class RelayServer:
    """Carries out store calls of other instances on this instance's own way to the store."""

    def __init__(self, links: LinkServer, store: StateStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        links.handle(messages.StoreCall, self._take_call)

    def _take_call(self, link: Link, call: messages.StoreCall) -> None:
        gevent.spawn(lambda: link.send(self.answer(call)))

    def answer(self, call: messages.StoreCall) -> messages.StoreReply:
        """Return the outcome of a call; failures travel as their code."""
        try:
            return messages.StoreReply(call.number, "", _encode(self._carry_out(call)))
        except VersionConflictError as err:
            body = _encode((err.key, err.current, err.value))
            return messages.StoreReply(call.number, err.code, body)
        except ClementinepinError as err:
            return messages.StoreReply(call.number, err.code, b"")

    def _carry_out(self, call: messages.StoreCall) -> _Answer:
        store = self._store
        if call.kind == "get":
            return _Answer(value=store.get(call.key))
        if call.kind == "list":
            return _Answer(page=store.list_page(call.key, call.after))
        if call.kind == "write":
            return _Answer(version=store.write(_decode_change(call.change)))
        if call.kind == "grant":
            return self._make_lease(store.grant_lease(call.ttl_s))
        return self._make_lease(store.keep_lease(call.lease_id))

    def _make_lease(self, grant: LeaseGrant) -> _Answer:
        left_s = grant.deadline - self._clock.monotonic()
        return _Answer(lease=(grant.lease_id, left_s))


class RelayedStore:
    """The StateStore by the own way, or through a helper while that fails.

    A helper that does not answer is left after a short time, as it may just have been lost; the
    next one has twice as long, as the store may be slow for all.
    """

    def __init__(
        self,
        own_way: StateStore,
        links: InstanceLinks,
        own_name: str,
        clock: Clock,
        rng: random.Random,
        outages: StoreOutages,
    ) -> None:
        self._outages = outages
        self._own_way = own_way
        self._own_name = own_name
        self._clock = clock
        self._random = rng
        self._links = links
        self._reply_timeout_s = REPLY_TIMEOUT_MIN_S
        self._cut_off_until = 0.0
        self.list_helpers: Callable[[], list[Member]] = list

    def get(self, key: str) -> KeyValue | None:
        """Return the current value of a key, or None."""
        call = messages.StoreCall(0, "get", key=key)
        return self._run(lambda: self._own_way.get(key), call, lambda answer: answer.value)

    def list_page(self, prefix: str, after: str) -> Page:
        """Return the first values under a prefix behind a key."""
        call = messages.StoreCall(0, "list", key=prefix, after=after)
        return self._run(
            lambda: self._own_way.list_page(prefix, after), call, lambda answer: answer.page
        )

    def list_range(self, prefix: str) -> Page:
        """Return all values under a prefix."""
        return _join_pages(lambda after: self.list_page(prefix, after))

    def watch(self, prefix: str, after: int) -> tuple[list[WatchEvent], int]:
        """Wait for changes on the own way only; a follower lists again when that fails."""
        events = self._own_way.watch(prefix, after)
        self._outages.note_answer()
        return events

    def write(self, change: Change) -> int:
        """Apply a change as a whole and return its version."""
        call = messages.StoreCall(0, "write", change=_encode(change))
        return self._run(lambda: self._own_way.write(change), call, lambda answer: answer.version)

    def write_hedged(self, change: Change) -> int:
        """Apply a change that only creates keys, by another way when the own one is slow.

        Load pattern: the store loses answers, or an instance is cut from it without notice, while
        callers wait for an acknowledgement. A second write of the same keys meets a conflict.
        """
        call = messages.StoreCall(0, "write", change=_encode(change))
        return int(self._hedge(lambda: self._own_way.write(change), call).version)

    def list_hedged(self, prefix: str) -> Page:
        """Return all values under a prefix, by another way when the own one is slow."""

        def list_page(after: str) -> Page:
            call = messages.StoreCall(0, "list", key=prefix, after=after)
            page = self._hedge(lambda: self._own_way.list_page(prefix, after), call).page
            return page or Page([], 0)

        return _join_pages(list_page)

    def grant_lease(self, ttl_s: float) -> LeaseGrant:
        """Create a lease."""
        call = messages.StoreCall(0, "grant", ttl_s=ttl_s)
        return self._run(lambda: self._own_way.grant_lease(ttl_s), call, self._read_lease)

    def keep_lease(self, lease_id: int) -> LeaseGrant:
        """Extend a lease; raises LeaseLostError once it ended."""
        call = messages.StoreCall(0, "keep", lease_id=lease_id)
        return self._run(lambda: self._own_way.keep_lease(lease_id), call, self._read_lease)

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease; one that can't be ended now ends by itself."""
        self._own_way.revoke_lease(lease_id)

    def _run(
        self, direct: Callable[[], Any], call: messages.StoreCall, read: Callable[[_Answer], Any]
    ) -> Any:
        """Try the own way, then helpers.

        A direct write whose answer was lost is not sent on: its caller decides how to settle it.
        """
        with self._watch_outages():
            try:
                return direct()
            except PlatformUnavailableError as err:
                failure: ClementinepinError = err
            except ReplyLostError as err:
                if call.kind == "write":
                    raise
                failure = err
            return self._relay(call, read, failure)

    @contextmanager
    def _watch_outages(self) -> Iterator[None]:
        """Note whether the store answered. A lost reply shows neither: the next call will tell."""
        try:
            yield
        except PlatformUnavailableError:
            self._outages.note_failure()
            raise
        except ReplyLostError:
            raise
        except ClementinepinError:
            self._outages.note_answer()
            raise
        self._outages.note_answer()

    def _relay(
        self, call: messages.StoreCall, read: Callable[[_Answer], Any], failure: ClementinepinError
    ) -> Any:
        """Ask helpers; while none of them answers either, this instance counts as cut off."""
        if self._clock.monotonic() < self._cut_off_until:
            raise CutOffError("no helper answered a moment ago")
        helpers = self._choose_helpers()
        silent = 0
        for helper in helpers:
            try:
                return read(self._ask(helper, call))
            except _HelperSilentError as err:
                silent += 1
                logger.bind(helper=helper.name, call=call.kind, error=str(err)).debug("not_relayed")
            except PlatformUnavailableError as err:
                logger.bind(helper=helper.name, call=call.kind, error=str(err)).debug("not_relayed")
        if helpers and silent == len(helpers):
            raise self._note_cut_off([h.name for h in helpers], failure)
        raise failure

    def _hedge(self, direct: Callable[[], Any], call: messages.StoreCall) -> _Answer:
        """Try the own way, and one helper more each time that no answer comes soon."""
        silent: list[str] = []

        def ask(helper: Member) -> _Answer:
            try:
                return self._ask(helper, call)
            except _HelperSilentError:
                silent.append(helper.name)
                raise

        def ask_directly() -> _Answer:
            result = direct()
            return _Answer(page=result) if isinstance(result, Page) else _Answer(version=result)

        is_cut_off = self._clock.monotonic() < self._cut_off_until
        helpers = [] if is_cut_off else self._choose_helpers()
        attempts: list[Callable[[], _Answer]] = [ask_directly]
        attempts += [partial(ask, helper) for helper in helpers]
        with self._watch_outages():
            try:
                return run_hedged(attempts)
            except PlatformUnavailableError as err:
                if is_cut_off:
                    raise CutOffError("no helper answered a moment ago") from err
                if helpers and len(silent) == len(helpers):
                    raise self._note_cut_off(silent, err) from err
                raise

    def _note_cut_off(self, helpers: list[str], err: ClementinepinError) -> CutOffError:
        self._cut_off_until = self._clock.monotonic() + CUT_OFF_S
        logger.bind(helpers=helpers, error=str(err)).info("cut_off")
        return CutOffError("neither the store nor a helper answers")

    def _choose_helpers(self) -> list[Member]:
        """Return job runners before entries, and among them those with a kept connection.

        Load pattern: an entry that is cut off from all job runners, but not from other entries.
        """
        helpers = [m for m in self.list_helpers() if m.name != self._own_name]
        self._random.shuffle(helpers)

        def rank(member: Member) -> tuple[bool, bool, bool]:
            links = self._links
            return (
                links.is_silent(member.name),
                not member.runs_jobs,
                not links.has_link(member.name),
            )

        return sorted(helpers, key=rank)[:HELPERS_MAX]

    def _ask(self, helper: Member, call: messages.StoreCall) -> _Answer:
        """Return a helper's answer; raises what the store's client would raise."""
        try:
            reply = self._links.ask(helper, call, self._reply_timeout_s)
            self._reply_timeout_s = REPLY_TIMEOUT_MIN_S
        except ReplyLostError as err:
            self._reply_timeout_s = min(REPLY_TIMEOUT_MAX_S, self._reply_timeout_s * 2)
            if call.kind == "write":
                raise
            raise _HelperSilentError(str(err)) from err
        except PlatformUnavailableError as err:
            raise _HelperSilentError(str(err)) from err
        if reply.code == "":
            return _decode_answer(reply.body)
        if reply.code == VersionConflictError.code:
            key, current, value = msgspec.msgpack.decode(reply.body)
            raise VersionConflictError(key, current, value)
        if reply.code == LeaseLostError.code:
            raise LeaseLostError(str(call.lease_id))
        if reply.code == ReplyLostError.code:
            raise ReplyLostError(f"through {helper.name}")
        raise PlatformUnavailableError(f"{helper.name} can't reach the store: {reply.code}")

    def _read_lease(self, answer: _Answer) -> LeaseGrant:
        lease_id, left_s = answer.lease or (0, 0.0)
        return LeaseGrant(lease_id, self._clock.monotonic() + left_s)


def _join_pages(list_page: Callable[[str], Page]) -> Page:
    """Return all values of a range that is read page by page."""
    rows: list[KeyValue] = []
    version, after = -1, ""
    while True:
        page = list_page(after)
        rows.extend(page.values)
        # Pages are no snapshot: what changed while later ones were read is behind the first.
        version = page.version if version < 0 else version
        if page.is_last:
            return Page(rows, version)
        after = page.values[-1].key
