"""Choice of the target for one call."""

from __future__ import annotations

import math
from collections.abc import Sequence

from clementinepin.config import ApplicationSpec, Configuration
from clementinepin.const import Priority
from clementinepin.helpers.rendezvous import score_pair
from clementinepin.systems.exceptions import ServiceUnknownError
from clementinepin.tables import CallInfo, TargetRow, View

OTHERS_FRESH_S = 1.0
REPORT_FRESH_S = 1.0
OTHERS_HALF_LIFE_S = 0.5
SLOW_START_S = 10.0
SLOW_START_SHARE_MIN = 0.2  # of the slots, at the start of the slow start
# Loads are shares of a target's slots.
AFFINITY_SLACK_SHARE = 0.25  # extra load at which a prefix stays at its first-ranked target
CACHED_BONUS_SHARE = 0.1
REMOTE_DATA_CENTRE_SHARE = 0.02
SPILL_LOAD_SHARE = 0.75  # from this load on, other targets are preferred, also in other regions
COMPARED_TARGETS_MAX = 2  # power of two choices
MODEL_RETRY_S = 1.0  # a target that refused for its missing model may have loaded it by then
SHARE_WAIT_S = 0.05  # then a call may use the share of this instance in any case
_ONLINE = Priority.ONLINE.value


def find_application(call: CallInfo, configuration: Configuration | None) -> ApplicationSpec | None:
    """Return the call's application, or None for a plain service.

    Raise ServiceUnknownError if the configuration lacks the service or the application.
    """
    if configuration is None or call.service not in configuration.services:
        raise ServiceUnknownError(f"service {call.service} is not configured", param="service")
    if not call.application:
        return None
    application = configuration.applications.get(call.application)
    if application is None:
        raise ServiceUnknownError(
            f"application {call.application} is not configured", param="model"
        )
    return application


def list_candidates(
    call: CallInfo, rows: Sequence[TargetRow], view: View, now: float
) -> list[TargetRow]:
    """Return the targets that may run a call now, whether or not they have free slots.

    Targets that have not reported yet count only if no other target serves the application, and
    targets that lately refused it as not loaded don't count.
    """
    application = find_application(call, view.configuration)
    usable = [
        row
        for row in rows
        if row.is_open(now)
        and row.ejected_until <= now
        and row.closed_until <= now
        and row.name not in call.tried
        and (application is None or allows_place(application, row))
        and not lacks_model(call.application, row, now)
    ]
    if application is None:
        return usable
    serving = [row for row in usable if row.report is not None and serves(application, row)]
    return serving or [row for row in usable if row.report is None]


def allows_place(application: ApplicationSpec, row: TargetRow) -> bool:
    """Return whether an application may run in a target's region and data centre."""
    if application.regions and row.region not in application.regions:
        return False
    return not application.data_centres or row.data_centre in application.data_centres


def serves(application: ApplicationSpec, row: TargetRow) -> bool:
    """Return whether a target reported the application's model and adapter as loaded."""
    report = row.report
    if report is None:
        return False
    if application.model not in {name.split(":")[0] for name in report.models}:
        return False
    if application.adapter is None:
        return True
    return application.adapter in {name.split(":")[0] for name in report.adapters}


def lacks_model(application: str, row: TargetRow, now: float) -> bool:
    """Return whether a refusal shows that a target has not loaded the application's model.

    ``application`` is empty for plain services, whose targets may refuse in the same way.
    A later report decides instead; without one, the target is tried again after MODEL_RETRY_S.
    """
    refused_at = row.model_refusals.get(application)
    if refused_at is None or (row.report is not None and row.report.reported_at > refused_at):
        return False
    return now < refused_at + MODEL_RETRY_S


def estimate_others(row: TargetRow, deciders: int, now: float) -> float:
    """Return the estimated number of online calls of other instances at a target.

    The weight of the owner's last report decreases with its age. Without a report, each other
    instance is assumed to have as many calls there as this one.
    """
    guess = float(row.online * (deciders - 1))
    if row.others_at == 0.0:
        return guess
    weight = 0.5 ** (max(0.0, now - row.others_at) / OTHERS_HALF_LIFE_S)
    return weight * row.others_online + (1.0 - weight) * min(guess, row.others_online)


def compute_ramp(row: TargetRow, now: float) -> float:
    """Return the share of its slots, up to 1.0, that a target may use during its slow start."""
    if row.slow_start_until <= now:
        return 1.0
    remaining = (row.slow_start_until - now) / SLOW_START_S
    return max(SLOW_START_SHARE_MIN, 1.0 - remaining)


def count_share(row: TargetRow, slots: int, deciders: int, now: float) -> int:
    """Return this instance's even share of a target's slots, at least one."""
    return max(1, math.ceil(slots * compute_ramp(row, now) / max(1, deciders)))


def count_room(row: TargetRow, slots: int, deciders: int, now: float) -> int:
    """Return how many more online calls this instance may place at a target.

    Without a recent report of the other instances, this instance keeps to its share. With one, it
    uses the slots that they leave, but at most one share more than it had reported itself. So
    deciders that act on the same report place at most twice the slots, and a decider without
    competitors soon uses all of them.
    """
    share = count_share(row, slots, deciders, now)
    if now - row.others_at > OTHERS_FRESH_S and deciders > 1:
        return max(0, share - row.online)
    usable = math.floor(slots * compute_ramp(row, now))
    limit = (
        usable if deciders <= 1 else min(usable - row.others_online, row.reported_online + share)
    )
    return max(0, limit - row.online)


def compute_load(row: TargetRow, call: CallInfo, view: View, now: float) -> float:
    """Return the share of a target's slots in online use, as a score for the comparison.

    A remote data centre and waiting requests add to it; a cached prefix reduces it.
    """
    online = row.online + estimate_others(row, len(view.live), now)
    load = online / max(1.0, row.slots_max * compute_ramp(row, now))
    if row.data_centre != view.data_centre:
        load += REMOTE_DATA_CENTRE_SHARE
    if row.report is not None and now - row.report.reported_at <= REPORT_FRESH_S:
        load += row.report.waiting / max(1, row.slots_max)
    if call.prefix_hash and call.prefix_hash in row.cached_prefixes:
        load -= CACHED_BONUS_SHARE
    return load


def choose_target(
    call: CallInfo,
    candidates: Sequence[TargetRow],
    slots: int,
    view: View,
    now: float,
    waited_s: float,
) -> TargetRow | None:
    """Return the target for an online call, or None if no target has room.

    A call that has waited for SHARE_WAIT_S may use this instance's share even if the other
    instances seem to hold all slots, so that no instance can lock out another one.

    The two candidates of the power of two choices come from the rendezvous ranking of the prompt
    prefix, or else of the request. All instances compute the same ranking. So equal prefixes find
    a warm cache, and a request that is sent through many instances at once reaches only two
    targets.
    """
    deciders = len(view.live)
    with_room = [row for row in candidates if count_room(row, slots, deciders, now) > 0]
    if not with_room and waited_s >= SHARE_WAIT_S:
        with_room = [
            row for row in candidates if row.online < count_share(row, slots, deciders, now)
        ]
    if not with_room:
        return None
    with_room = _prefer_unloaded(call, with_room, view, now)
    key = call.prefix_hash or call.fingerprint
    ranked = sorted(with_room, key=lambda row: (score_pair(key, row.name), row.name), reverse=True)
    pair = ranked[:COMPARED_TARGETS_MAX]
    loads = [compute_load(row, call, view, now) for row in pair]
    slack = AFFINITY_SLACK_SHARE if call.prefix_hash else 0.0
    best = min(range(len(pair)), key=lambda i: (loads[i] - (slack if i == 0 else 0.0), i))
    return pair[best]


def _prefer_unloaded(
    call: CallInfo, rows: list[TargetRow], view: View, now: float
) -> list[TargetRow]:
    """Return targets below SPILL_LOAD_SHARE in the own region, else in any region, else all."""
    unloaded = [row for row in rows if compute_load(row, call, view, now) < SPILL_LOAD_SHARE]
    near = [row for row in unloaded if row.region == view.region]
    return near or unloaded or rows


def is_online(call: CallInfo) -> bool:
    """Return whether a call has online priority."""
    return call.priority == _ONLINE
