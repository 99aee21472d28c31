"""Policies that set how many batch calls an owned target may run."""

from __future__ import annotations

import math
from typing import NamedTuple, Protocol

from clementinepin.exceptions import InvalidInputError
from clementinepin.systems.demand import count_waiting_per_target
from clementinepin.tables import AllowanceRow, Tables, TargetRow, View

POLICY_ADAPTIVE = "adaptive"
POLICY_BLIND = "blind"
POLICY_FIXED = "fixed"
POLICY_NONE = "none"

RECENT_HALF_LIFE_S = 0.1
PEAK_HALF_LIFE_S = 0.3
SERVICE_HALF_LIFE_S = 0.2
# Peaks of the slots in online use, as shares of a target's or the service's slots. From the low
# share on, batch gets fewer of the free slots, and from the high share on none. Each pair holds
# the share at preference 0.0 (batch throughput) and at 1.0 (online tail latency).
TARGET_LOW_SHARE = (0.6, 0.6)
TARGET_HIGH_SHARE = (1.0, 1.0)
SERVICE_LOW_SHARE = (0.5, 0.3)
SERVICE_HIGH_SHARE = (0.9, 0.5)
SERVICE_FRESH_S = 0.5  # older replies of owners do not count in the service's share
# The cap on batch slots decreases while online calls miss an objective, else it increases.
CAP_DECREASE_FACTOR = 0.7
CAP_INCREASE_SLOTS_PER_S = 4.0
CAP_DECREASE_PERIOD_S = 0.25
FIXED_BATCH_SHARE = 0.5


class OnlineState(NamedTuple):
    """Input of a policy for one target.

    ``online`` counts the online calls of all instances at the target and those that wait for it.
    ``service_share`` is the share of the service's slots in online use, as far as known here. The
    ratios are measured times divided by the service's objectives; 0.0 without a measurement.
    """

    slots_max: int
    online: int
    service_share: float
    first_token_ratio: float
    between_tokens_ratio: float
    preference: float


class AllowancePolicy(Protocol):
    """Decides how many batch calls a target may run beside its online calls."""

    def count_online_slots(self, slots_max: int) -> int:
        """Return the number of slots that online calls may use."""

    def compute(self, row: AllowanceRow, state: OnlineState, now: float) -> AllowanceRow:
        """Return the allowance row for ``now`` (monotonic seconds)."""


class _AdaptivePolicy:
    """Gives batch the free slots, fewer during online peaks or while online calls are late."""

    def count_online_slots(self, slots_max: int) -> int:
        return slots_max

    def compute(self, row: AllowanceRow, state: OnlineState, now: float) -> AllowanceRow:
        elapsed_s = max(0.0, now - row.updated_at)
        recent = _decay(row.recent, state.online, elapsed_s, RECENT_HALF_LIFE_S)
        peak = _decay(row.peak, state.online, elapsed_s, PEAK_HALF_LIFE_S)
        service_peak = _decay(row.service_peak, state.service_share, elapsed_s, SERVICE_HALF_LIFE_S)
        cap = _adjust_cap(row, state, elapsed_s)
        burst = max(
            _measure_burst(
                peak / max(1, state.slots_max), TARGET_LOW_SHARE, TARGET_HIGH_SHARE, state
            ),
            _measure_burst(service_peak, SERVICE_LOW_SHARE, SERVICE_HIGH_SHARE, state),
        )
        idle = state.slots_max - math.ceil(recent - 0.5)
        free = math.floor(idle * (1.0 - burst) + 0.5)
        return AllowanceRow(
            max(0, min(free, math.floor(cap))), recent, peak, service_peak, cap, now
        )


def _decay(last: float, sample: float, elapsed_s: float, half_life_s: float) -> float:
    """Return a peak that follows an increase at once and decays with a half-life."""
    return max(sample, last * 0.5 ** (elapsed_s / half_life_s))


def _interpolate(pair: tuple[float, float], preference: float) -> float:
    return pair[0] + preference * (pair[1] - pair[0])


def _measure_burst(
    peak: float, low: tuple[float, float], high: tuple[float, float], state: OnlineState
) -> float:
    """Return where a peak lies between two shares of the slots, from 0 to 1.

    At 0 batch gets all free slots. At 1 it gets none, as each batch call would lengthen the steps
    of online calls that are already late.
    """
    bottom = _interpolate(low, state.preference)
    top = _interpolate(high, state.preference)
    return min(1.0, max(0.0, (peak - bottom) / (top - bottom)))


def _adjust_cap(row: AllowanceRow, state: OnlineState, elapsed_s: float) -> float:
    if row.updated_at == 0.0:
        return float(state.slots_max)
    late = max(state.first_token_ratio, state.between_tokens_ratio) > 1.0
    if late and state.online:
        return row.cap * CAP_DECREASE_FACTOR ** min(1.0, elapsed_s / CAP_DECREASE_PERIOD_S)
    return min(float(state.slots_max), row.cap + CAP_INCREASE_SLOTS_PER_S * elapsed_s)


class _BlindPolicy:
    """Lets batch use all slots, whatever the online load."""

    def count_online_slots(self, slots_max: int) -> int:
        return slots_max

    def compute(self, row: AllowanceRow, state: OnlineState, now: float) -> AllowanceRow:
        return AllowanceRow(state.slots_max, updated_at=now)


class _FixedPolicy:
    """Splits the slots between online and batch calls in a fixed ratio."""

    def count_online_slots(self, slots_max: int) -> int:
        return slots_max - math.floor(slots_max * FIXED_BATCH_SHARE)

    def compute(self, row: AllowanceRow, state: OnlineState, now: float) -> AllowanceRow:
        return AllowanceRow(math.floor(state.slots_max * FIXED_BATCH_SHARE), updated_at=now)


class _NonePolicy:
    """Runs no batch calls."""

    def count_online_slots(self, slots_max: int) -> int:
        return slots_max

    def compute(self, row: AllowanceRow, state: OnlineState, now: float) -> AllowanceRow:
        return AllowanceRow(0, updated_at=now)


def create_policy(name: str) -> AllowancePolicy:
    """Return the policy with this name; raise InvalidInputError if there is none."""
    policies: dict[str, AllowancePolicy] = {
        POLICY_ADAPTIVE: _AdaptivePolicy(),
        POLICY_BLIND: _BlindPolicy(),
        POLICY_FIXED: _FixedPolicy(),
        POLICY_NONE: _NonePolicy(),
    }
    if name not in policies:
        raise InvalidInputError(
            f"allowance policy {name!r} does not exist", param="allowance_policy"
        )
    return policies[name]


def measure_online_state(
    tables: Tables, row: TargetRow, view: View, service_share: float, now: float
) -> OnlineState:
    """Return the online state of an owned target from own calls and other instances' reports."""
    others = [d for d in tables.demand.list_target(row.name).values() if d.expires_at > now]
    own = tables.measures.get(row.name)
    waiting = count_waiting_per_target(tables, row.service)
    first_token_s = max([own.first_token_s, *(d.first_token_s for d in others)])
    between_tokens_s = max([own.between_tokens_s, *(d.between_tokens_s for d in others)])
    configuration = view.configuration
    spec = configuration.services.get(row.service) if configuration else None
    return OnlineState(
        slots_max=row.slots_max,
        online=row.online + waiting + sum(d.online + d.waiting for d in others),
        service_share=service_share,
        first_token_ratio=first_token_s / spec.first_token_target_s if spec else 0.0,
        between_tokens_ratio=between_tokens_s / spec.between_tokens_target_s if spec else 0.0,
        preference=spec.preference if spec else 1.0,
    )


def measure_online_share(tables: Tables, service: str, now: float) -> float:
    """Return the share of a service's slots in online use, over targets with recent counts.

    Counts of owned targets come from the reports of all instances, those of other targets from
    the replies of their owners.
    """
    online = slots = 0
    waiting = count_waiting_per_target(tables, service)
    for name in tables.followed.get(service, ()):
        row = tables.targets.get(name)
        if row is None:
            continue
        if name in tables.owned:
            reported = tables.demand.list_target(name).values()
            online += sum(d.online + d.waiting for d in reported if d.expires_at > now)
        elif now - row.others_at <= SERVICE_FRESH_S:
            online += row.others_online
        else:
            continue
        online += row.online + waiting
        slots += row.slots_max
    return online / slots if slots else 0.0


def update_allowances(tables: Tables, view: View, policy: AllowancePolicy, now: float) -> None:
    """Recompute the allowances of all owned targets; a closed or ejected target gets 0."""
    shares: dict[str, float] = {}
    for name in tables.owned:
        row = tables.targets.get(name)
        if row is None:
            continue
        if row.service not in shares:
            shares[row.service] = measure_online_share(tables, row.service, now)
        _update_allowance(tables, row, view, policy, shares[row.service], now)


def _update_allowance(
    tables: Tables,
    row: TargetRow,
    view: View,
    policy: AllowancePolicy,
    service_share: float,
    now: float,
) -> None:
    last = tables.allowances.get(row.name) or AllowanceRow()
    state = measure_online_state(tables, row, view, service_share, now)
    updated = policy.compute(last, state, now)
    if not row.is_open(now) or row.closed_until > now or row.ejected_until > now:
        updated = updated._replace(allowance=0)
    tables.allowances[row.name] = updated
