"""The operators' page must describe every setting, metric and exit code of the code."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from clementinepin._cli.exceptions import ExitCode
from clementinepin.config import _settings

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
METRIC = re.compile(r'metrics\.(?:incr|gauge|timing)\(\s*f?"([^"]+)"')


def list_metrics() -> set[str]:
    names = set()
    for path in (ROOT / "clementinepin").rglob("*.py"):
        names |= set(METRIC.findall(path.read_text()))
    return names


def expand_page() -> str:
    """Return the page plus the full names of short forms such as ``.files`` after a name."""
    names = re.findall(r"`([a-z_]+\.[a-zA-Z_.]+)`((?:, `\.[a-z_]+`)*)", PAGE)
    return " ".join(
        [PAGE]
        + [
            f"{head.rpartition('.')[0]}{tail}"
            for head, rest in names
            for tail in re.findall(r"`(\.[a-z_]+)`", rest)
        ]
    )


def test_every_metric_is_described() -> None:
    """Mutation: rename any counter in the code."""
    page = expand_page()
    stems = {re.sub(r"\{.*", "", name) for name in list_metrics()}
    assert len(stems) > 25
    assert [stem for stem in sorted(stems) if stem not in page] == []


@pytest.mark.parametrize("table", sorted(_settings._FIELDS))
def test_every_setting_is_described(table: str) -> None:
    keys = [str(key) for key in _settings._FIELDS[table]]
    assert f"`{table}`" in PAGE
    assert [key for key in keys if f"`{key}`" not in PAGE] == []


def test_every_exit_code_is_described() -> None:
    for code in ExitCode:
        assert re.search(rf"^\| {int(code)} \|", PAGE, re.MULTILINE)
