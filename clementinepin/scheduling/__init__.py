"""Scheduling: adapters that carry out the systems' decisions."""

from __future__ import annotations

from clementinepin.scheduling.models import CallInfo, CallResult, Placement, Scheduler

__all__ = ["CallInfo", "CallResult", "Placement", "Scheduler"]
