from __future__ import annotations

from tests.conftest import KNOWN_RED, read_known_red


def test_only_lines_that_name_a_test_are_passed_over():
    text = "# KNOWN-RED\n\ntests/a/test_b.py::test_c  seed 3, fails on Tuesdays, issue 9\nnone: x\n"
    assert read_known_red(text) == ["tests/a/test_b.py::test_c"]


def test_each_listed_test_says_what_was_seen():
    for line in KNOWN_RED.read_text().splitlines():
        assert not line.startswith("tests/") or len(line.split()) > 3
