"""The mechanisms of dispatching that can be switched off, to measure what each is worth."""

from __future__ import annotations

from enum import StrEnum

from clementinepin.exceptions import InvalidInputError


class Mechanism(StrEnum):
    """One mechanism. All are in use unless an experiment names them as disabled."""

    EARLY_REJECTION = "early-rejection"
    RECHECK = "recheck"
    BOOKED_RETURNS = "booked-returns"
    SPARE_BOOKING = "spare-booking"
    PRESSURE = "pressure"
    PREEMPTION = "preemption"
    PREEMPTION_DELAY = "preemption-delay"
    FIRM_ITEMS = "firm-items"
    OVERDUE_LAST = "overdue-last"
    DATA_CENTRE_AFFINITY = "data-centre-affinity"
    CONNECTION_AFFINITY = "connection-affinity"
    PREFIX_AFFINITY = "prefix-affinity"
    FAILURE_AVOIDANCE = "failure-avoidance"
    SILENCE_AVOIDANCE = "silence-avoidance"
    FULL_AVOIDANCE = "full-avoidance"
    UNTRACKED_LOAD = "untracked-load"
    RUN_REST = "run-rest"
    PACE = "pace"
    DISPATCHER_SUSPICION = "dispatcher-suspicion"
    CHECKPOINTS = "checkpoints"
    HEDGING = "hedging"


def parse_mechanisms(text: str) -> frozenset[Mechanism]:
    """Return the mechanisms of a comma-separated list; raise InvalidInputError for other names."""
    names = [name for name in text.split(",") if name]
    unknown = sorted(set(names) - {str(mechanism) for mechanism in Mechanism})
    if unknown:
        raise InvalidInputError(f"mechanisms {unknown!r} do not exist in {sorted(Mechanism)!r}")
    return frozenset(Mechanism(name) for name in names)
