"""Fleet-wide roles: configuration, the instance list, stewards of services and draining.

The steward of a service is the instance that holds the service's lease and sends orders to its
engines.
"""

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
