from __future__ import annotations

import pytest

from clementinepin.helpers.clock import ManualClock
from clementinepin.infrastructure._weight_store import (
    RETRY_DEFAULT_S,
    RETRY_MAX_S,
    HttpWeightStore,
    parse_retry_after,
)
from clementinepin.infrastructure.exceptions import PlatformUnavailableError
from standins.weight_store import create_server


def test_second_load_waits_for_the_rate(clock: ManualClock):
    server = create_server("127.0.0.1", 0, clock, loads_per_s=0.5)
    server.start()
    store = HttpWeightStore(f"127.0.0.1:{server.server_port}", clock)
    assert store.check_rate("/w") == clock.wall()
    assert store.check_rate("/w") == clock.wall() + 2.0
    clock.advance(2.0)
    assert store.check_rate("/w") == clock.wall()
    server.stop(timeout=0)


def test_closed_port_raises_platform_unavailable(clock: ManualClock):
    with pytest.raises(PlatformUnavailableError):
        HttpWeightStore("127.0.0.1:1", clock).check_rate("/w")


@pytest.mark.parametrize(
    ("value", "seconds"),
    [(None, RETRY_DEFAULT_S), ("soon", RETRY_DEFAULT_S), ("7", 7.0), ("9999999", RETRY_MAX_S)],
)
def test_retry_after_is_bounded(value: str | None, seconds: float):
    assert parse_retry_after(value) == seconds
