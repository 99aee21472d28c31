"""A short seeded soak of the real daemons, and a regression run of each seed that ever failed."""

from __future__ import annotations

import random
import signal
import subprocess
import sys
from pathlib import Path

import gevent
import pytest
from gevent import socket

from soak.__main__ import reserve_net
from soak._callers import Response, parse_response
from soak._daemon import Cut, LinkFaults
from soak._faults import Faults
from soak._fleet import GRACE_PERIOD_S
from soak._kept import Lost, PlannedStop
from soak._proxy import Proxy
from soak._releases import BegunStream, classify_resumption
from soak._target import make_text
from tests.serving.broken_answers import READ_BYTES, ResettingTarget
from tests.targets.scripted import CUT, ScriptedTarget

ROOT = Path(__file__).parent.parent
SEEDS = {1: "the first seed"}


@pytest.mark.parametrize("seed", SEEDS)
def test_no_guarantee_is_violated_under_faults(seed):
    command = [sys.executable, "-m", "soak", "--seeds", str(seed), "--seconds", "6"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=150)
    assert done.returncode == 0, done.stdout + done.stderr


STREAM = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"


@pytest.mark.parametrize("cut", range(1, len(STREAM)))
def test_a_stream_that_is_cut_anywhere_is_not_whole(cut):
    """Mutation: take the size of the last chunk for the end: a cut behind it is missed."""
    assert parse_response(STREAM).whole
    assert not parse_response(STREAM[:cut]).whole


@pytest.mark.parametrize(
    ("sent_after_s", "ended_after_s", "received", "is_excused"),
    [
        (3.0, GRACE_PERIOD_S * 5 / 6 + 0.01, 10, True),
        (3.01, GRACE_PERIOD_S * 5 / 6 + 0.01, 10, False),
        (3.0, GRACE_PERIOD_S * 5 / 6 - 0.01, 10, False),
        (3.0, GRACE_PERIOD_S, 0, False),
    ],
)
def test_only_runs_that_last_into_the_end_of_a_planned_stop_may_be_cut(
    sent_after_s, ended_after_s, received, is_excused
):
    stop = PlannedStop("127.1.1.1", 100.0)
    row = Lost("q1", "127.1.1.1", 100.0 + sent_after_s, 100.0 + ended_after_s, received)
    assert stop.excuses(row) is is_excused
    assert not stop.excuses(row._replace(ip="127.1.1.2"))


def test_concurrent_soaks_reserve_different_loopback_nets():
    """Guards against two test runs on one machine whose daemons use the same addresses."""
    first, second = reserve_net(None), reserve_net(None)
    taken = first.getsockname()[0].split(".")[1]
    assert taken != second.getsockname()[0].split(".")[1]
    with pytest.raises(SystemExit):
        reserve_net(taken)
    first.close()
    second.close()


def test_a_restart_starts_an_instance_that_ended_unexpectedly():
    """Mutation: skip it: the fleet stays smaller for the rest of the run."""

    class Ended:
        is_restarting = False
        starts = 0

        def is_running(self):
            return False

        def send(self, signal_number):
            raise AssertionError("a signal to a process that has ended")

        def start(self):
            self.starts += 1

    instance = Ended()
    faults = Faults.__new__(Faults)
    faults._random = random.Random(1)
    faults._restart_instance(instance, signal.SIGKILL)
    assert instance.starts == 1


@pytest.mark.parametrize(
    ("status", "version", "outcome"),
    [
        (200, "v1", "went on"),
        (200, "v2", "of two versions"),
        (200, "", "broken off"),
        (503, "", "rejected"),
        (0, "", "without a response"),
    ],
)
def test_a_stream_that_goes_on_at_another_version_does_not_count_as_right(status, version, outcome):
    """Mutation: take each response with status 200 for one that went on: trials show no fault."""
    stream = BegunStream("r1", "released0", {}, b"", "v1")
    body = f"id: 4\ndata: {make_text('r1', 4, version)}\n\n".encode() if version else b""
    assert classify_resumption(stream, 3, Response(status, body, False)) == outcome


def test_a_cut_from_the_other_instances_spares_links_of_an_instance_with_itself(tmp_path):
    """Mutation: cut these too: a job runner that is cut off loses its own dispatcher."""

    class Own:
        own_address = ("127.0.0.1", 40001)
        hangs = is_late = False

        def find_cut(self):
            return None

        def send_held(self):
            pass

    faults = LinkFaults(tmp_path / "links.json")
    faults.sockets.add(Own())
    cut = Cut(["127.1.1.2"], [7720], "refuse", "hang", accepted=True)
    faults._apply([cut])
    assert faults.find_cut("127.1.1.2", 7720) == cut
    assert faults.find_cut("127.1.1.1", 7720) is None
    assert faults.find_accepted_cut(7720, ("127.0.0.1", 40002)) == cut
    assert faults.find_accepted_cut(7720, ("127.0.0.1", 40001)) is None
    assert faults.find_accepted_cut(8161, ("127.0.0.1", 40002)) is None


@pytest.mark.parametrize("writes", [False, True])
def test_the_proxy_passes_a_reset_on(writes):
    """Guards against a proxy behind which each broken response looks like one that ended."""
    target = ResettingTarget(b"part")
    proxy = Proxy(("127.0.0.1", target.port))
    with gevent.Timeout(5.0), socket.create_connection(("127.0.0.1", proxy.port)) as sock:
        sock.sendall(b"x" * READ_BYTES)
        assert sock.recv(10) == b"part"
        writing = gevent.spawn(sock.sendall, b"x" * 20_000_000) if writes else None
        gevent.sleep(0.1)
        target.may_reset.set()
        if writing is not None:
            with pytest.raises(ConnectionResetError):
                writing.get()
        else:
            with pytest.raises(ConnectionResetError):
                sock.recv(10)
    proxy.stop()
    target.stop()


def test_the_proxy_passes_an_end_in_order_on():
    target = ScriptedTarget(lambda _request: [b"whole", CUT])
    proxy = Proxy(("127.0.0.1", target.address.port))
    with gevent.Timeout(5.0), socket.create_connection(("127.0.0.1", proxy.port)) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
        assert (sock.recv(10), sock.recv(10)) == (b"whole", b"")
    proxy.stop()
    target.stop()
