from __future__ import annotations

from tests.conftest import KNOWN_RED, read_known_red


def test_only_lines_that_begin_with_a_test_are_read():
    text = "# KNOWN-RED\n\ntests/a/test_b.py::test_c  seed 3, times out on CI, issue 9\nnone: x\n"
    assert read_known_red(text) == ["tests/a/test_b.py::test_c"]


def test_each_listed_test_has_a_description():
    for line in KNOWN_RED.read_text().splitlines():
        assert not line.startswith("tests/") or len(line.split()) > 3
