from __future__ import annotations

from collections.abc import Iterator

import gevent
import msgspec
import pytest
from gevent.pywsgi import WSGIServer
from geventhttpclient import HTTPClient
from geventhttpclient._parser import HTTPParseError
from hypothesis import given
from hypothesis import strategies as st

from standins.engine import EngineOptions, EngineState, Fault, make_token
from standins.engine._http import EngineServer
from standins.web import create_server


def create_state(**changes: object) -> EngineState:
    options = EngineOptions(name="e1", service="s", checks_fencing=True)
    state = EngineState(options._replace(**changes))
    state.loaded[("model", "m")] = "1"
    return state


def generate_all(state: EngineState) -> dict[str, str]:
    texts: dict[str, str] = {}
    while state.waiting or state.running:
        state.fill_slots(0.0)
        for sequence, token in state.step():
            texts[sequence.request_id] = texts.get(sequence.request_id, "") + token.text
    return texts


@given(st.text(max_size=40), st.integers(1, 20), st.data())
def test_resumed_response_equals_uninterrupted_one(
    prompt: str, total: int, data: st.DataObject
) -> None:
    """Fails if make_token hashes the position within the run instead of the index."""
    cut = data.draw(st.integers(0, total))
    uninterrupted, resumed = create_state(), create_state()
    body = {"prompt": prompt, "max_tokens": total}
    uninterrupted.admit("a", body)
    resumed.admit("a", {**body, "resume": {"text": "", "tokens": cut}})
    head = "".join(make_token(prompt, i) for i in range(cut))
    assert head + generate_all(resumed)["a"] == generate_all(uninterrupted)["a"]


def test_waiting_sequences_run_in_arrival_order() -> None:
    """Fails if fill_slots takes the newest waiting sequence first."""
    state = create_state(slots=1)
    for name in ("a", "b", "c"):
        state.admit(name, {"prompt": name, "max_tokens": 2})
    assert list(generate_all(state)) == ["a", "b", "c"]


def test_step_takes_longer_with_more_running_sequences() -> None:
    state = create_state()
    idle = state.compute_step_s()
    state.admit("a", {"prompt": "p"})
    state.fill_slots(0.0)
    assert state.compute_step_s() > idle


@pytest.mark.parametrize(
    ("model", "reason"), [("m", None), ("x", "not_loaded"), ("m:x", "not_loaded")]
)
def test_request_for_a_model_not_loaded_is_refused(model: str, reason: str | None) -> None:
    assert create_state().check_admission(model) == reason


def test_full_or_leaving_engine_refuses_requests() -> None:
    state = create_state(waiting_max=1)
    state.admit("a", {"prompt": "p"})
    assert state.check_admission("m") == "full"
    state.set_fault(Fault.LEAVE, {})
    assert state.check_admission("m") == "leaving"


def test_old_fencing_number_is_refused_only_when_checked() -> None:
    """Fails if accept_order doesn't compare fencing numbers."""
    checking, ignoring = create_state(), create_state(checks_fencing=False)
    assert checking.accept_order(7)
    assert not checking.accept_order(6)
    assert ignoring.accept_order(7)
    assert ignoring.accept_order(6)


def test_cache_evicts_prefixes_and_delays_and_loses_events() -> None:
    state = create_state(cache_tokens_max=10, event_delay_s=1.0)
    for number in range(20):
        state.cache.store(f"p{number}", 4, float(number))
    assert state.cache.read("p0") is None
    assert state.cache.read("p19") == 4
    events = state.cache.list_events(0, 19.5)
    numbers = [e["sequence"] for e in events]
    assert 7 not in numbers
    assert all(e["prefix_hash"] != "p19" for e in events)


def test_metrics_page_lags() -> None:
    state = create_state(report_lag_s=1.0)
    assert "engine_waiting 0" in state.report(0.0)
    state.admit("a", {"prompt": "p"})
    assert "engine_waiting 0" in state.report(0.9)
    assert "engine_waiting 1" in state.report(1.0)


def test_poison_is_found_in_running_prompts_only() -> None:
    state = create_state(poison_marker="KILL")
    state.admit("a", {"prompt": "xKILLx"})
    assert not state.has_poisoned_prompt()
    state.fill_slots(0.0)
    assert state.has_poisoned_prompt()


@pytest.fixture
def served() -> Iterator[tuple[EngineState, HTTPClient]]:
    state = create_state(step_base_s=0.001, step_active_s=0.0)
    engine = EngineServer(state)
    steps = gevent.spawn(engine.run_steps)
    server: WSGIServer = create_server(0, engine.create_app())
    server.start()
    client = HTTPClient("127.0.0.1", server.server_port, network_timeout=5.0)
    yield state, client
    client.close()
    steps.kill()
    server.stop(0)


def read_events(raw: bytes) -> list[bytes]:
    return [line.removeprefix(b"data: ") for line in raw.split(b"\n\n") if line]


def test_stream_over_http(served: tuple[EngineState, HTTPClient]) -> None:
    _, client = served
    body = msgspec.json.encode({"model": "m", "prompt": "p", "max_tokens": 3, "stream": True})
    response = client.post("/v1/completions", body, {"X-Request-Id": "r1"})
    *events, done = read_events(bytes(response.read()))
    assert done == b"[DONE]"
    decoded = [msgspec.json.decode(e) for e in events]
    assert [e["choices"][0]["text"] for e in decoded] == [make_token("p", i) for i in range(3)]
    assert {e["id"] for e in decoded} == {"cmpl-r1"}
    assert decoded[-1]["choices"][0]["finish_reason"] == "length"


def test_truncated_stream_ends_without_last_chunk(served: tuple[EngineState, HTTPClient]) -> None:
    """Fails if _iterate_tokens returns instead of raising StreamCutError."""
    state, client = served
    state.set_fault(Fault.TRUNCATE, {"tokens": 2})
    body = msgspec.json.encode({"model": "m", "prompt": "p", "max_tokens": 9, "stream": True})
    response = client.post("/v1/completions", body)
    with pytest.raises(HTTPParseError):
        response.read()


def test_closed_connection_cancels_the_generation(served: tuple[EngineState, HTTPClient]) -> None:
    """Fails if Request.is_disconnected always returns False."""
    state, client = served
    body = msgspec.json.encode({"model": "m", "prompt": "p", "max_tokens": 100_000})
    posted = gevent.spawn(client.post, "/v1/completions", body)
    while not state.running:
        gevent.sleep(0.001)
    posted.kill()
    client.close()
    with gevent.Timeout(5):
        while state.running:
            gevent.sleep(0.001)
    assert sum(state.cancelled.values()) == 1
