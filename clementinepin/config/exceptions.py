"""Failures of settings and operators' file sets."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from clementinepin.exceptions import InvalidInputError


class ConfigurationIssue(NamedTuple):
    """One fault: where it stands and what was expected there."""

    file: str
    table: str
    key: str
    expected: str


class _IssuesError(InvalidInputError):
    """Collects all faults of one input."""

    def __init__(self, issues: Iterable[ConfigurationIssue]) -> None:
        self.issues = tuple(sorted(set(issues)))
        super().__init__("; ".join(format_issue(issue) for issue in self.issues))


class SettingsInvalidError(_IssuesError):
    """The daemon's settings are malformed."""

    code = "settings_invalid"


class ConfigurationInvalidError(_IssuesError):
    """A file set is malformed or refers to what it does not define; nothing was applied."""

    code = "configuration_invalid"


class ConfigurationPartError(InvalidInputError):
    """A stored part does not match its digest or can't be decoded."""

    code = "configuration_part_invalid"


def format_issue(issue: ConfigurationIssue) -> str:
    """Return a fault as one line of text."""
    place = f"{issue.file}: [{issue.table}]" if issue.table else f"{issue.file}:"
    key = f" {issue.key}:" if issue.key else ""
    return f"{place}{key} expected {issue.expected}"
