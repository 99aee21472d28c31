"""Operators' file sets and the daemon's settings."""

from __future__ import annotations

from clementinepin.config.models import (
    AccountSpec,
    AdapterSpec,
    ApplicationSpec,
    Configuration,
    InstanceSettings,
    LimitSettings,
    LogSettings,
    MetricsSettings,
    ModelSpec,
    PathRule,
    PlatformSettings,
    SecuritySettings,
    ServiceSpec,
    Settings,
    StorageSettings,
)

__all__ = [
    "AccountSpec",
    "AdapterSpec",
    "ApplicationSpec",
    "Configuration",
    "InstanceSettings",
    "LimitSettings",
    "LogSettings",
    "MetricsSettings",
    "ModelSpec",
    "PathRule",
    "PlatformSettings",
    "SecuritySettings",
    "ServiceSpec",
    "Settings",
    "StorageSettings",
]
