"""The ``claims`` component: claims idempotency keys and stores the outcomes of their calls.

Each operation goes to the owner of the key's partition, which is this instance or a peer. A claim
on the key of a running call waits for the outcome of that call.
"""

from __future__ import annotations

import math
from typing import Any, NotRequired, TypedDict

import gevent
import msgspec
from gevent.pool import Group
from loguru import logger

from clementinepin.claims._partition import OperationResult, Partition
from clementinepin.claims._record import (
    ClaimRow,
    Decision,
    choose_partition,
    digest_key,
)
from clementinepin.claims.const import (
    INLINE_BODY_MAX_BYTES,
    JOIN_LONG_POLL_S,
    JOIN_POLL_INTERVAL_S,
    LEASE_REUSE_S,
    LEASE_TTL_S,
    LOG_PREFIX,
    METHOD_CLAIM,
    METHOD_SETTLE,
    OWNER_RETRY_S,
    PARTITIONS_COUNT,
    PREFIX_CLAIM_BODIES,
    RUN_MARGIN_S,
    SETTLE_RETRY_S,
    SETTLE_WAIT_S,
)
from clementinepin.claims.exceptions import ClaimMismatchError, ClaimUnavailableError
from clementinepin.claims.models import Claim, StoredOutcome
from clementinepin.core import Core
from clementinepin.exceptions import ClementinepinError, Outcome, OutcomeUnknownError
from clementinepin.helpers.decoding import guard_decoder
from clementinepin.helpers.rendezvous import choose_owner
from clementinepin.infrastructure import KeyValueStore
from clementinepin.infrastructure.exceptions import PlatformUnavailableError
from clementinepin.peers import PeerNetwork
from clementinepin.peers.exceptions import PeerMessageInvalidError, PeerUnavailableError


class RowMessage(TypedDict):
    """A claim row as sent between instances. ``wait_until`` is in wall-clock seconds."""

    digest: str
    request_digest: str
    token: str
    claimant: str
    run_until: float
    wait_until: float
    outcome: NotRequired[str]
    status: NotRequired[int]
    content_type: NotRequired[str]
    body: NotRequired[bytes]
    body_key: NotRequired[str]


class ReplyMessage(TypedDict):
    """The decision on an operation, and the outcome in the key's row."""

    decision: Decision
    outcome: str
    status: int
    content_type: str
    body: NotRequired[bytes]
    body_key: NotRequired[str]


_convert = guard_decoder(msgspec.convert)


class ClaimComponent:
    """Handles claims of this instance's callers and serves the partitions that it owns."""

    name = "claims"

    def __init__(self, core: Core, key_value: KeyValueStore, peers: PeerNetwork) -> None:
        self._core = core
        self._clock = core.clock
        self._key_value = key_value
        self._peers = peers
        self._instance = core.settings.instance.name
        self._partitions: dict[int, Partition] = {}
        self._tokens: dict[tuple[str, str], str] = {}
        self._settlements = Group()
        self._lease_id = 0
        self._lease_renew_at = 0.0
        peers.register(METHOD_CLAIM, self._handle_claim)
        peers.register(METHOD_SETTLE, self._handle_settle)

    def start(self) -> None:
        """Do nothing; partitions load on first use."""

    def stop(self, deadline: float) -> None:
        """Wait until pending outcomes are stored, so that resent calls find them."""
        remaining_s = max(0.0, deadline - self._clock.monotonic())
        self._settlements.join(timeout=remaining_s)

    def describe_state(self) -> dict[str, Any]:
        """Return the row count of each partition in memory and the number of unsettled claims."""
        rows = {f"{i:02d}": len(p) for i, p in sorted(self._partitions.items())}
        unsettled_count = len(self._tokens) + len(self._settlements)
        return {"partitions": rows, "claims_in_hand": unsettled_count}

    def claim(self, account: str, key: str, request_digest: str, *, deadline: float) -> Claim:
        """Claim a key or wait for the outcome of the call that holds it; see ClaimStore."""
        digest = digest_key(account, key)
        token = self._make_token()
        wall = self._clock.wall()
        wait_until = wall + max(0.0, deadline - self._clock.monotonic())
        row = ClaimRow(digest, request_digest, token, self._instance, wait_until + RUN_MARGIN_S)
        try:
            reply = self._call_owner_until(METHOD_CLAIM, row, wait_until, deadline)
        except ClaimUnavailableError:
            # The claim may still be committed later. The call will not run, so free the key.
            self._release_key(row)
            raise
        decision = reply["decision"]
        if decision is Decision.MISMATCH:
            raise ClaimMismatchError("the idempotency key was used for a different request")
        if decision is Decision.GRANTED:
            self._tokens[account, key] = token
            self._core.metrics.incr("claims.granted")
            return Claim(account, key, request_digest, True, None)
        if decision is Decision.STORED:
            self._core.metrics.incr("claims.joined")
            return Claim(account, key, request_digest, False, self._read_outcome(reply))
        self._core.metrics.incr("claims.unknown")
        raise OutcomeUnknownError("an earlier run with this idempotency key may have taken effect")

    def settle(self, claim: Claim, outcome: StoredOutcome) -> None:
        """Store the outcome of a fresh claim.

        Return after SETTLE_WAIT_S at the latest; retries go on in the background.
        """
        token = self._tokens.pop((claim.account, claim.key), None)
        if token is None:
            return
        digest = digest_key(claim.account, claim.key)
        run_until = self._clock.wall() + RUN_MARGIN_S
        row = ClaimRow(
            digest,
            claim.request_digest,
            token,
            self._instance,
            run_until,
            outcome.outcome,
            outcome.status,
            outcome.content_type,
            outcome.body,
        )
        deadline = self._clock.monotonic() + SETTLE_RETRY_S
        greenlet = self._settlements.spawn(self._settle_until, row, deadline)
        greenlet.join(timeout=SETTLE_WAIT_S)

    def _release_key(self, row: ClaimRow) -> None:
        """Store the outcome ``not_run`` for a claim, in the background."""
        released = row._replace(outcome=str(Outcome.NOT_RUN))
        self._settlements.spawn(
            self._settle_until, released, self._clock.monotonic() + SETTLE_RETRY_S
        )

    def _settle_until(self, row: ClaimRow, deadline: float) -> None:
        wait_until = self._clock.wall() + SETTLE_RETRY_S
        try:
            if len(row.body) > INLINE_BODY_MAX_BYTES:
                row = self._store_body(row)
            self._call_owner_until(METHOD_SETTLE, row, wait_until, deadline)
        except ClementinepinError as err:
            logger.warning("{} Failed to store the outcome of a claim: {}.", LOG_PREFIX, err.code)
            self._core.metrics.incr("claims.settle_failed")

    def _store_body(self, row: ClaimRow) -> ClaimRow:
        key = f"{PREFIX_CLAIM_BODIES}{row.token}"
        self._key_value.put(key, row.body, expected=None, lease_id=self._get_lease())
        return row._replace(body=b"", body_key=key)

    def _read_outcome(self, reply: ReplyMessage) -> StoredOutcome:
        body = reply.get("body", b"")
        if reply.get("body_key"):
            body = self._read_body(reply["body_key"])
        return StoredOutcome(reply["outcome"], reply["status"], reply["content_type"], body)

    def _read_body(self, key: str) -> bytes:
        try:
            stored = self._key_value.get(key)
        except PlatformUnavailableError as err:
            raise OutcomeUnknownError("the stored response can't be read") from err
        if stored is None:
            raise OutcomeUnknownError("the stored response no longer exists")
        return stored.value

    def _get_lease(self) -> int:
        now = self._clock.monotonic()
        if now >= self._lease_renew_at:
            self._lease_id = self._key_value.grant_lease(LEASE_TTL_S).lease_id
            self._lease_renew_at = now + LEASE_REUSE_S
        return self._lease_id

    def _call_owner_until(
        self, method: str, row: ClaimRow, wait_until: float, deadline: float
    ) -> ReplyMessage:
        """Call the partition's owner until it replies with a decision other than RUNNING.

        At the deadline, raise OutcomeUnknownError if a reply said that the call is running, else
        ClaimUnavailableError.
        """
        # All attempts use the same token, so a grant whose reply was lost is recognised.
        message = {**row._asdict(), "wait_until": wait_until}
        seen_running = False
        while self._clock.monotonic() < deadline:
            reply = self._call_owner(method, message, deadline)
            if reply is None:
                gevent.sleep(OWNER_RETRY_S * (0.5 + self._core.random.random()))
                continue
            if reply["decision"] != Decision.RUNNING:
                return reply
            seen_running = True
        if seen_running:
            # Even if the last reply was lost, this must not be reported as not run.
            raise OutcomeUnknownError("an earlier run with this idempotency key has not ended")
        raise ClaimUnavailableError("the claim could not be committed before its deadline")

    def _call_owner(
        self, method: str, message: dict[str, Any], deadline: float
    ) -> ReplyMessage | None:
        """Call the partition's owner once.

        Return None if it can't be reached, can't commit or its reply can't be read.
        """
        partition = choose_partition(message["digest"])
        owner = choose_owner(f"claims/{partition}", self._peers.list_live())
        try:
            if owner in (None, self._instance):
                handler = self._handle_claim if method == METHOD_CLAIM else self._handle_settle
                reply = handler(self._instance, message)
            else:
                call_deadline = min(deadline, self._clock.monotonic() + 2 * JOIN_LONG_POLL_S)
                reply = self._peers.call(owner, method, message, deadline=call_deadline)
            return _convert(reply, ReplyMessage)  # type: ignore[no-any-return]
        except (PeerUnavailableError, ClaimUnavailableError):
            return None
        except msgspec.DecodeError as err:
            logger.warning("{} Reply of {} can't be read: {}.", LOG_PREFIX, owner, err)
            return None

    def _handle_claim(self, _sender: str, message: dict[str, Any]) -> dict[str, Any]:
        row, wait_until = parse_row(message), message["wait_until"]
        partition = self._get_partition(choose_partition(row.digest))
        now = self._clock.monotonic()
        remaining_s = wait_until - self._clock.wall()
        reply_by = now + min(JOIN_LONG_POLL_S, max(0.0, remaining_s))
        while True:
            result = partition.submit(row, settles=False, deadline=reply_by)
            is_running = result.decision is Decision.RUNNING
            if not is_running or self._clock.monotonic() + JOIN_POLL_INTERVAL_S >= reply_by:
                return make_reply(result)
            gevent.sleep(JOIN_POLL_INTERVAL_S)
            partition.invalidate()

    def _handle_settle(self, _sender: str, message: dict[str, Any]) -> dict[str, Any]:
        row = parse_row(message)
        partition = self._get_partition(choose_partition(row.digest))
        deadline = self._clock.monotonic() + JOIN_LONG_POLL_S
        return make_reply(partition.submit(row, settles=True, deadline=deadline))

    def _get_partition(self, index: int) -> Partition:
        index %= PARTITIONS_COUNT
        if index not in self._partitions:
            self._partitions[index] = Partition(
                index,
                self._key_value,
                self._clock,
                self._peers.list_live,
                self._make_token,
                self._get_lease,
            )
        return self._partitions[index]

    def _make_token(self) -> str:
        return f"{self._core.random.getrandbits(128):032x}"


def parse_row(message: dict[str, Any]) -> ClaimRow:
    """Return the row in a peer's message. Unknown fields are ignored.

    Raise PeerMessageInvalidError if it is odd: committed, it would make the partition unreadable.
    """
    try:
        return _read_row(message)
    except msgspec.DecodeError as err:
        raise PeerMessageInvalidError(f"claim can't be decoded: {err}") from err


@guard_decoder
def _read_row(message: dict[str, Any]) -> ClaimRow:
    fields = msgspec.convert(message, RowMessage)
    values: dict[str, Any] = {k: v for k, v in fields.items() if k in ClaimRow._fields}
    row = ClaimRow(**values)
    choose_partition(row.digest)
    if not math.isfinite(row.run_until):
        raise ValueError(f"the run ends at {row.run_until}")
    return row


def make_reply(result: OperationResult) -> dict[str, Any]:
    """Return the message that carries the result of an operation."""
    return {"decision": str(result.decision), **result.row._asdict()}


def create_claim_store(core: Core, key_value: KeyValueStore, peers: PeerNetwork) -> ClaimComponent:
    """Return the component that implements ClaimStore."""
    return ClaimComponent(core, key_value, peers)
