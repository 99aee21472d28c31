"""Fleet-wide roles: configuration spread, stewards of services, leaving."""

from __future__ import annotations
