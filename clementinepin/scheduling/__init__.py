"""Scheduling of calls to targets: runs the decisions of clementinepin.systems."""

from __future__ import annotations

from clementinepin.scheduling._scheduler import create_scheduler
from clementinepin.scheduling.models import (
    CallInfo,
    CallResult,
    Placement,
    Scheduler,
    classify_refusal,
)

__all__ = [
    "CallInfo",
    "CallResult",
    "Placement",
    "Scheduler",
    "classify_refusal",
    "create_scheduler",
]
