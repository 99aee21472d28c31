from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.exceptions import ClementinepinError
from clementinepin.peers.exceptions import PeerMessageInvalidError
from clementinepin.scheduling import _messages as messages
from tests.scheduling.fakes import build_call, build_fleet

DEMAND = {
    "target": "t1",
    "online": 1,
    "waiting": 0,
    "first_token_s": 0.1,
    "between_tokens_s": 0.1,
}
SUSPECT = {
    "fingerprint": "f",
    "losses": [["t1", 1.0]],
    "condemned": False,
    "cleared_at": 0.0,
    "expires_at": 1e10,
}
BROKEN = {
    "member": "e2",
    "ticket": 1,
    "target": "t1",
    "service": "lm",
    "parts": ["p"],
    "tokens": 1,
    "age_s": 0.0,
}
CLEARED = {"service": "lm", "parts": ["p"]}
ISOLATE = {"target": "t1", "fingerprint": "f", "remaining_s": 1.0}
CLOSE = {"target": "t1", "remaining_s": 0.0}
ODD = [None, "x", -1, float("nan"), float("inf"), 2**63, [], {}]


def _list_messages(odd):
    """Return messages with one odd value each, by method and the field that has it."""
    for key in DEMAND:
        yield messages.METHOD_DEMAND, key, {"demands": [{**DEMAND, key: odd}]}
    for key in SUSPECT:
        yield messages.METHOD_SUSPECT, key, {"suspects": [{**SUSPECT, key: odd}]}
    for key in BROKEN:
        yield messages.METHOD_CRASHES, key, {"broken": [{**BROKEN, key: odd}], "cleared": []}
    for key in CLEARED:
        yield messages.METHOD_CRASHES, key, {"broken": [], "cleared": [{**CLEARED, key: odd}]}
    for key in ISOLATE:
        yield messages.METHOD_ISOLATE, key, {**ISOLATE, key: odd}
        yield messages.METHOD_RELEASE, key, {**ISOLATE, key: odd}
    for key in CLOSE:
        yield messages.METHOD_CLOSE, key, {**CLOSE, key: odd}
    yield messages.METHOD_LEAVING, "target", {"target": odd}


# A value of another type or a number that is not finite stayed in the tables, and each decision
# after it raised TypeError, or a target stayed closed for good.
@pytest.mark.parametrize("odd", ODD, ids=repr)
def test_odd_message_changes_nothing_that_decisions_need(odd):
    for method, key, message in _list_messages(odd):
        scheduler = build_fleet(("e1",), ("t1",))["e1"]
        with contextlib.suppress(ClementinepinError):
            scheduler._peers.handlers[method]("e2", message)
        scheduler._tick()
        if isinstance(odd, float) or (key == "target" and not isinstance(odd, str)):
            placement = scheduler.acquire(build_call("r"))
            assert placement.target.name == "t1"


def test_odd_message_is_refused():
    scheduler = build_fleet(("e1",), ("t1",))["e1"]
    for method, _, message in _list_messages(float("inf")):
        with pytest.raises(PeerMessageInvalidError):
            scheduler._peers.handlers[method]("e2", message)


@pytest.mark.parametrize("others", [7, {"t1": "x"}, {"t1": float("inf")}, {"t1": -1}])
def test_odd_reply_with_the_demand_of_others_is_as_good_as_none(others):
    fleet = build_fleet(("e1", "e2"), ("t1", "t2", "t3"))
    for scheduler in fleet.values():
        scheduler._peers.handlers[messages.METHOD_DEMAND] = lambda *_: {"others": others}
    for scheduler in fleet.values():
        for n in range(4):
            scheduler.acquire(build_call(f"r{n}"))
        scheduler._tick()


VALUES = st.none() | st.integers(-9, 9) | st.floats() | st.text(max_size=3) | st.lists(st.text())


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    method=st.sampled_from(
        [
            (messages.METHOD_DEMAND, "demands", DEMAND),
            (messages.METHOD_SUSPECT, "suspects", SUSPECT),
            (messages.METHOD_CRASHES, "broken", BROKEN),
        ]
    ),
    changes=st.lists(st.dictionaries(st.sampled_from([*DEMAND, *SUSPECT, *BROKEN]), VALUES)),
)
def test_any_message_leaves_a_scheduler_that_decides(method, changes):
    scheduler = build_fleet(("e1",), ("t1",))["e1"]
    name, field, row = method
    with contextlib.suppress(PeerMessageInvalidError):
        message = {field: [{**row, **change} for change in changes], "cleared": []}
        scheduler._peers.handlers[name]("e2", message)
    scheduler._tick()
