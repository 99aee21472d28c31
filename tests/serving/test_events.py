"""Tests of the splitter of event streams."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinepin.serving._events import EVENT_MAX_BYTES, EventSplitter, StreamEvent
from clementinepin.targets.exceptions import TargetProtocolError

ENDS = st.sampled_from(["\n", "\r\n"])


@given(
    st.lists(st.tuples(st.text("ab", max_size=5), ENDS), max_size=5),
    st.lists(st.integers(0, 200), max_size=12),
)
def test_events_are_the_same_however_the_stream_is_split(
    rows: list[tuple[str, str]], cuts: list[int]
) -> None:
    stream = "".join(
        f"id: {n}{end}data: {text}{end}{end}" for n, (text, end) in enumerate(rows, 1)
    ).encode()
    stream += b"id: 9"
    splitter = EventSplitter()
    events = []
    borders = [0, *sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
    for start, stop in itertools.pairwise(borders):
        events += splitter.feed(stream[start:stop])
    assert [(e.event_id, e.text) for e in events] == [(n, t) for n, (t, _) in enumerate(rows, 1)]
    assert b"".join(e.raw for e in events) + splitter.incomplete == stream


@pytest.mark.parametrize("size", [1000, EVENT_MAX_BYTES + 1])
def test_an_event_without_end_is_given_up(size: int) -> None:
    splitter = EventSplitter()
    for _ in range(EVENT_MAX_BYTES // size):
        assert splitter.feed(b"a" * size) == []
    with pytest.raises(TargetProtocolError):
        splitter.feed(b"a" * size)


def test_an_id_of_too_many_digits_counts_as_none() -> None:
    """Guards against a stream that ends without a reason."""
    assert StreamEvent(b"id: " + b"9" * 5000 + b"\n\n").event_id == 0
