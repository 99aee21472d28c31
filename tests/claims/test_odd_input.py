from __future__ import annotations

import contextlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.claims import _store as store
from clementinepin.claims._record import ClaimRow, Head, decode_head, decode_rows, digest_key
from clementinepin.claims.exceptions import ClaimUnavailableError
from clementinepin.const import PREFIX_CLAIMS
from clementinepin.helpers.rendezvous import choose_owner
from clementinepin.peers.exceptions import PeerMessageInvalidError
from tests.claims.test_store import SUCCESS, claim, run, settle

DIGEST = digest_key("desk", "k")
PARTITION = store.choose_partition(DIGEST)
HEAD_KEY = f"{PREFIX_CLAIMS}{PARTITION:02d}"
DEEP = b"\x91" * 100_000
ODD_ROW = ["d", "r", "t", "a", "not a number", "", 0, "", b"", ""]


# The commit greenlet ended on the decoder's error, and the claims of its group waited without end.
@pytest.mark.parametrize("value", [DEEP, b"\xff", b"", msgspec.msgpack.encode([[ODD_ROW], []])])
def test_odd_head_refuses_the_claims_of_its_partition_in_time(make_network, value):
    network = make_network("a", "b")
    network.stores["a"].put(HEAD_KEY, value, expected=0)
    first, second = run(network, claim(network, "a"), claim(network, "b"))
    assert isinstance(first, ClaimUnavailableError)
    assert isinstance(second, ClaimUnavailableError)
    other = next(
        k for k in "abcdefgh" if store.choose_partition(digest_key("desk", k)) != PARTITION
    )
    (fresh_claim,) = run(network, claim(network, "a", key=other))
    assert fresh_claim.fresh


def test_partition_serves_again_once_its_head_can_be_decoded(make_network):
    network = make_network("a")
    version = network.stores["a"].put(HEAD_KEY, DEEP, expected=0)
    (refused,) = run(network, claim(network, "a", wait_s=1.0))
    assert isinstance(refused, ClaimUnavailableError)
    network.stores["a"].put(HEAD_KEY, msgspec.msgpack.encode(Head()), expected=version)
    (fresh_claim,) = run(network, claim(network, "a", wait_s=5.0))
    assert fresh_claim.fresh


ROW = ClaimRow(DIGEST, "d", "t", "a", 100.0)._asdict() | {"wait_until": 5.0}


# A row of other types was committed, and no instance could read the partition's head any more.
@pytest.mark.parametrize(
    "change",
    [
        {"run_until": "x"},
        {"run_until": float("inf")},
        {"digest": "zz"},
        {"body": [1]},
        {"status": "x"},
        {"wait_until": "x"},
        {"token": None},
    ],
)
def test_odd_row_of_a_peer_is_refused_and_not_committed(make_network, change):
    network = make_network("a")
    for method in (store.METHOD_CLAIM, store.METHOD_SETTLE):
        with pytest.raises(PeerMessageInvalidError):
            network.peers["a"].handlers[method]("b", {**ROW, **change})
    (fresh_claim,) = run(network, claim(network, "a"))
    assert fresh_claim.fresh


# A reply of another shape raised KeyError or ValueError, which ended the settlement of a call
# that had run.
@pytest.mark.parametrize(
    "reply", [{}, {"decision": "new"}, {"decision": "stored"}, {"decision": 7}]
)
def test_odd_reply_of_an_owner_is_asked_for_again(make_network, reply):
    network = make_network("a", "b")
    owner = choose_owner(f"claims/{PARTITION}", ["a", "b"])
    asker = "b" if owner == "a" else "a"
    handlers = network.peers[owner].handlers
    for method, handler in list(handlers.items()):
        replies = [dict(reply)] * 2
        handlers[method] = lambda sender, message, r=replies, h=handler: (
            r.pop() if r else h(sender, message)
        )
    (fresh_claim,) = run(network, claim(network, asker))
    assert fresh_claim.fresh
    run(network, settle(network, asker, fresh_claim))
    (joined,) = run(network, claim(network, asker))
    assert joined.stored == SUCCESS


@settings(derandomize=True, max_examples=300)
@given(data=st.binary(max_size=40))
def test_any_stored_bytes_give_rows_or_a_decode_error(data):
    for decode in (decode_head, decode_rows):
        with contextlib.suppress(msgspec.DecodeError):
            decode(data)


VALUES = st.none() | st.integers(0, 9) | st.floats() | st.text(max_size=9) | st.binary(max_size=3)


@settings(derandomize=True, max_examples=300)
@given(changes=st.dictionaries(st.sampled_from([*ROW]), VALUES, max_size=3))
def test_any_message_gives_a_row_that_can_be_stored_or_an_error(changes):
    with contextlib.suppress(PeerMessageInvalidError):
        row = store.parse_row({**ROW, **changes})
        assert decode_rows(msgspec.msgpack.encode((row,))) == (row,)
