"""Fixtures shared by tests of the serving path."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.serving.harness import Harness


@pytest.fixture
def harness() -> Iterator[Harness]:
    harness = Harness()
    yield harness
    harness.stop()
