"""Errors of the daemon's settings and the operators' file sets."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from clementinepin.exceptions import InvalidInputError


class ConfigurationIssue(NamedTuple):
    """One issue of an input: where it is and what was expected there."""

    file: str
    table: str
    key: str
    expected: str


class _IssuesError(InvalidInputError):
    """Holds all issues of one input, sorted and without duplicates."""

    def __init__(self, issues: Iterable[ConfigurationIssue]) -> None:
        self.issues = tuple(sorted(set(issues)))
        super().__init__("; ".join(format_issue(issue) for issue in self.issues))


class SettingsInvalidError(_IssuesError):
    """The daemon's settings are invalid."""

    code = "settings_invalid"


class ConfigurationInvalidError(_IssuesError):
    """A file set is invalid or refers to a row that it does not define; nothing was applied."""

    code = "configuration_invalid"


class ConfigurationPartError(InvalidInputError):
    """A stored part does not match its digest or cannot be decoded."""

    code = "configuration_part_invalid"


def format_issue(issue: ConfigurationIssue) -> str:
    """Return an issue as one line of text."""
    location = f"{issue.file}: [{issue.table}]" if issue.table else f"{issue.file}:"
    key = f" {issue.key}:" if issue.key else ""
    return f"{location}{key} expected {issue.expected}"
