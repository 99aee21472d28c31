from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from standins.caller import Caller
from standins.engine import EngineOptions, EngineState, Fault, make_token
from standins.engine._http import EngineServer
from standins.web import create_server


@pytest.fixture
def engine() -> Iterator[tuple[EngineState, int]]:
    options = EngineOptions("e1", "s", checks_fencing=True, step_base_s=0.001, step_active_s=0.0)
    state = EngineState(options)
    state.loaded[("model", "m")] = "1"
    server = EngineServer(state)
    steps = gevent.spawn(server.run_steps)
    http = create_server(0, server.create_app())
    http.start()
    yield state, http.server_port
    steps.kill()
    http.stop(0)


@pytest.mark.parametrize("stream", [True, False])
def test_complete_response_is_read(engine: tuple[EngineState, int], stream: bool) -> None:
    seen: list[int] = []
    body = {"model": "m", "prompt": "p", "max_tokens": 5, "stream": stream}
    response = Caller("k").complete(engine[1], body, on_token=lambda count, _: seen.append(count))
    assert (response.status, response.whole) == (200, True)
    assert response.text == "".join(make_token("p", i) for i in range(5))
    assert seen == ([1, 2, 3, 4, 5] if stream else [1])


def test_cut_stream_is_reported_as_incomplete(engine: tuple[EngineState, int]) -> None:
    """Fails if _Reader.make_response takes a closed connection for the end of the stream."""
    engine[0].set_fault(Fault.TRUNCATE, {"tokens": 2})
    body = {"model": "m", "prompt": "p", "max_tokens": 5, "stream": True}
    response = Caller("k").complete(engine[1], body)
    assert (response.tokens, response.whole) == (2, False)


def test_refusal_differs_from_failed_connection(engine: tuple[EngineState, int]) -> None:
    refused = Caller("k").complete(engine[1], {"model": "x", "prompt": "p"})
    assert (refused.status, refused.whole, refused.sent) == (503, False, True)
    closed = Caller("k").complete(1, {"model": "x", "prompt": "p"})
    assert (closed.status, closed.whole, closed.sent) == (0, False, False)
