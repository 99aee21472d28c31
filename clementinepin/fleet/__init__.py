"""Fleet-wide roles: configuration spread, stewards of services, leaving."""

from __future__ import annotations

from clementinepin.fleet._fleet import create_fleet
from clementinepin.fleet.exceptions import (
    ConfigurationConflictError,
    ConfigurationUnavailableError,
    ConfigurationUnknownError,
)
from clementinepin.fleet.models import ApplyResult, EntryAdvice, Fleet

__all__ = [
    "ApplyResult",
    "ConfigurationConflictError",
    "ConfigurationUnavailableError",
    "ConfigurationUnknownError",
    "EntryAdvice",
    "Fleet",
    "create_fleet",
]
