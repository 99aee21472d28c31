"""Crashes of targets, and what the requests under which they happened have in common."""

from __future__ import annotations

from collections import OrderedDict, defaultdict, deque
from enum import StrEnum
from typing import Final, NamedTuple

RunKey = tuple[str, int]  # the instance that sent the request, and its number for the slot
CHANGES_MAX: Final = 1_024  # between two calls of those who pass them on


class BrokenRun(NamedTuple):
    """A run that its target broke off, after ``events`` events."""

    key: RunKey
    target_id: str
    service: str
    traits: frozenset[str]
    events: int


class Crash:
    """One crash of a target, with the traits of each run that it ended. Times are monotonic.

    A trait is something that requests may share: a part of their prompts or the digest by which a
    request is known when it is sent again. ``is_foreign`` says that another instance let a run of
    it start, so that it may have been a trial that is not known here. ``silent`` has the runs that
    had brought no or few events, ``writing`` the others. Traits of requests that succeed later are
    removed.
    """

    __slots__ = ("at", "is_foreign", "is_settled", "silent", "target_id", "writing")

    def __init__(self, target_id: str, at: float) -> None:
        self.target_id = target_id
        self.at = at
        self.silent: list[frozenset[str]] = []
        self.writing: list[frozenset[str]] = []
        self.is_settled = False
        self.is_foreign = False

    def list_suspects(self) -> list[frozenset[str]]:
        """Return the runs that may have caused the crash.

        One that was being written when its target crashed is none beside one that had only begun.
        """
        return self.silent or self.writing

    def get_candidates(self) -> frozenset[str]:
        """Return the traits that may have caused the crash."""
        return frozenset().union(*self.list_suspects())

    def clear(self, traits: frozenset[str]) -> None:
        """Remove traits that can't have caused the crash."""
        self.silent = [run - traits for run in self.silent]
        self.writing = [run - traits for run in self.writing]


class TrialOutcome(StrEnum):
    """What the end of a run tells of a cause that it tried."""

    CRASHED = "crashed"
    NOT_REACHED = "not_reached"
    UNDECIDED = "undecided"


class CrashCause:
    """Traits that crash targets when one request has all of them. Times are monotonic seconds.

    A single request tries again from ``trial_at``; ``trial_key`` is the one that does so.
    ``failed_trials`` counts the trials that crashed targets. ``was_sound`` says that all traits had
    succeeded shortly before they were blamed. ``awaited_since`` is when a request
    that could have tried was held back for another suspected trait, None if there was none.
    ``last_met_at`` is when a request that has the traits came last.
    """

    __slots__ = (
        "awaited_since",
        "failed_trials",
        "last_met_at",
        "traits",
        "trial_at",
        "trial_key",
        "was_sound",
    )

    def __init__(
        self,
        traits: frozenset[str],
        failed_trials: int,
        trial_at: float,
        now: float,
        *,
        was_sound: bool = False,
    ) -> None:
        self.traits = traits
        self.failed_trials = failed_trials
        self.trial_at = trial_at
        self.trial_key: RunKey | None = None
        self.awaited_since: float | None = None
        self.last_met_at = now
        self.was_sound = was_sound


class CauseChange(NamedTuple):
    """A cause that was found here, or tried in vain, or that is no longer believed here."""

    service: str
    traits: frozenset[str]
    is_known: bool
    failed_trials: int = 0
    was_sound: bool = False


class TrialEnd(NamedTuple):
    """The end of a trial that did not succeed."""

    service: str
    traits: frozenset[str]
    key: RunKey
    outcome: TrialOutcome


class ServiceCrashes:
    """The last crashes of one service's targets, oldest first, and their causes by traits.

    ``reported`` has when the last runs ended that were reported as broken off. ``suspected`` has
    the traits of all runs that crashes ended, without those cleared since. ``sound`` has when
    requests with a trait succeeded last, the oldest first.
    """

    def __init__(self) -> None:
        self.reported: OrderedDict[RunKey, float] = OrderedDict()
        self.crashes: list[Crash] = []
        self.suspected: frozenset[str] = frozenset()
        self.sound: OrderedDict[str, float] = OrderedDict()
        self.causes: dict[frozenset[str], CrashCause] = {}


class CrashTable:
    """Crashes by service; ``changes`` has the changes of causes that were not yet passed on.

    ``trial_ends`` has the ends of trials that were not yet logged.
    """

    def __init__(self) -> None:
        self.services: defaultdict[str, ServiceCrashes] = defaultdict(ServiceCrashes)
        self.changes: deque[CauseChange] = deque(maxlen=CHANGES_MAX)
        self.trial_ends: deque[TrialEnd] = deque(maxlen=CHANGES_MAX)
