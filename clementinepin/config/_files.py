"""Load a set of operators' TOML files as a whole."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec
import voluptuous as vol

from clementinepin.config import _validators as val
from clementinepin.config._codec import digest_parts, encode_parts
from clementinepin.config._references import find_reference_issues
from clementinepin.config._schema import FILES_VERSION, SCHEMAS, TABLES, build_row
from clementinepin.config._toml import parse_toml
from clementinepin.config.exceptions import ConfigurationInvalidError, ConfigurationIssue
from clementinepin.config.models import Configuration

_SUFFIX = ".toml"


class _Loader:
    """Collects the rows and issues of all files of a set.

    ``origins`` holds the file that defines a row, by table and name.
    """

    def __init__(self) -> None:
        self.rows: dict[str, dict[str, Any]] = {table: {} for table in TABLES}
        self.origins: dict[tuple[str, str], str] = {}
        self.issues: list[ConfigurationIssue] = []

    def add_issue(self, file: str, table: str, key: str, expected: str) -> None:
        """Add an issue of this file."""
        self.issues.append(ConfigurationIssue(file, table, key, expected))

    def add_file(self, file: str, content: bytes) -> None:
        """Add the rows and issues of one file."""
        document = self._parse(file, content)
        if document is None:
            return
        version = document.pop("version", None)
        if version != FILES_VERSION or isinstance(version, bool):
            self.add_issue(file, "", "version", f"version = {FILES_VERSION}")
        for table, entries in document.items():
            self._add_tables(file, table, entries)

    def _parse(self, file: str, content: bytes) -> dict[str, Any] | None:
        if not file.endswith(_SUFFIX):
            self.add_issue(file, "", "", f"a file name that ends in {_SUFFIX}")
            return None
        try:
            return parse_toml(content)
        except msgspec.DecodeError as err:
            self.add_issue(file, "", "", str(err))
        return None

    def _add_tables(self, file: str, table: str, entries: Any) -> None:
        if table not in SCHEMAS:
            self.add_issue(file, table, "", "one of the tables " + ", ".join(TABLES))
            return
        if not isinstance(entries, dict):
            self.add_issue(file, table, "", f"tables of the form [{table}.NAME]")
            return
        for name, values in entries.items():
            self._add_table(file, table, name, values)

    def _add_table(self, file: str, table: str, name: str, values: Any) -> None:
        section = f"{table}.{name}"
        first_file = self.origins.setdefault((table, name), file)
        if first_file != file:
            self.add_issue(
                file, section, "", f"a table in one file only, but {first_file} has it too"
            )
            return
        try:
            val.validate_name(name)
        except vol.Invalid as err:
            self.add_issue(file, section, "", err.error_message)
            return
        schema = SCHEMAS[table]
        try:
            checked = schema.validate(values)
        except vol.MultipleInvalid as err:
            self.issues.extend(val.list_issues(err, file, section, schema.keys))
            return
        self.rows[table][name] = build_row(table, name, checked)


def load_files(files: Mapping[str, bytes]) -> Configuration:
    """Validate a whole file set and return it as a configuration with revision 0.

    ``files`` holds contents by file name. Raise ConfigurationInvalidError with all issues found;
    references between tables are checked only if there are no other issues.
    """
    loader = _Loader()
    if not files:
        loader.add_issue("", "", "", "at least one file")
    for file in sorted(files):
        loader.add_file(file, files[file])
    if not loader.issues:
        loader.issues.extend(find_reference_issues(loader.rows, loader.origins))
    if loader.issues:
        raise ConfigurationInvalidError(loader.issues)
    configuration = Configuration(revision=0, digest="", **loader.rows)
    parts = encode_parts(configuration)
    return configuration._replace(digest=digest_parts(parts))
