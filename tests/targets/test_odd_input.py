from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.helpers.clock import ManualClock, create_system_clock
from clementinepin.targets import GenerateRequest, TargetAddress, create_engine
from clementinepin.targets import _dialing as dialing
from clementinepin.targets._dialing import RelayingDialer, connect_directly
from clementinepin.targets._events import EventDecoder
from clementinepin.targets._exchange import HttpExchange, HttpRequest
from clementinepin.targets._metrics import parse_load_report
from clementinepin.targets.exceptions import (
    TargetLostError,
    TargetNotReachedError,
    TargetProtocolError,
    TargetRejectedError,
)
from clementinepin.targets.models import LoadReport
from tests.targets.scripted import ScriptedTarget, make_reply

DEEP = b"[" * 100_000
BAD_ADDRESSES = [
    ("127.0.0.1", 70_000),
    ("127.0.0.1", -1),
    ("127.0.0.1", 2**70),
    ("a\0b", 80),
    ("::1%\0", 80),
    ("\ud800", 80),
]


class NoRelays:
    def open(self, target, deadline):
        raise TargetNotReachedError("no other instance is known")


# The socket raises OverflowError, ValueError or UnicodeError for these, not OSError.
@pytest.mark.parametrize(("host", "port"), BAD_ADDRESSES)
def test_address_that_no_socket_accepts_is_not_reached(host, port):
    clock = create_system_clock()
    address = TargetAddress("t1", host, port)
    with pytest.raises(TargetNotReachedError):
        connect_directly(address, clock.monotonic() + 1.0, clock)
    with pytest.raises(TargetNotReachedError):
        RelayingDialer(clock, NoRelays()).dial(address, clock.monotonic() + 1.0)


def test_lack_of_descriptors_is_not_reached(monkeypatch):
    def fail(*_):
        raise OSError(24, "Too many open files")

    monkeypatch.setattr(dialing.socket, "socket", fail)
    clock = create_system_clock()
    address = TargetAddress("t1", "127.0.0.1", 80)
    with pytest.raises(TargetNotReachedError):
        connect_directly(address, clock.monotonic() + 1.0, clock)
    with pytest.raises(TargetNotReachedError):
        RelayingDialer(clock, NoRelays()).dial(address, clock.monotonic() + 1.0)


@pytest.mark.parametrize("value", ["inf", "-inf", "nan", "1e999", "+Inf"])
def test_load_report_ignores_numbers_that_are_not_finite(value):
    text = f"engine_running {value}\nengine_fencing_number {value}\nengine_waiting 3\n"
    report = parse_load_report(text, 1.0)
    assert (report.running, report.waiting, report.fencing_number) == (0, 3, 0)


@pytest.mark.parametrize(
    "event",
    [
        b'{"id": "cmpl-r1", "x": ' + DEEP + b"}",
        b'{"id": "cmpl-r1", "error": ' + DEEP + b"}",
        b'{"id": "cmpl-r1", "usage": ' + DEEP + b"}",
        b'{"id": "cmpl-r1", "choices": ' + b"9" * 5000 + b"}",
    ],
)
def test_odd_event_is_a_protocol_error(event):
    with pytest.raises(TargetProtocolError):
        EventDecoder("r1").feed(b"data: " + event + b"\n\n")


@pytest.mark.parametrize("body", [DEEP, b'{"id": "cmpl-r1", "x": ' + DEEP, b"9" * 5000, b"\xff"])
def test_odd_response_is_a_protocol_error(body):
    target = ScriptedTarget(lambda _request: [make_reply(body)])
    try:
        clock = create_system_clock()
        engine = create_engine(target.address, clock)
        request = GenerateRequest("r1", "/v1/completions", {}, "online", clock.monotonic() + 5.0)
        with pytest.raises(TargetProtocolError):
            list(engine.generate(request._replace(whole=True)))
        with pytest.raises(TargetProtocolError):
            engine.fetch_cache_events(0)
    finally:
        target.stop()


@settings(derandomize=True, max_examples=300)
@given(data=st.binary(max_size=60), split=st.integers(0, 60))
def test_any_event_bytes_give_a_chunk_or_a_documented_error(data, split):
    decoder = EventDecoder("r1")
    with contextlib.suppress(TargetLostError, TargetRejectedError):
        for part in (data[:split], data[split:], b"data: " + data + b"\n\n"):
            decoder.feed(part)


@settings(derandomize=True, max_examples=300)
@given(text=st.text(max_size=80) | st.from_regex(r"engine_[a-z_]+(\{.*\})? [-+0-9a-z.]{1,9}"))
def test_any_load_report_is_read(text):
    assert isinstance(parse_load_report(text, 1.0), LoadReport)


class _Connection:
    relay = ""
    is_writing = False

    def __init__(self, pieces):
        self._pieces = list(pieces)

    def read(self, _size):
        return self._pieces.pop(0) if self._pieces else b""

    def close(self):
        self._pieces.clear()


class _Pool:
    idle_max_s = 1.0

    def release(self, connection):
        pass

    def replace(self):
        pass


HEAD = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\nX: \xe2\r\n\r\n"
RESPONSE = HEAD + b"3;a=b\r\nabc\r\n0\r\nT: x\r\n\r\n"


@settings(derandomize=True, max_examples=500)
@given(
    edits=st.lists(st.tuples(st.integers(0, len(RESPONSE) - 1), st.binary(max_size=3)), max_size=4),
    split=st.integers(0, len(RESPONSE)),
)
def test_any_response_bytes_give_a_body_or_a_lost_target(edits, split):
    data = bytearray(RESPONSE)
    for at, piece in edits:
        data[at : at + 1] = piece
    pieces = [bytes(part) for part in (data[:split], data[split:]) if part]
    with contextlib.suppress(TargetLostError):
        exchange = HttpExchange(
            _Pool(), _Connection(pieces), HttpRequest("GET", "/"), ManualClock()
        )
        exchange.read_all(10_000)
