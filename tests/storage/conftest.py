from __future__ import annotations

import pytest

from standins.key_value import MemoryKeyValueStore
from tests.storage.fakes import Cluster


@pytest.fixture
def key_value(clock):
    return MemoryKeyValueStore(clock)


@pytest.fixture
def cluster(clock, key_value):
    return Cluster(clock, key_value, ["dc1", "dc2", "dc3", "dc4"])
