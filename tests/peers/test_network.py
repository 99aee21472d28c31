from __future__ import annotations

import time

import gevent
import pytest

from clementinepin.exceptions import ConflictError
from clementinepin.peers import PeerRefusedError, PeerUnavailableError
from clementinepin.peers._network import GrpcPeerNetwork


def _create_deadline() -> float:
    return time.monotonic() + 5.0


def test_call_reaches_the_handler_with_the_sender(start_networks):
    a, b = start_networks("a", "b")
    b.register("echo", lambda sender, message: {"sender": sender, **message})
    assert a.call("b", "echo", {"x": 1}, deadline=_create_deadline()) == {"sender": "a", "x": 1}
    assert a.call("a", "membership.merge", {"rows": []}, deadline=_create_deadline()) == {}


def test_handlers_run_at_the_same_time(start_networks):
    """Mutation: run handlers in the hub's callback: the first one blocks the second."""
    a, b = start_networks("a", "b")
    gate = gevent.event.Event()
    started = gevent.event.Event()

    def wait(sender, message):
        started.set()
        gate.wait()
        return {}

    b.register("wait", wait)
    b.register("open", lambda sender, message: gate.set() or {})
    waiting = gevent.spawn(a.call, "b", "wait", {}, deadline=_create_deadline())
    assert started.wait(5)
    a.call("b", "open", {}, deadline=_create_deadline())
    assert waiting.get() == {}


def test_a_message_of_a_megabyte_is_transferred_unchanged(start_networks):
    a, b = start_networks("a", "b")
    b.register("echo", lambda sender, message: message)
    data = bytes(range(256)) * 4096
    assert a.call("b", "echo", {"data": data}, deadline=_create_deadline()) == {"data": data}


def test_peer_that_moved_is_reached_at_its_new_port(start_networks):
    """Mutation: _get_channel keeps the connection after the address has changed."""
    a, b = start_networks("a", "b")
    b.register("echo", lambda sender, message: {"by": "old"})
    assert a.call("b", "echo", {}, deadline=_create_deadline()) == {"by": "old"}
    (moved,) = start_networks("b")
    moved.register("echo", lambda sender, message: {"by": "new"})
    rows = [row for row in moved.list_members() if row.name == "b"]
    member = a._membership.table.rows["b"]
    a._membership.table.set_row(member._replace(instance=rows[0]))
    assert a.call("b", "echo", {}, deadline=_create_deadline()) == {"by": "new"}


def test_unknown_peer_and_closed_port_are_unavailable(start_networks):
    a, b = start_networks("a", "b")
    with pytest.raises(PeerUnavailableError):
        a.call("c", "echo", {}, deadline=_create_deadline())
    b.stop(0.0)
    with pytest.raises(PeerUnavailableError):
        a.call("b", "echo", {}, deadline=_create_deadline())


def test_a_call_to_a_hanging_handler_ends_at_its_deadline(start_networks):
    a, b = start_networks("a", "b")
    b.register("hang", lambda sender, message: gevent.sleep(60) or {})
    with pytest.raises(PeerUnavailableError):
        a.call("b", "hang", {}, deadline=time.monotonic() + 0.2)


def test_the_error_code_of_a_handler_is_returned_to_the_caller(start_networks):
    a, b = start_networks("a", "b")

    def refuse(sender, message):
        raise ConflictError("no")

    b.register("refuse", refuse)
    with pytest.raises(PeerRefusedError) as caught:
        a.call("b", "refuse", {}, deadline=_create_deadline())
    assert caught.value.peer_code == "conflict"
    with pytest.raises(PeerRefusedError) as caught:
        a.call("b", "absent", {}, deadline=_create_deadline())
    assert caught.value.peer_code == "peer_method_unknown"


def test_a_message_signed_with_another_secret_is_rejected(start_networks):
    """Mutation: verify_metadata does not compare the authentication code."""
    a, b = start_networks("a", "b", secrets={"b": "t" * 16})
    b.register("echo", lambda sender, message: message)
    with pytest.raises(PeerUnavailableError, match="UNAUTHENTICATED"):
        a.call("b", "echo", {}, deadline=_create_deadline())


def test_broadcast_and_gather_reach_all_instances_but_the_stopped_one(start_networks):
    """Mutation: call only the first head of a branch."""
    networks = start_networks(*(f"n{index}" for index in range(9)))
    notified: list[str] = []
    for network in networks:
        network.register(
            "note", lambda sender, message, own=network._own: notified.append(own) or {}
        )
        network.register("count", lambda sender, message, own=network._own: {"own": own})
    lost = (
        networks[0]
        ._trees._split(
            {
                "low": 0,
                "high": 2**64 - 1,
                "method": "",
                "message": {},
                "passed": [],
                "deadline": 0.0,
            }
        )[0]
        .heads[0]
    )
    next(network for network in networks if network._own == lost).stop(0.0)
    expected = sorted(f"n{index}" for index in range(9) if f"n{index}" != lost)
    replies = networks[0].gather("count", {}, deadline=_create_deadline())
    assert sorted(replies) == expected
    networks[0].broadcast("note", {})
    with gevent.Timeout(10):
        while len(notified) < len(expected) - 1:
            gevent.sleep(0.01)
    assert sorted(notified) == [name for name in expected if name != "n0"]


def test_probes_carry_attachments_and_leaving(start_networks):
    a, b = start_networks("a", "b")
    received = []
    a.attach("topic", lambda: {"from": "a"}, lambda sender, message: None)
    b.attach("topic", lambda: {"from": "b"}, lambda sender, message: received.append(message))
    a.mark_leaving("a")
    assert isinstance(a, GrpcPeerNetwork)
    a._membership._probe("b")
    assert received == [{"from": "a"}]
    assert b.list_live() == ["b"]
    assert a.list_live() == ["b"]


def test_an_unresponsive_member_becomes_suspect(start_networks):
    a, b, _ = start_networks("a", "b", "c")
    b.stop(0.0)
    a._membership._probe("b")
    assert a.describe_state()["members"]["b"]["state"] == "suspect"
    assert "b" in a.list_live()


def test_a_reply_that_can_not_be_decoded_does_not_make_a_member_suspect(start_networks):
    """Mutation: treat a reply that can't be decoded as a failed probe."""
    a, b = start_networks("a", "b")
    b.register("membership.probe", lambda sender, message: {"rows": 7})
    a._membership._probe("b")
    assert a.describe_state()["members"]["b"]["state"] == "alive"
    b.register("tree.gather", lambda sender, message: {"answers": 7})
    a.register("count", lambda sender, message: {})
    assert a.gather("count", {}, deadline=_create_deadline()) == {"a": {}}


def test_idle_connections_are_closed(start_networks, monkeypatch):
    """Mutation: never start the sweep: idle connections are closed by their number only."""
    monkeypatch.setattr("clementinepin.peers._transport.SWEEP_PERIOD_S", 0.01)
    monkeypatch.setattr("clementinepin.peers._transport.CHANNEL_IDLE_S", 0.0)
    a, b = start_networks("a", "b")
    b.register("echo", lambda sender, message: message)
    a.call("b", "echo", {}, deadline=_create_deadline())
    deadline = _create_deadline()
    while a.describe_state()["connections"]:
        assert time.monotonic() < deadline
        gevent.sleep(0.01)


def test_a_connection_with_a_call_in_progress_is_not_idle(start_networks, monkeypatch):
    """Mutation: judge by the start of the last call only: a long call is cut."""
    monkeypatch.setattr("clementinepin.peers._transport.SWEEP_PERIOD_S", 0.005)
    monkeypatch.setattr("clementinepin.peers._transport.CHANNEL_IDLE_S", 0.0)
    a, b = start_networks("a", "b")
    b.register("wait", lambda sender, message: gevent.sleep(0.1) or {"done": True})
    assert a.call("b", "wait", {}, deadline=_create_deadline()) == {"done": True}
