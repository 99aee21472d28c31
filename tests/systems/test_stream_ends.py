"""Which runs prove that a stream has ended."""

from __future__ import annotations

import pytest

from clementinepin.systems.stream_ends import is_end_proven
from clementinepin.tables.streams import RunEnd


@pytest.mark.parametrize(
    ("ends", "runs_max", "expected"),
    [
        ("", 3, False),
        ("A", 1, False),
        ("A", 3, False),
        ("Ab", 3, True),
        ("ab", 3, False),
        ("Aa", 3, False),
        ("Aa", 2, True),
        ("Aaa", 3, True),
        ("abb", 3, True),
        ("ab", 2, True),
        ("aaa", 9, True),
    ],
)
def test_a_target_that_says_nothing_never_proves_an_end_at_once(ends, runs_max, expected):
    """Guards against targets that fail in a row, whose silence passed for an end (issue 41).

    A capital stands for a run that brought the last event.
    """
    rows = [RunEnd(name.lower(), name.isupper()) for name in ends]
    assert is_end_proven(rows, runs_max) is expected
