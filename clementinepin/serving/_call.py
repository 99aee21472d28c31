"""State of one caller's request while it is forwarded to targets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import xxhash

from clementinepin.serving._http import CallerRequest
from clementinepin.serving.models import RequestFacts, Route
from clementinepin.systems import estimates
from clementinepin.tables.streams import RunEnd
from clementinepin.targets import Abort

# Of callers' patience: a sound target may fall silent for a second or so and go on. Time is left
# for another target's first event before callers abandon a stream.
RESUME_STALL_SHARE: Final = 0.7


class Call:
    """One request that is being forwarded. Times are monotonic seconds.

    ``sends`` counts the targets that were sent bytes of it, ``unreached`` those that were not
    reached. ``maybe_run`` is set once a target may have run it. ``can_resend`` is cleared once a
    part of a response was sent that no other target can continue. ``gone`` says that the caller
    closed its connection. ``returned`` marks a caller that was rejected before. ``has_succeeded``
    is set with ``is_complete`` if the response has a success status. ``framing`` says what marks
    the end of the newest response's body, empty if there was no response. ``ends`` has the
    runs that ended behind the last event without proof. ``target_version`` is the
    software version of the newest target, ``software_version`` the one whose events were passed on
    and ``service`` the service of the newest attempt.
    ``spared`` are targets that are excluded only while others can be asked.
    ``resumed_at_event_id`` is the last event before the newest run. ``relay`` is the instance
    through which the newest response came, empty for the own link. ``link_lost`` says that the
    newest run was lost on the way to its target.
    """

    def __init__(
        self, request: CallerRequest, facts: RequestFacts, route: Route, started_at: float
    ) -> None:
        self.request = request
        self.facts = facts
        self.route = route
        self.started_at = started_at
        time_left_s = route.timeout_s if facts.time_left_s is None else facts.time_left_s
        self.deadline = started_at + min(time_left_s, route.timeout_s)
        self.returned = estimates.is_return(time_left_s, route.timeout_s)
        self.abort = Abort()
        self.cancel_wait: Callable[[], None] = lambda: None
        self.gone = False
        self.sends = 0
        self.unreached = 0
        self.maybe_run = False
        self.can_resend = True
        self.excluded: set[str] = set()
        self.spared: set[str] = set()
        self.response_started = False
        self.last_event_id = facts.last_event_id
        self.resumed_at_event_id = facts.last_event_id
        self.target_id = ""
        self.target_version = ""
        self.software_version = ""
        self.service = ""
        self.waited_s = 0.0
        self.target_load: tuple[int, int, int] | None = None
        self.first_byte_at = started_at
        self.framing = ""
        self.relay = ""
        self.link_lost = False
        self.ends: list[RunEnd] = []
        self.is_complete = False
        self.has_succeeded = False

    def may_resend(self, now: float) -> bool:
        """Return whether the request may be sent again after a target may have run it."""
        return (
            self.can_resend
            and self.route.is_repeatable
            and (self.last_event_id > 0 or not self.response_started)
            and self.sends < self.route.attempts_max
            and now < self.deadline
        )

    @property
    def awaits_end(self) -> bool:
        """Return whether another run is to show that no event follows the last one."""
        return bool(self.ends)

    @property
    def run_events(self) -> int:
        """Return how many events the newest run has brought."""
        return self.last_event_id - self.resumed_at_event_id

    def get_read_deadline(self, now: float) -> float:
        """Return the time, in monotonic seconds, until which a target may send nothing.

        It may be earlier than the request's deadline if another target could resume the stream.
        """
        if not (self.route.resumable and self.sends < self.route.attempts_max):
            return self.deadline
        patience_s = estimates.estimate_patience(self.route.objective_s, self.route.gap_objective_s)
        return min(self.deadline, now + patience_s * RESUME_STALL_SHARE)

    def spare_target(self) -> None:
        """Exclude the newest target as long as others can be asked."""
        if self.target_id not in self.excluded:
            self.excluded.add(self.target_id)
            self.spared.add(self.target_id)

    def stop_sparing(self) -> bool:
        """Allow the spared targets again; return whether there was any."""
        self.excluded -= self.spared
        had_spared, self.spared = bool(self.spared), set()
        return had_spared

    def renew_abort(self) -> None:
        """Prepare the next attempt, which an abort of the last one must not end."""
        if not self.gone:
            self.abort.unbind()
            self.abort = Abort()

    def record_caller_gone(self) -> None:
        """Record that the caller is gone, and end the wait for a slot or a target."""
        self.gone = True
        self.abort.trigger()
        self.cancel_wait()


def make_fingerprint(request: CallerRequest) -> str:
    """Return a digest of path and body, equal when a request is sent again under another id."""
    digest = xxhash.xxh3_64_hexdigest(request.body)
    return f"{xxhash.xxh3_64_hexdigest(request.path.encode())}{digest}"
