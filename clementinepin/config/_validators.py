"""Validators shared by the schemas.

A validator returns the accepted value or raises vol.Invalid, whose message says what it expects.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable, Iterable
from typing import Any

import voluptuous as vol

from clementinepin.config.exceptions import ConfigurationIssue

Validator = Callable[[Any], Any]

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_PORT_MAX = 65_535


def _invalid(expected: str) -> vol.Invalid:
    return vol.Invalid(expected)


def validate_name(value: Any) -> str:
    """Return a name that is safe in stored keys, HTTP headers and metric names."""
    if isinstance(value, str) and _NAME_PATTERN.fullmatch(value):
        return value
    raise _invalid("a name of 1 to 63 letters, digits, '.', '_' or '-'")


def validate_text(value: Any) -> str:
    """Return a non-empty string."""
    if isinstance(value, str) and value:
        return value
    raise _invalid("a non-empty string")


def validate_flag(value: Any) -> bool:
    """Return a boolean."""
    if isinstance(value, bool):
        return value
    raise _invalid("true or false")


def validate_sha256(value: Any) -> str:
    """Return a SHA-256 digest in lower-case hexadecimal."""
    if isinstance(value, str) and _DIGEST_PATTERN.fullmatch(value):
        return value
    raise _invalid("a SHA-256 digest of 64 lower-case hexadecimal digits")


def validate_ip(value: Any) -> str:
    """Return an IP address in its canonical form."""
    try:
        return str(ipaddress.ip_address(validate_text(value)))
    except ValueError as err:
        raise _invalid("an IP address") from err


def validate_path(value: Any) -> str:
    """Return an absolute URL path."""
    if isinstance(value, str) and value.startswith("/"):
        return value
    raise _invalid("a path that starts with '/'")


def validate_host_port(value: Any) -> str:
    """Return an address ``IP:PORT``; an IPv6 address is written in brackets."""
    text = validate_text(value)
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError as err:
        raise _invalid("an address IP:PORT") from err
    if not port.isdecimal() or not 0 < int(port) <= _PORT_MAX:
        raise _invalid("an address IP:PORT")
    return text


def accept_integer(low: int, high: int) -> Validator:
    """Return a validator of integers from ``low`` to ``high``, both included."""

    def validate(value: Any) -> int:
        if isinstance(value, int) and not isinstance(value, bool) and low <= value <= high:
            return value
        raise _invalid(f"an integer from {low} to {high}")

    return validate


def accept_number(low: float, high: float) -> Validator:
    """Return a validator of finite numbers from ``low`` to ``high``, both included."""

    def validate(value: Any) -> float:
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if is_number and low <= value <= high:
            return float(value)
        raise _invalid(f"a number from {low:g} to {high:g}")

    return validate


def accept_choice(choices: Iterable[str]) -> Validator:
    """Return a validator of strings that are one of ``choices``."""
    allowed = tuple(choices)

    def validate(value: Any) -> str:
        if isinstance(value, str) and value in allowed:
            return value
        raise _invalid("one of " + ", ".join(allowed))

    return validate


def accept_list(item: Validator, *, at_least: int = 0) -> Validator:
    """Return a validator of lists without duplicates that gives a tuple.

    ``item`` validates each value; ``at_least`` is the minimum length.
    """

    def validate(value: Any) -> tuple[Any, ...]:
        if not isinstance(value, (list, tuple)) or len(value) < at_least:
            raise _invalid(f"a list of at least {at_least} values" if at_least else "a list")
        items = tuple(_validate_item(item, index, entry) for index, entry in enumerate(value))
        if len(set(items)) != len(items):
            raise _invalid("a list without duplicates")
        return items

    return validate


def _validate_item(item: Validator, index: int, value: Any) -> Any:
    try:
        return item(value)
    except vol.MultipleInvalid as err:
        raise _invalid(f"at index {index}: {err.errors[0].error_message}") from err
    except vol.Invalid as err:
        raise _invalid(f"at index {index}: {err.error_message}") from err


def list_issues(
    error: vol.MultipleInvalid, file: str, table: str, allowed_keys: Iterable[str]
) -> list[ConfigurationIssue]:
    """Return the errors of the validation library as issues of one table.

    ``allowed_keys`` are the keys that the table may have.
    """
    return [_describe_error(err, file, table, allowed_keys) for err in error.errors]


def _describe_error(
    err: vol.Invalid, file: str, table: str, allowed_keys: Iterable[str]
) -> ConfigurationIssue:
    key = ".".join(str(step) for step in err.path)
    if isinstance(err, vol.RequiredFieldInvalid):
        return ConfigurationIssue(file, table, key, "a value, because the key is required")
    if err.error_message == "extra keys not allowed":
        return ConfigurationIssue(
            file, table, key, "one of the keys " + ", ".join(sorted(allowed_keys))
        )
    expected = err.error_message.removeprefix("expected ")
    return ConfigurationIssue(file, table, key, expected)
