"""The operators' configuration, read from file sets, and the daemon's settings."""

from __future__ import annotations

from clementinepin.config._codec import (
    Part,
    check_part,
    decode_part,
    digest_bytes,
    digest_parts,
    encode_parts,
    merge_parts,
)
from clementinepin.config._files import load_files
from clementinepin.config._redaction import dump_redacted
from clementinepin.config._settings import load_settings
from clementinepin.config.exceptions import (
    ConfigurationInvalidError,
    ConfigurationIssue,
    ConfigurationPartError,
    SettingsInvalidError,
    format_issue,
)
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
    "ConfigurationInvalidError",
    "ConfigurationIssue",
    "ConfigurationPartError",
    "InstanceSettings",
    "LimitSettings",
    "LogSettings",
    "MetricsSettings",
    "ModelSpec",
    "Part",
    "PathRule",
    "PlatformSettings",
    "SecuritySettings",
    "ServiceSpec",
    "Settings",
    "SettingsInvalidError",
    "StorageSettings",
    "check_part",
    "decode_part",
    "digest_bytes",
    "digest_parts",
    "dump_redacted",
    "encode_parts",
    "format_issue",
    "load_files",
    "load_settings",
    "merge_parts",
]
