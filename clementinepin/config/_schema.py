"""Schemas of the tables in operators' files, and functions that build rows from them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

import voluptuous as vol

from clementinepin.config import _validators as val
from clementinepin.config.models import (
    AccountSpec,
    AdapterSpec,
    ApplicationSpec,
    ModelSpec,
    PathRule,
    ServiceSpec,
)
from clementinepin.const import Priority

FILES_VERSION = 1
SERVICE_KINDS = ("engine", "plain")
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")

CONTEXT_MAX_TOKENS_DEFAULT = 8_192
WORKERS_MIN_DEFAULT = 1
SLOTS_MAX_DEFAULT = 8
PREFERENCE_DEFAULT = 0.5
FIRST_TOKEN_TARGET_S_DEFAULT = 1.8
BETWEEN_TOKENS_TARGET_S_DEFAULT = 0.066
REQUEST_TIMEOUT_S_DEFAULT = 60.0
CONCURRENCY_MAX_DEFAULT = 64
REQUESTS_PER_S_DEFAULT = 50.0
TOKENS_PER_S_DEFAULT = 20_000.0
WEIGHT_DEFAULT = 1.0

_COUNT = val.accept_integer(1, 10_000_000)
_RATE = val.accept_number(0.001, 1e9)
_SECONDS = val.accept_number(0.001, 86_400)
_NAMES = val.accept_list(val.validate_name)

_PATH_RULE = vol.Schema(
    {
        vol.Required("method"): val.accept_choice(METHODS),
        vol.Required("path"): val.validate_path,
    }
)


def _validate_path_rule(value: Any) -> PathRule:
    return PathRule(**_PATH_RULE(value))


def _optional(key: str, default: Any) -> vol.Optional:
    return vol.Optional(key, default=default)


_FIELDS: dict[str, dict[Any, Any]] = {
    "models": {
        vol.Required("service"): val.validate_name,
        vol.Required("version"): val.validate_text,
        vol.Required("weights"): val.validate_path,
        _optional("context_max_tokens", CONTEXT_MAX_TOKENS_DEFAULT): _COUNT,
        _optional("workers_min", WORKERS_MIN_DEFAULT): val.accept_integer(0, 100_000),
    },
    "adapters": {
        vol.Required("model"): val.validate_name,
        vol.Required("version"): val.validate_text,
        vol.Required("weights"): val.validate_path,
    },
    "applications": {
        vol.Required("model"): val.validate_name,
        _optional("adapter", None): vol.Any(None, val.validate_name),
        _optional("priorities", tuple(Priority)): val.accept_list(
            val.accept_choice(Priority), at_least=1
        ),
        _optional("data_centres", ()): _NAMES,
        _optional("regions", ()): _NAMES,
    },
    "services": {
        vol.Required("kind"): val.accept_choice(SERVICE_KINDS),
        _optional("slots_max", SLOTS_MAX_DEFAULT): val.accept_integer(1, 100_000),
        _optional("checks_fencing", False): val.validate_flag,
        _optional("preference", PREFERENCE_DEFAULT): val.accept_number(0, 1),
        _optional("first_token_target_s", FIRST_TOKEN_TARGET_S_DEFAULT): _SECONDS,
        _optional("between_tokens_target_s", BETWEEN_TOKENS_TARGET_S_DEFAULT): _SECONDS,
        _optional("request_timeout_s", REQUEST_TIMEOUT_S_DEFAULT): _SECONDS,
        _optional("non_idempotent", ()): val.accept_list(_validate_path_rule),
    },
    "accounts": {
        vol.Required("key_digests"): val.accept_list(val.validate_sha256, at_least=1),
        _optional("applications", ()): _NAMES,
        _optional("services", ()): _NAMES,
        _optional("concurrency_max", CONCURRENCY_MAX_DEFAULT): _COUNT,
        _optional("requests_per_s", REQUESTS_PER_S_DEFAULT): _RATE,
        _optional("tokens_per_s", TOKENS_PER_S_DEFAULT): _RATE,
        _optional("weight", WEIGHT_DEFAULT): val.accept_number(0.001, 1000),
    },
}

_ROW_TYPES: dict[str, Any] = {
    "models": ModelSpec,
    "adapters": AdapterSpec,
    "applications": ApplicationSpec,
    "services": ServiceSpec,
    "accounts": AccountSpec,
}

TABLES = tuple(_FIELDS)


class TableSchema(NamedTuple):
    """Validation of one kind of table, its known keys and the defaults of optional keys."""

    validate: vol.Schema
    keys: tuple[str, ...]
    defaults: dict[str, Any]


def _create_schema(fields: dict[Any, Any]) -> TableSchema:
    keys = tuple(str(marker) for marker in fields)
    defaults = {
        str(marker): marker.default()
        for marker in fields
        if isinstance(marker, vol.Optional) and callable(marker.default)
    }
    return TableSchema(vol.Schema(fields), keys, defaults)


SCHEMAS = {table: _create_schema(fields) for table, fields in _FIELDS.items()}


def build_row(table: str, name: str, values: Mapping[str, Any]) -> Any:
    """Return a row from validated values; unknown keys are dropped, absent ones get defaults.

    Rows of stored parts are built here too, so that an older release can read parts to which a
    newer release added keys.
    """
    schema = SCHEMAS[table]
    fields = dict(schema.defaults)
    fields.update((key, _freeze(values[key])) for key in schema.keys if key in values)
    if table == "services":
        fields["non_idempotent"] = tuple(_build_rule(rule) for rule in fields["non_idempotent"])
    return _ROW_TYPES[table](name=name, **fields)


def _build_rule(rule: Any) -> PathRule:
    if isinstance(rule, Mapping):
        return PathRule(rule["method"], rule["path"])
    return PathRule(*rule)


def _freeze(value: Any) -> Any:
    return tuple(value) if isinstance(value, list) else value
