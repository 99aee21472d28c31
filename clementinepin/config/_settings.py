"""Load the settings of one daemon from a TOML file."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import voluptuous as vol

from clementinepin.config import _validators as val
from clementinepin.config._migrations import SETTINGS_VERSION, migrate_settings
from clementinepin.config._toml import parse_toml
from clementinepin.config.exceptions import ConfigurationIssue, SettingsInvalidError
from clementinepin.config.models import (
    InstanceSettings,
    LimitSettings,
    LogSettings,
    MetricsSettings,
    PlatformSettings,
    SecuritySettings,
    Settings,
    StorageSettings,
)
from clementinepin.const import BODY_MAX_BYTES

KEY_VALUE_CALLS_PER_S_DEFAULT = 50.0
STORAGE_BUDGET_BYTES_DEFAULT = 10_000_000_000
CONNECTIONS_MAX_DEFAULT = 2_000
QUEUE_MAX_DEFAULT = 1_000
HEADER_TIMEOUT_S_DEFAULT = 10.0
ADVICE_S_DEFAULT = 10.0
DRAIN_S_DEFAULT = 60.0
STATSD_PORT_DEFAULT = 8125
PEER_SECRET_MIN_CHARS = 16
ALLOWANCE_POLICIES = ("adaptive", "blind", "fixed", "none")

_PORT = val.accept_integer(1, 65_535)
_SECONDS = val.accept_number(0.01, 86_400)
_OPTIONAL_TEXT = vol.Any(None, val.validate_text)


def _validate_secret(value: Any) -> str:
    text = val.validate_text(value)
    if len(text) < PEER_SECRET_MIN_CHARS:
        raise vol.Invalid(f"a secret of at least {PEER_SECRET_MIN_CHARS} characters")
    return text


def _optional(key: str, default: Any) -> vol.Optional:
    return vol.Optional(key, default=default)


_FIELDS: dict[str, dict[Any, Any]] = {
    "instance": {
        vol.Required("name"): val.validate_name,
        vol.Required("address"): val.validate_ip,
        vol.Required("port"): _PORT,
        vol.Required("peer_port"): _PORT,
        vol.Required("data_centre"): val.validate_name,
        vol.Required("region"): val.validate_name,
    },
    "platform": {
        vol.Required("key_value"): val.accept_list(val.validate_host_port, at_least=1),
        vol.Required("instance_list"): val.validate_host_port,
        vol.Required("weight_store"): val.validate_host_port,
        _optional("key_value_calls_per_s", KEY_VALUE_CALLS_PER_S_DEFAULT): val.accept_number(
            0.1, 10_000
        ),
    },
    "storage": {
        _optional("folder", None): _OPTIONAL_TEXT,
        _optional("budget_bytes", STORAGE_BUDGET_BYTES_DEFAULT): val.accept_integer(0, 1 << 50),
    },
    "limits": {
        _optional("body_max_bytes", BODY_MAX_BYTES): val.accept_integer(1_000, 1 << 40),
        _optional("connections_max", CONNECTIONS_MAX_DEFAULT): val.accept_integer(1, 1_000_000),
        _optional("queue_max", QUEUE_MAX_DEFAULT): val.accept_integer(1, 1_000_000),
        _optional("header_timeout_s", HEADER_TIMEOUT_S_DEFAULT): _SECONDS,
        _optional("advice_s", ADVICE_S_DEFAULT): _SECONDS,
        _optional("drain_s", DRAIN_S_DEFAULT): _SECONDS,
    },
    "security": {
        vol.Required("peer_secret"): _validate_secret,
        vol.Required("operator_key_digest"): val.validate_sha256,
        _optional("tls_certificate", None): _OPTIONAL_TEXT,
        _optional("tls_key", None): _OPTIONAL_TEXT,
        _optional("peer_tls_ca", None): _OPTIONAL_TEXT,
    },
    "logs": {
        _optional("format", "text"): val.accept_choice(("text", "json")),
        _optional("level", "INFO"): val.accept_choice(("DEBUG", "INFO", "WARNING", "ERROR")),
    },
    "metrics": {
        _optional("host", None): vol.Any(None, val.validate_ip),
        _optional("port", STATSD_PORT_DEFAULT): _PORT,
        _optional("prefix", "clementinepin"): val.validate_name,
    },
}

_ROW_TYPES: dict[str, Any] = {
    "instance": InstanceSettings,
    "platform": PlatformSettings,
    "storage": StorageSettings,
    "limits": LimitSettings,
    "security": SecuritySettings,
    "logs": LogSettings,
    "metrics": MetricsSettings,
}
_TOP_LEVEL_KEYS = ("version", "allowance_policy", *_FIELDS)


def load_settings(path: str | Path) -> Settings:
    """Return the validated settings; raise SettingsInvalidError with all issues found."""
    file = str(path)
    document = migrate_settings(_read_document(Path(path)))
    issues = _check_top_level(file, document)
    rows: dict[str, Any] = {}
    for table, fields in _FIELDS.items():
        try:
            rows[table] = _ROW_TYPES[table](**vol.Schema(fields)(document.get(table, {})))
        except vol.MultipleInvalid as err:
            issues.extend(val.list_issues(err, file, table, [str(key) for key in fields]))
    if not issues:
        issues.extend(_check_tls(file, rows["security"]))
    if issues:
        raise SettingsInvalidError(issues)
    policy = document.get("allowance_policy", ALLOWANCE_POLICIES[0])
    return Settings(version=SETTINGS_VERSION, allowance_policy=policy, **rows)


def _read_document(path: Path) -> dict[str, Any]:
    try:
        return parse_toml(path.read_bytes())
    except OSError as err:
        expected = f"a readable file: {err.strerror}"
    except msgspec.DecodeError as err:
        expected = str(err)
    raise SettingsInvalidError([ConfigurationIssue(str(path), "", "", expected)])


def _check_top_level(file: str, document: dict[str, Any]) -> list[ConfigurationIssue]:
    issues = [
        ConfigurationIssue(file, "", key, "one of " + ", ".join(_TOP_LEVEL_KEYS))
        for key in document
        if key not in _TOP_LEVEL_KEYS
    ]
    version = document.get("version")
    if version != SETTINGS_VERSION or isinstance(version, bool):
        expected = f"version = {SETTINGS_VERSION} or older"
        issues.append(ConfigurationIssue(file, "", "version", expected))
    policy = document.get("allowance_policy", ALLOWANCE_POLICIES[0])
    if policy not in ALLOWANCE_POLICIES:
        expected = "one of " + ", ".join(ALLOWANCE_POLICIES)
        issues.append(ConfigurationIssue(file, "", "allowance_policy", expected))
    return issues


def _check_tls(file: str, security: SecuritySettings) -> list[ConfigurationIssue]:
    has_certificate = security.tls_certificate is not None
    if has_certificate != (security.tls_key is not None):
        expected = "tls_certificate and tls_key to be set together"
        return [ConfigurationIssue(file, "security", "tls_key", expected)]
    if security.peer_tls_ca is not None and not has_certificate:
        expected = "tls_certificate and tls_key to be set as well"
        return [ConfigurationIssue(file, "security", "peer_tls_ca", expected)]
    return []
