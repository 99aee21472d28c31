from __future__ import annotations

import json
from pathlib import Path

import pytest

from bench.capacity import (
    PageInvalidError,
    check_page,
    format_figure,
    iterate_rows,
    load_figures,
    write_cells,
)

ROOT = Path(__file__).parents[2]
PAGE = """
| size | meaning | design | today |
| --- | --- | --- | --- |
| `nodes` | instances | 590 | 6 |

| id | figure | arithmetic | design | today |
| --- | --- | --- | --- | --- |
| `cpu` | share | `control.a.intercept + control.a.slope * nodes` | 59.1 | 0.71 |
| `twice` | double | `cpu * 2` | 118 | 1.40 |
""".splitlines()
FIGURES = {"control.a.slope": 0.1, "control.a.intercept": 0.1}


def test_committed_page_matches_committed_figures() -> None:
    """Mutation: change any digit of a computed cell on the page, or of the JSON."""
    lines = (ROOT / "docs" / "CAPACITY.md").read_text().splitlines()
    assert check_page(lines, load_figures(ROOT / "docs" / "figures")) == []


def test_committed_page_has_computed_rows() -> None:
    lines = (ROOT / "docs" / "CAPACITY.md").read_text().splitlines()
    assert sum("arithmetic" in row.cells for row in iterate_rows(lines)) >= 30


def test_wrong_cell_is_reported_and_corrected() -> None:
    """Mutation: compare the cells as rounded integers."""
    lines = list(PAGE)
    (mismatch,) = check_page(lines, FIGURES)
    assert (mismatch.deployment, mismatch.printed, mismatch.computed) == ("today", "0.71", "0.7")
    write_cells(lines, [mismatch], {row.line: list(row.cells) for row in iterate_rows(lines)})
    assert check_page(lines, FIGURES) == []


@pytest.mark.parametrize("expression", ["unknown", "1 +", "__import__('os')", "nodes / 0", "'a'"])
def test_invalid_expression_raises(expression: str) -> None:
    lines = [line.replace("cpu * 2", expression) for line in PAGE]
    with pytest.raises(PageInvalidError):
        check_page(lines, FIGURES)


@pytest.mark.parametrize(
    ("value", "text"),
    [(0.012345, "0.0123"), (1.2345, "1.23"), (12.345, "12.3"), (12345.6, "12,346"), (0.0, "0")],
)
def test_figures_are_formatted_with_three_significant_digits(value: float, text: str) -> None:
    assert format_figure(value) == text


def test_figures_are_named_by_file_and_keys(tmp_path: Path) -> None:
    (tmp_path / "control.json").write_text(json.dumps({"a": {"b": 1, "c": [2]}, "d": True}))
    assert load_figures(tmp_path) == {"control.a.b": 1.0}
