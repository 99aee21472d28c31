"""Load a set of operators' files as a whole."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from typing import Any

import voluptuous as vol

from clementinepin.config import _validators as val
from clementinepin.config._codec import encode_parts, summarize_parts
from clementinepin.config._references import find_reference_issues
from clementinepin.config._schema import FILES_VERSION, SCHEMAS, TABLES, build_row
from clementinepin.config.exceptions import ConfigurationInvalidError, ConfigurationIssue
from clementinepin.config.models import Configuration

_SUFFIX = ".toml"


class _Loader:
    """Collects rows and issues over all files of a set."""

    def __init__(self) -> None:
        self.rows: dict[str, dict[str, Any]] = {table: {} for table in TABLES}
        self.origins: dict[tuple[str, str], str] = {}
        self.issues: list[ConfigurationIssue] = []

    def report(self, file: str, table: str, key: str, expected: str) -> None:
        """Note a fault."""
        self.issues.append(ConfigurationIssue(file, table, key, expected))

    def add_file(self, file: str, content: bytes) -> None:
        """Read one file's tables."""
        document = self._parse(file, content)
        if document is None:
            return
        version = document.pop("version", None)
        if version != FILES_VERSION or isinstance(version, bool):
            self.report(file, "", "version", f"version = {FILES_VERSION}")
        for table, entries in document.items():
            self._add_tables(file, table, entries)

    def _parse(self, file: str, content: bytes) -> dict[str, Any] | None:
        if not file.endswith(_SUFFIX):
            self.report(file, "", "", f"a file name that ends in {_SUFFIX}")
            return None
        try:
            return tomllib.loads(content.decode("utf-8"))
        except UnicodeDecodeError as err:
            self.report(file, "", "", f"UTF-8 text, byte {err.start} is not")
        except tomllib.TOMLDecodeError as err:
            self.report(file, "", "", f"valid TOML: {err}")
        return None

    def _add_tables(self, file: str, table: str, entries: Any) -> None:
        if table not in SCHEMAS:
            self.report(file, table, "", "one of the tables " + ", ".join(TABLES))
            return
        if not isinstance(entries, dict):
            self.report(file, table, "", f"tables of the form [{table}.NAME]")
            return
        for name, values in entries.items():
            self._add_table(file, table, name, values)

    def _add_table(self, file: str, table: str, name: str, values: Any) -> None:
        place = f"{table}.{name}"
        other = self.origins.setdefault((table, name), file)
        if other != file:
            self.report(file, place, "", f"a table in one file only, it stands in {other} too")
            return
        try:
            val.validate_name(name)
        except vol.Invalid as err:
            self.report(file, place, "", err.error_message)
            return
        schema = SCHEMAS[table]
        try:
            checked = schema.validate(values)
        except vol.MultipleInvalid as err:
            self.issues.extend(val.list_issues(err, file, place, schema.keys))
            return
        self.rows[table][name] = build_row(table, name, checked)


def load_files(files: Mapping[str, bytes]) -> Configuration:
    """Check a file set whole and return it as revision 0.

    Raises ConfigurationInvalidError with every fault found.
    """
    loader = _Loader()
    if not files:
        loader.report("", "", "", "at least one file")
    for file in sorted(files):
        loader.add_file(file, files[file])
    if not loader.issues:
        loader.issues.extend(find_reference_issues(loader.rows, loader.origins))
    if loader.issues:
        raise ConfigurationInvalidError(loader.issues)
    configuration = Configuration(revision=0, digest="", **loader.rows)
    parts = encode_parts(configuration)
    return configuration._replace(digest=summarize_parts(parts))
