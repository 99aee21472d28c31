"""The choice of a target by an instance that decides without a dispatcher."""

from __future__ import annotations

import math
import random
from typing import Final

from clementinepin.serving.exceptions import OverloadedError
from clementinepin.serving.models import Placement
from clementinepin.systems import crash_causes, dispatching, stream_versions, waiting
from clementinepin.tables.dispatch import DispatchTable, PendingRequest, TargetLoad

LOCAL_RETRY_S: Final = 0.3  # Retry-After of local decisions, such as when the share is used up


def choose_alone(
    table: DispatchTable,
    request: PendingRequest,
    entries: int,
    now: float,
    placement: Placement,
    rng: random.Random,
) -> TargetLoad:
    """Return the target for a request, by the instance's own counts.

    Online requests use at most twice an equal share of a target's slots, of ``entries`` instances
    and at least two, batch items one slot. A request that is known to crash targets gets none, not
    even as a trial: each instance would make its own. Raises OverloadedError if no target
    qualifies.
    """
    if crash_causes.find_cause(table.crashes, request.service, request.traits, now) is not None:
        retry_after_s = waiting.get_longest_retry_wait(request, now)
        raise OverloadedError(dispatching.CRASHED_TARGETS, retry_after_s)
    version, _ = stream_versions.find_required_version(table, request, now)
    if version is None:
        raise OverloadedError("unknown software version", LOCAL_RETRY_S)
    request = request._replace(software_version=version)
    targets = list(table.targets.values())
    if placement is Placement.RANDOM:
        rng.shuffle(targets)
        targets = [t for t in targets if dispatching.choose_target(table, [t], request, now)][:1]
    target = dispatching.choose_target(table, targets, request, now)
    if target is None:
        raise OverloadedError("no target with a free slot is known", LOCAL_RETRY_S)
    share = math.ceil(2 * target.slots / max(1, entries))
    if target.taken >= (1 if request.is_batch else max(2, share)):
        raise OverloadedError(
            "this instance's share of slots on the target is used up", LOCAL_RETRY_S
        )
    return target
