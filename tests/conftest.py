from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings

from clementinepin.helpers.clock import ManualClock

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("ci")


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()
