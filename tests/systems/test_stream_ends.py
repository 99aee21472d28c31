"""Which runs prove that a stream has ended."""

from __future__ import annotations

import pytest

from clementinepin.systems.stream_ends import is_end_proven


@pytest.mark.parametrize(
    ("ended_by", "runs_max", "expected"),
    [
        ("", 3, False),
        ("a", 1, False),
        ("a", 3, False),
        ("ab", 3, True),
        ("aa", 3, False),
        ("aa", 2, True),
        ("aaa", 3, True),
        ("aaa", 9, True),
    ],
)
def test_one_target_never_proves_an_end_at_once(ended_by, runs_max, expected):
    """Guards against a target that fails twice in a row, whose silence passed for an end."""
    assert is_end_proven(list(ended_by), runs_max) is expected
