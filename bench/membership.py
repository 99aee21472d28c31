"""Measure the cost of membership per instance by number of instances, in virtual time.

Two protocols are compared. In the product, views are patched by statements that members forward.
In the alternative, every view is rebuilt each period from the counters of all members. Bytes are
those of message bodies, without headers.
"""

from __future__ import annotations

import json
import sys
import time
from typing import TypedDict

from bench._membership_network import MembershipNetwork
from bench._rebuilt_network import RebuiltNetwork

SIZES = (6, 60, 590)
SETTLE_PERIODS = 20
MEASURED_PERIODS = 10
LIMIT_PERIODS = 60
SPLIT_PERIODS = 40
HEAL_LIMIT_PERIODS = 150
SPLIT_SIZE_MAX_SHORT = 60


class Cost(TypedDict):
    """Cost per instance; a period is one second of virtual time."""

    instances: int
    bytes_per_s: float
    messages_per_s: float
    cpu_ms_per_s: float
    death_seen_by_all_periods: int | None


class PatchedCost(Cost):
    """Additional figures of the product's protocol."""

    rejoin_seen_by_all_periods: int | None
    heal_bytes_per_s: float | None
    split_healed_periods: int | None


def measure_steady(network: MembershipNetwork | RebuiltNetwork, size: int) -> Cost:
    """Return the cost of a settled network in which nothing fails."""
    before = network.bytes, network.messages
    started = time.perf_counter()
    network.run(MEASURED_PERIODS)
    elapsed = time.perf_counter() - started
    instance_periods = MEASURED_PERIODS * size
    return Cost(
        instances=size,
        bytes_per_s=round((network.bytes - before[0]) / instance_periods, 1),
        messages_per_s=round((network.messages - before[1]) / instance_periods, 2),
        cpu_ms_per_s=round(1000 * elapsed / instance_periods, 3),
        death_seen_by_all_periods=None,
    )


def measure_patched(size: int, *, split: bool) -> PatchedCost:
    """Measure the product's protocol; without ``split`` the two figures of a split are None."""
    network = MembershipNetwork(size)
    network.run(SETTLE_PERIODS)
    cost = measure_steady(network, size)
    stopped = sorted(network.tables)[size // 2]
    network.down.add(stopped)
    cost["death_seen_by_all_periods"] = network.count_periods(network.agrees, LIMIT_PERIODS)
    network.restart(stopped, 2_000_000)
    rejoin = network.count_periods(network.agrees, LIMIT_PERIODS)
    healed, heal_bytes = measure_split(network, size) if split else (None, None)
    return PatchedCost(
        **cost,
        rejoin_seen_by_all_periods=rejoin,
        split_healed_periods=healed,
        heal_bytes_per_s=heal_bytes,
    )


def measure_split(network: MembershipNetwork, size: int) -> tuple[int | None, float]:
    """Split the network, heal it, and return the periods until all views agree.

    The second figure is the bytes per second and instance meanwhile.
    """
    one_side = set(sorted(network.tables)[: size // 2])
    network.link = lambda sender, receiver: (sender in one_side) == (receiver in one_side)
    network.run(SPLIT_PERIODS)
    network.link = lambda _sender, _receiver: True
    before, started_at = network.bytes, network.now
    healed = network.count_periods(network.agrees, HEAL_LIMIT_PERIODS)
    instance_periods = max(1.0, network.now - started_at) * size
    return healed, round((network.bytes - before) / instance_periods, 1)


def measure_rebuilt(size: int) -> Cost:
    """Measure the alternative, which rebuilds views."""
    network = RebuiltNetwork(size)
    network.run(MEASURED_PERIODS)
    cost = measure_steady(network, size)
    network.down.add(network.names[size // 2])
    cost["death_seen_by_all_periods"] = network.count_periods(network.agrees, LIMIT_PERIODS)
    return cost


def main() -> None:
    """Print one line per size and protocol, then all figures as one JSON object."""
    split_size_max = SPLIT_SIZE_MAX_SHORT if "--short" in sys.argv else max(SIZES)
    patched = []
    rebuilt = []
    for size in SIZES:
        patched.append(measure_patched(size, split=size <= split_size_max))
        print("patched", patched[-1], flush=True)
        rebuilt.append(measure_rebuilt(size))
        print("rebuilt", rebuilt[-1], flush=True)
    print(json.dumps({"patched": patched, "rebuilt": rebuilt}))


if __name__ == "__main__":
    main()
