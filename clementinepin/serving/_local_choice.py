"""The choice of a target by an instance that decides without a dispatcher."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import Final

from clementinepin.helpers.rendezvous import choose_owner
from clementinepin.serving.exceptions import OverloadedError
from clementinepin.serving.models import Placement
from clementinepin.systems import crash_causes, dispatching, stream_versions, waiting
from clementinepin.tables.dispatch import DispatchTable, PendingRequest, TargetLoad

LOCAL_RETRY_S: Final = 0.3  # Retry-After of local decisions, such as when the share is used up


def choose_alone(
    table: DispatchTable,
    request: PendingRequest,
    entries: Sequence[str],
    now: float,
    placement: Placement,
    rng: random.Random,
) -> TargetLoad:
    """Return the target for a request, by the instance's own counts.

    Online requests use at most twice an equal share of a target's slots, of the instances
    ``entries`` and at least two, batch items one slot. A caller's request that is known to crash
    targets gets none; it is a trial at one of these instances alone, as each would make its own.
    Raises OverloadedError if no target qualifies.
    """
    if not request.is_batch and _is_held_back(table, request, entries, now):
        retry_after_s = waiting.get_longest_retry_wait(request, now)
        raise OverloadedError(dispatching.CRASHED_TARGETS, retry_after_s)
    version, source = stream_versions.find_required_version(table, request, now)
    if version is None:
        raise OverloadedError(stream_versions.REJECTIONS[source], LOCAL_RETRY_S)
    request = request._replace(software_version=version)
    targets = list(table.targets.values())
    if placement is Placement.RANDOM:
        rng.shuffle(targets)
        targets = [t for t in targets if dispatching.choose_target(table, [t], request, now)][:1]
    target = dispatching.choose_target(table, targets, request, now)
    if target is None:
        raise OverloadedError("no target with a free slot is known", LOCAL_RETRY_S)
    share = math.ceil(2 * target.slots / max(1, len(entries)))
    if target.taken >= (1 if request.is_batch else max(2, share)):
        raise OverloadedError(
            "this instance's share of slots on the target is used up", LOCAL_RETRY_S
        )
    return target


def _is_held_back(
    table: DispatchTable, request: PendingRequest, entries: Sequence[str], now: float
) -> bool:
    crashes, service, traits = table.crashes, request.service, request.traits
    cause = crash_causes.find_cause(crashes, service, traits, now)
    if cause is None:
        return False
    instance, _ = request.key
    if choose_owner("/".join(sorted(cause.traits)), entries) != instance:
        return True
    return not crash_causes.may_run(crashes, service, traits, now)
