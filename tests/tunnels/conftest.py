from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from tests.peers.conftest import start_networks
from tests.tunnels.ways import Ways

__all__ = ["start_networks"]


@pytest.fixture(params=["directly", "through a tunnel"])
def ways(request: pytest.FixtureRequest, start_networks: Any) -> Iterator[Ways]:
    ways = Ways(start_networks("a", "b") if request.param != "directly" else None)
    yield ways
    ways.stop()
