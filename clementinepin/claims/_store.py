"""Claims as the entry sees them: asks the partition's owner, joins running calls."""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict

import gevent
from gevent.pool import Group
from loguru import logger

from clementinepin.claims._partition import Answer, Partition
from clementinepin.claims._record import (
    ClaimRow,
    Decision,
    choose_partition,
    digest_key,
)
from clementinepin.claims.const import (
    ASK_RETRY_S,
    INLINE_BODY_MAX_BYTES,
    JOIN_HOLD_S,
    JOIN_REFRESH_S,
    LEASE_TTL_S,
    LEASE_USE_S,
    LOG_PREFIX,
    METHOD_CLAIM,
    METHOD_SETTLE,
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
from clementinepin.helpers.rendezvous import choose_owner
from clementinepin.infrastructure import KeyValueStore
from clementinepin.infrastructure.exceptions import PlatformUnavailableError
from clementinepin.peers import PeerNetwork
from clementinepin.peers.exceptions import PeerUnavailableError


class RowMessage(TypedDict):
    """A claim row between instances; ``wait_until`` is wall-clock seconds."""

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


class ClaimComponent:
    """Claims of this instance's callers, and the partitions that it owns."""

    name = "claims"

    def __init__(self, core: Core, key_value: KeyValueStore, peers: PeerNetwork) -> None:
        self._core = core
        self._clock = core.clock
        self._key_value = key_value
        self._peers = peers
        self._instance = core.settings.instance.name
        self._partitions: dict[int, Partition] = {}
        self._tokens: dict[tuple[str, str], str] = {}
        self._settling = Group()
        self._lease_id = 0
        self._lease_renew_at = 0.0
        peers.register(METHOD_CLAIM, self._serve_claim)
        peers.register(METHOD_SETTLE, self._serve_settle)

    def start(self) -> None:
        """Start nothing: partitions load on first use."""

    def stop(self, deadline: float) -> None:
        """Wait until the outcomes in hand are stored, so that resends find them."""
        left_s = max(0.0, deadline - self._clock.monotonic())
        self._settling.join(timeout=left_s)

    def describe_state(self) -> dict[str, Any]:
        """Return row counts of the partitions in memory and the claims in hand."""
        rows = {f"{i:02d}": len(p) for i, p in sorted(self._partitions.items())}
        in_hand = len(self._tokens) + len(self._settling)
        return {"partitions": rows, "claims_in_hand": in_hand}

    def claim(self, account: str, key: str, request_digest: str, *, deadline: float) -> Claim:
        """Claim a key or join; see ClaimStore."""
        digest = digest_key(account, key)
        token = self._make_token()
        wall = self._clock.wall()
        wait_until = wall + max(0.0, deadline - self._clock.monotonic())
        row = ClaimRow(digest, request_digest, token, self._instance, wait_until + RUN_MARGIN_S)
        try:
            reply = self._ask_until(METHOD_CLAIM, row, wait_until, deadline)
        except ClaimUnavailableError:
            # A grant may still land; the token is given up, so its run never happens.
            self._free(row)
            raise
        decision = Decision(reply["decision"])
        if decision is Decision.MISMATCH:
            raise ClaimMismatchError("The idempotency key was used for another request.")
        if decision is Decision.GRANTED:
            self._tokens[account, key] = token
            self._core.metrics.incr("claims.granted")
            return Claim(account, key, request_digest, True, None)
        if decision is Decision.STORED:
            self._core.metrics.incr("claims.joined")
            return Claim(account, key, request_digest, False, self._read_outcome(reply))
        self._core.metrics.incr("claims.unknown")
        raise OutcomeUnknownError("A former run of this key may have taken effect.")

    def settle(self, claim: Claim, outcome: StoredOutcome) -> None:
        """Store the outcome of a fresh claim; waits shortly, then goes on in the background."""
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
        greenlet = self._settling.spawn(self._settle_until, row, deadline)
        greenlet.join(timeout=SETTLE_WAIT_S)

    def _free(self, row: ClaimRow) -> None:
        free = row._replace(outcome=str(Outcome.NOT_RUN))
        self._settling.spawn(self._settle_until, free, self._clock.monotonic() + SETTLE_RETRY_S)

    def _settle_until(self, row: ClaimRow, deadline: float) -> None:
        wait_until = self._clock.wall() + SETTLE_RETRY_S
        try:
            if len(row.body) > INLINE_BODY_MAX_BYTES:
                row = self._store_body(row)
            self._ask_until(METHOD_SETTLE, row, wait_until, deadline)
        except ClementinepinError as err:
            logger.warning("{} Outcome of a claim not stored: {}.", LOG_PREFIX, err.code)
            self._core.metrics.incr("claims.settle_failed")

    def _store_body(self, row: ClaimRow) -> ClaimRow:
        key = f"{PREFIX_CLAIM_BODIES}{row.token}"
        self._key_value.put(key, row.body, expected=None, lease_id=self._get_lease())
        return row._replace(body=b"", body_key=key)

    def _read_outcome(self, reply: dict[str, Any]) -> StoredOutcome:
        body = reply.get("body", b"")
        if reply.get("body_key"):
            body = self._read_body(reply["body_key"])
        return StoredOutcome(reply["outcome"], reply["status"], reply["content_type"], body)

    def _read_body(self, key: str) -> bytes:
        try:
            stored = self._key_value.get(key)
        except PlatformUnavailableError as err:
            raise OutcomeUnknownError("The stored answer can't be read now.") from err
        if stored is None:
            raise OutcomeUnknownError("The stored answer is gone.")
        return stored.value

    def _get_lease(self) -> int:
        now = self._clock.monotonic()
        if now >= self._lease_renew_at:
            self._lease_id = self._key_value.grant_lease(LEASE_TTL_S).lease_id
            self._lease_renew_at = now + LEASE_USE_S
        return self._lease_id

    def _ask_until(
        self, method: str, row: ClaimRow, wait_until: float, deadline: float
    ) -> dict[str, Any]:
        # The token stays the same over all tries, so a grant whose reply was lost is found again.
        message = {**row._asdict(), "wait_until": wait_until}
        running = False
        while self._clock.monotonic() < deadline:
            reply = self._ask(method, message, deadline)
            if reply is None:
                gevent.sleep(ASK_RETRY_S * (0.5 + self._core.random.random()))
                continue
            if reply["decision"] != Decision.RUNNING:
                return reply
            running = True
        if running:
            # Also when the last answer is missing: nobody may read this as "never run".
            raise OutcomeUnknownError("A former run of this key has not ended.")
        raise ClaimUnavailableError("No claim could be made durable in time.")

    def _ask(self, method: str, message: dict[str, Any], deadline: float) -> dict[str, Any] | None:
        partition = choose_partition(message["digest"])
        owner = choose_owner(f"claims/{partition}", self._peers.list_live())
        try:
            if owner in (None, self._instance):
                handler = self._serve_claim if method == METHOD_CLAIM else self._serve_settle
                return handler(self._instance, message)
            limit = min(deadline, self._clock.monotonic() + 2 * JOIN_HOLD_S)
            return self._peers.call(owner, method, message, deadline=limit)
        except (PeerUnavailableError, ClaimUnavailableError):
            return None

    def _serve_claim(self, _sender: str, message: dict[str, Any]) -> dict[str, Any]:
        row = read_row(message)
        partition = self._get_partition(choose_partition(row.digest))
        now = self._clock.monotonic()
        left = message["wait_until"] - self._clock.wall()
        hold_until = now + min(JOIN_HOLD_S, max(0.0, left))
        while True:
            answer = partition.submit(row, settles=False, deadline=hold_until)
            waits = answer.decision is Decision.RUNNING
            if not waits or self._clock.monotonic() + JOIN_REFRESH_S >= hold_until:
                return make_reply(answer)
            gevent.sleep(JOIN_REFRESH_S)
            partition.refresh()

    def _serve_settle(self, _sender: str, message: dict[str, Any]) -> dict[str, Any]:
        row = read_row(message)
        partition = self._get_partition(choose_partition(row.digest))
        deadline = self._clock.monotonic() + JOIN_HOLD_S
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


def read_row(message: dict[str, Any]) -> ClaimRow:
    """Return the row in a peer's message; unknown fields are left out."""
    return ClaimRow(**{k: v for k, v in message.items() if k in ClaimRow._fields})


def make_reply(answer: Answer) -> dict[str, Any]:
    """Return the message that carries an answer."""
    return {"decision": str(answer.decision), **answer.row._asdict()}


def create_claim_store(core: Core, key_value: KeyValueStore, peers: PeerNetwork) -> ClaimComponent:
    """Return the component ``claims``."""
    return ClaimComponent(core, key_value, peers)
