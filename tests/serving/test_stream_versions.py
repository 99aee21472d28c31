"""Tests that a stream never joins events of two software versions of its service."""

from __future__ import annotations

from typing import Any

import pytest

from clementinepin.serving import _call
from clementinepin.serving._dispatcher import update_targets
from clementinepin.serving._slot_requests import Slot
from clementinepin.systems import stream_versions
from tests.serving.harness import ID, Harness, get_status, send_events
from tests.serving.scripted import ScriptedTarget, call


@pytest.fixture
def versions(harness: Harness) -> Harness:
    """Return the harness with the slot broker of its instance, which decides locally."""
    harness.app._forwarder._slots = harness.app.slots
    harness.set_route(resumable=True, attempts_max=2)
    return harness


def add_target(harness: Harness, version: str, *scripts: object) -> ScriptedTarget:
    target = harness.add_target(ScriptedTarget(*scripts))  # type: ignore[arg-type]
    rows = harness.app.fleet.targets.rows
    target_id = harness.slots.target_ids[-1]
    rows[target_id] = rows[target_id]._replace(software_version=version)
    update_targets(harness.app.slots._table, rows, 0.0)
    return target


def test_a_stream_that_breaks_off_is_resumed_at_its_software_version(versions: Harness) -> None:
    """Guards against incident second1: streams went on at another build."""
    add_target(versions, "v1", send_events(1, 2, end=False))
    other = add_target(versions, "v2", send_events(3))
    same = add_target(versions, "v1", send_events(3))
    response = call(versions.port, ID)
    assert response.endswith(b"0\r\n\r\n")
    assert (len(other.requests), len(same.requests)) == (0, 1)


def test_a_stream_that_its_caller_resumes_goes_on_at_its_software_version(
    versions: Harness,
) -> None:
    versions.set_route(resumable=True, attempts_max=1)
    add_target(versions, "v2", send_events(1, 2, end=False))
    assert b"data: e2" in call(versions.port, ID)
    rows = versions.app.fleet.targets.rows
    del rows["t0"]
    other = add_target(versions, "v1", send_events(3))
    same = add_target(versions, "v2", send_events(3))
    headers = ("Clementinepin-Request-Id: q2", "Resumes: q1", "Last-Event-Id: 2")
    assert get_status(call(versions.port, *headers)) == 200
    assert (len(other.requests), len(same.requests)) == (0, 1)


def test_a_target_that_changed_its_version_behind_a_grant_gets_no_resumption(
    versions: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The dispatcher had decided for v1 at a target whose new entry it did not know yet."""
    changed = add_target(versions, "v2", send_events(3))
    same = add_target(versions, "v1", send_events(3))
    acquire = versions.app.slots.acquire

    def grant_as_v1(request: Any, on_waiting: Any) -> Slot:
        if "t0" in request.excluded:
            return acquire(request, on_waiting)
        return acquire(request, on_waiting)._replace(target_id="t0", software_version="v1")

    monkeypatch.setattr(versions.app.slots, "acquire", grant_as_v1)
    headers = ("Clementinepin-Request-Id: q2", "Resumes: q1", "Last-Event-Id: 2")
    stream_versions.record_stream(versions.app.slots._table, "q1", "v1", 1e9, 0.0)
    assert get_status(call(versions.port, *headers)) == 200
    assert (len(changed.requests), len(same.requests)) == (0, 1)


def test_a_stream_whose_target_falls_silent_goes_on_at_its_version(
    versions: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against streams of two versions while sound targets fall silent (day hushed)."""
    monkeypatch.setattr(_call, "RESUME_STALL_SHARE", 0.1)

    def fall_silent(sock: Any, request: bytes) -> bool:
        send_events(1, 2, end=False)(sock, request)
        return bool(sock.recv(1))

    add_target(versions, "v1", fall_silent)
    other = add_target(versions, "v2", send_events(3))
    same = add_target(versions, "v1", send_events(3))
    response = call(versions.port, ID)
    assert response.endswith(b"0\r\n\r\n")
    assert (len(other.requests), len(same.requests)) == (0, 1)
