"""Fleet-wide roles: configuration spread, stewards of services, leaving."""

from __future__ import annotations

from clementinepin.fleet.models import ApplyResult, EntryAdvice, Fleet

__all__ = ["ApplyResult", "EntryAdvice", "Fleet"]
