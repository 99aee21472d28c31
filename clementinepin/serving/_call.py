"""State of one caller's request on its way to targets."""

from __future__ import annotations

from collections.abc import Callable

import xxhash

from clementinepin.serving._http import CallerRequest
from clementinepin.serving.models import RequestFacts, Route
from clementinepin.systems import estimates
from clementinepin.targets import Abort


class Call:
    """One request on its way. ``sends`` counts targets that were sent bytes of it."""

    def __init__(
        self, request: CallerRequest, facts: RequestFacts, route: Route, started_at: float
    ) -> None:
        self.request = request
        self.facts = facts
        self.route = route
        self.started_at = started_at
        left_s = route.timeout_s if facts.time_left_s is None else facts.time_left_s
        self.deadline = started_at + min(left_s, route.timeout_s)
        self.returned = estimates.is_return(left_s, route.timeout_s)
        self.abort = Abort()
        self.cancel_wait: Callable[[], None] = lambda: None
        self.gone = False
        self.sends = 0
        self.unreached = 0
        self.maybe_run = False
        self.can_resend = True
        self.excluded: set[str] = set()
        self.answer_started = False
        self.last_event_id = facts.last_event_id
        self.target_id = ""
        self.waited_s = 0.0
        self.target_load: tuple[int, int, int] | None = None
        self.first_byte_at = started_at
        self.is_complete = False

    def leave(self) -> None:
        """The caller is gone: end whatever the request is waiting for."""
        self.gone = True
        self.abort.trigger()
        self.cancel_wait()


def make_fingerprint(request: CallerRequest) -> str:
    """Return what is equal for a request that comes again under another id."""
    digest = xxhash.xxh3_64_hexdigest(request.body)
    return f"{xxhash.xxh3_64_hexdigest(request.path.encode())}{digest}"
