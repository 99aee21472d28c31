"""Software versions of the streams that callers may resume, and of each service's targets."""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from typing import NamedTuple


class BegunStream(NamedTuple):
    """A stream that a target was granted to; ``expires_at`` is in monotonic seconds.

    ``told`` is the first dispatcher that an instance has told of it, empty if there is none.
    ``service`` is empty in what an older build tells.
    """

    software_version: str
    expires_at: float
    told: str = ""
    service: str = ""


class RunEnd(NamedTuple):
    """A run that only its connection ended, and whether it brought the last event before that."""

    target_id: str
    brought_events: bool


class StreamTable:
    """What is known about streams and software versions.

    ``begun`` has the streams by the id of the request that began them, oldest grant first.
    ``present`` has the versions of a service's registered targets. ``gone_at`` has when the last
    target of a version went (monotonic seconds), by service and version. All versions that were
    registered before ``confirmed_at`` are known, and no other one was there since
    ``complete_since`` (both in monotonic seconds).
    """

    def __init__(self) -> None:
        self.begun: OrderedDict[str, BegunStream] = OrderedDict()
        self.present: dict[str, set[str]] = {}
        self.confirmed_at = float("inf")
        self.complete_since = float("-inf")
        self.gone_at: defaultdict[str, dict[str, float]] = defaultdict(dict)
