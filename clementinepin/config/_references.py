"""Checks across tables: each reference names a row that exists and fits."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from clementinepin.config.exceptions import ConfigurationIssue

Rows = Mapping[str, Mapping[str, Any]]


class _Fault(NamedTuple):
    table: str
    name: str
    key: str
    expected: str


def find_reference_issues(
    rows: Rows, origins: Mapping[tuple[str, str], str]
) -> list[ConfigurationIssue]:
    """Return an issue for each reference that fails; ``origins`` names the file of a row."""
    faults = [
        *_check_models(rows),
        *_check_adapters(rows),
        *_check_applications(rows),
        *_check_accounts(rows),
        *_check_keys(rows),
    ]
    return [
        ConfigurationIssue(
            origins[fault.table, fault.name],
            f"{fault.table}.{fault.name}",
            fault.key,
            fault.expected,
        )
        for fault in faults
    ]


def _check_models(rows: Rows) -> Iterator[_Fault]:
    for model in rows["models"].values():
        service = rows["services"].get(model.service)
        if service is None or service.kind != "engine":
            expected = f"a service of kind engine, {model.service!r} is not one"
            yield _Fault("models", model.name, "service", expected)


def _check_adapters(rows: Rows) -> Iterator[_Fault]:
    for adapter in rows["adapters"].values():
        if adapter.model not in rows["models"]:
            expected = f"a model, {adapter.model!r} is not defined"
            yield _Fault("adapters", adapter.name, "model", expected)


def _check_applications(rows: Rows) -> Iterator[_Fault]:
    for application in rows["applications"].values():
        if application.model not in rows["models"]:
            expected = f"a model, {application.model!r} is not defined"
            yield _Fault("applications", application.name, "model", expected)
        if application.adapter is None:
            continue
        adapter = rows["adapters"].get(application.adapter)
        if adapter is None or adapter.model != application.model:
            expected = f"an adapter of the model, {application.adapter!r} is not one"
            yield _Fault("applications", application.name, "adapter", expected)


def _check_accounts(rows: Rows) -> Iterator[_Fault]:
    for account in rows["accounts"].values():
        for name in account.applications:
            if name not in rows["applications"]:
                expected = f"applications, {name!r} is not defined"
                yield _Fault("accounts", account.name, "applications", expected)
        for name in account.services:
            service = rows["services"].get(name)
            if service is None or service.kind != "plain":
                expected = f"services of kind plain, {name!r} is not one"
                yield _Fault("accounts", account.name, "services", expected)


def _check_keys(rows: Rows) -> Iterator[_Fault]:
    owners: dict[str, str] = {}
    for account in rows["accounts"].values():
        for digest in account.key_digests:
            owner = owners.setdefault(digest, account.name)
            if owner != account.name:
                expected = f"a digest of its own, account {owner!r} has the same"
                yield _Fault("accounts", account.name, "key_digests", expected)
