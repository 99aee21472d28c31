"""Checks across tables: each reference must name an existing row of the right kind."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from clementinepin.config.exceptions import ConfigurationIssue

Rows = Mapping[str, Mapping[str, Any]]


class _RowIssue(NamedTuple):
    table: str
    name: str
    key: str
    expected: str


def find_reference_issues(
    rows: Rows, origins: Mapping[tuple[str, str], str]
) -> list[ConfigurationIssue]:
    """Return an issue for each invalid reference and each key digest used by two accounts.

    ``origins`` holds the file that defines a row, by table and name.
    """
    issues = [
        *_check_models(rows),
        *_check_adapters(rows),
        *_check_applications(rows),
        *_check_accounts(rows),
        *_check_keys(rows),
    ]
    return [
        ConfigurationIssue(
            origins[issue.table, issue.name],
            f"{issue.table}.{issue.name}",
            issue.key,
            issue.expected,
        )
        for issue in issues
    ]


def _check_models(rows: Rows) -> Iterator[_RowIssue]:
    for model in rows["models"].values():
        service = rows["services"].get(model.service)
        if service is None or service.kind != "engine":
            expected = f"a service of kind engine, but {model.service!r} is not one"
            yield _RowIssue("models", model.name, "service", expected)


def _check_adapters(rows: Rows) -> Iterator[_RowIssue]:
    for adapter in rows["adapters"].values():
        if adapter.model not in rows["models"]:
            expected = f"the name of a model, but {adapter.model!r} is not defined"
            yield _RowIssue("adapters", adapter.name, "model", expected)


def _check_applications(rows: Rows) -> Iterator[_RowIssue]:
    for application in rows["applications"].values():
        if application.model not in rows["models"]:
            expected = f"the name of a model, but {application.model!r} is not defined"
            yield _RowIssue("applications", application.name, "model", expected)
        if application.adapter is None:
            continue
        adapter = rows["adapters"].get(application.adapter)
        if adapter is None or adapter.model != application.model:
            expected = f"an adapter of the model, but {application.adapter!r} is not one"
            yield _RowIssue("applications", application.name, "adapter", expected)


def _check_accounts(rows: Rows) -> Iterator[_RowIssue]:
    for account in rows["accounts"].values():
        for name in account.applications:
            if name not in rows["applications"]:
                expected = f"names of applications, but {name!r} is not defined"
                yield _RowIssue("accounts", account.name, "applications", expected)
        for name in account.services:
            service = rows["services"].get(name)
            if service is None or service.kind != "plain":
                expected = f"services of kind plain, but {name!r} is not one"
                yield _RowIssue("accounts", account.name, "services", expected)


def _check_keys(rows: Rows) -> Iterator[_RowIssue]:
    owners: dict[str, str] = {}
    for account in rows["accounts"].values():
        for digest in account.key_digests:
            owner = owners.setdefault(digest, account.name)
            if owner != account.name:
                expected = f"unique digests, but account {owner!r} has the same one"
                yield _RowIssue("accounts", account.name, "key_digests", expected)
