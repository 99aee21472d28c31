from __future__ import annotations

import contextlib
import time

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.exceptions import ClementinepinError, Outcome
from clementinepin.peers import PeerUnavailableError
from clementinepin.peers import _messages as messages
from clementinepin.peers import _security as security
from clementinepin.peers._network import GrpcPeerNetwork
from clementinepin.peers.exceptions import PeerAuthenticationError, PeerMessageInvalidError
from tests.peers.conftest import create_core, create_settings

DEEP = b"\x81\xa1a" * 100_000
ROW = {
    "name": "c",
    "incarnation": 1,
    "state": 0,
    "leaving": False,
    "address": "127.0.0.1",
    "port": 8000,
    "peer_port": 9000,
    "data_centre": "dc1",
    "region": "r1",
}
ODD_ROWS = [
    {**ROW, "name": "d", "port": 70_000},
    {**ROW, "name": "d", "peer_port": 70_000},
    {**ROW, "name": "d", "address": "a\0"},
    {**ROW, "name": "a", "incarnation": 2**64 - 1, "state": 1},
    {**ROW, "name": "d", "incarnation": -1},
    {**ROW, "name": "d", "port": "x"},
    {"name": "d"},
    7,
]


def _create_deadline():
    return time.monotonic() + 5.0


def _state(network, name):
    return network.describe_state()["members"][name]["state"]


# The address of a member that the own socket does not accept raised OverflowError or ValueError,
# which ended the probe: the member was never suspected.
@pytest.mark.parametrize("change", [{"peer_port": 70_000}, {"peer_port": -1}, {"address": "a\0"}])
def test_member_at_an_impossible_address_becomes_suspect(start_networks, change):
    a, _ = start_networks("a", "b")
    member = a._membership.table.rows["b"]
    a._membership.table.set_row(member._replace(instance=member.instance._replace(**change)))
    with pytest.raises(PeerUnavailableError):
        a.call("b", "echo", {}, deadline=_create_deadline())
    a._membership._probe("b")
    assert _state(a, "b") == "suspect"


def test_odd_rows_of_a_peer_do_not_stop_the_others(start_networks):
    a, b = start_networks("a", "b")
    exchange = {"rows": [*ODD_ROWS, ROW], "digest": 0, "attached": {}}
    b.register("membership.probe", lambda sender, message: exchange)
    a._membership._probe("b")
    assert sorted(a.describe_state()["members"]) == ["a", "b", "c"]
    b.call(
        "a",
        "membership.merge",
        {"rows": [*ODD_ROWS, {**ROW, "name": "e"}]},
        deadline=_create_deadline(),
    )
    assert sorted(a.describe_state()["members"]) == ["a", "b", "c", "e"]


# A receiver that failed made the probe fail, and the prober suspect this instance.
def test_odd_attachment_fails_neither_the_probe_nor_other_attachments(start_networks):
    a, b = start_networks("a", "b")
    received = []

    def fail(sender, message):
        raise OverflowError("too large")

    for network in (a, b):
        network.attach("odd", dict, fail)
        network.attach("topic", lambda: {"x": 1}, lambda sender, message: received.append(sender))
    a._membership._probe("b")
    assert _state(a, "b") == "alive"
    assert sorted(received) == ["a", "b"]


# The peer's handler may have run, so the error must not mean "not run", nor may it be one of a
# type that callers of a peer don't catch.
@pytest.mark.parametrize("reply", [DEEP, b"", b"\xff", b"\xa2\xff\xff"])
def test_reply_that_can_not_be_decoded_is_of_unknown_outcome(start_networks, reply):
    a, b = start_networks("a", "b")
    b._serve = lambda envelope, body: reply
    with pytest.raises(PeerUnavailableError) as caught:
        a.call("b", "echo", {}, deadline=_create_deadline())
    assert caught.value.outcome is Outcome.OUTCOME_UNKNOWN
    a._membership._probe("b")
    assert _state(a, "b") == "alive"


def test_message_nested_too_deeply_is_refused(start_networks):
    a, b = start_networks("a", "b")
    b.register("echo", lambda sender, message: message)
    with pytest.raises(PeerMessageInvalidError):
        messages.decode_message(DEEP)
    assert a.call("b", "echo", {"x": 1}, deadline=_create_deadline()) == {"x": 1}


@settings(derandomize=True, max_examples=300)
@given(data=st.binary(max_size=60))
def test_any_message_gives_a_map_or_a_documented_error(data):
    with contextlib.suppress(PeerMessageInvalidError):
        assert isinstance(messages.decode_message(data), dict)


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=2), inner),
    max_leaves=4,
)
NAMES = st.sampled_from(
    [*ROW, "rows", "digest", "attached", "digests", "seed", "target", "changes"]
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    method=st.sampled_from(["probe", "sync", "merge"]),
    rows=st.lists(
        st.fixed_dictionaries({k: st.just(v) | VALUES for k, v in ROW.items()}) | VALUES, max_size=3
    ),
    rest=st.dictionaries(NAMES, VALUES, max_size=3),
)
def test_any_membership_message_gives_a_reply_that_can_be_sent_or_an_error(method, rows, rest):
    network = GrpcPeerNetwork(create_core(create_settings("a", port=1)))
    message = {"rows": rows, "digest": 1, "attached": {}, "digests": [1], "seed": 1, **rest}
    message = messages.decode_message(msgspec.msgpack.encode(message))
    with contextlib.suppress(ClementinepinError):
        network._dispatch("b", f"membership.{method}", message)
    table = network._membership.table
    for row in table.rows.values():
        assert 0 < row.instance.port < 65_536
        msgspec.msgpack.encode(messages.pack_row(row))
    network._bridge.stop()


@pytest.mark.parametrize(
    ("key", "value"), [("valid-until", "x"), ("valid-until", "nan"), ("version", "1" * 5000)]
)
def test_odd_metadata_is_not_authentic(key, value):
    values = dict.fromkeys(security._KEYS, "1") | {
        "receiver": "a",
        "valid-until": "100",
        key: value,
    }
    metadata = {"x-peer-" + k: v for k, v in values.items()}
    metadata["x-peer-mac"] = security._compute_mac("secret", values)
    with pytest.raises(PeerAuthenticationError):
        security.verify_metadata("secret", "a", metadata, 100.0)


@settings(derandomize=True, max_examples=200)
@given(
    metadata=st.dictionaries(
        st.sampled_from([f"x-peer-{k}" for k in (*security._KEYS, "mac")]), st.text() | st.binary()
    )
)
def test_any_metadata_is_not_authentic(metadata):
    with pytest.raises(PeerAuthenticationError):
        security.verify_metadata("secret", "a", metadata, 100.0)
