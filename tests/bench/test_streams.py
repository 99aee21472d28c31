from __future__ import annotations

from bench import streams


def test_a_stream_has_a_bounded_cost_at_the_dispatcher() -> None:
    figures = streams.measure_streams(1_000)
    assert 0 < figures["bytes_a_stream"] < 1_000
    sizes = streams.measure_messages()
    assert sizes["request_bytes"] < sizes["stream_request_bytes"] < 2 * sizes["request_bytes"]
