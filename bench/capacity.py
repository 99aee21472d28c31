"""Check the arithmetic of docs/CAPACITY.md against the figures written by the benchmarks.

Usage:
  capacity [--write] [--page FILE] [--figures DIR]

Options:
  --write          Write the computed values into the page's cells.
  --page FILE      The page [default: docs/CAPACITY.md].
  --figures DIR    Folder of the benchmarks' JSON files [default: docs/figures].

A table with the column ``size`` gives the sizes of each deployment, as numbers or names of
figures. In a table with the column ``arithmetic``, each row's expression is computed for each
deployment's column. It may use sizes, figures as ``FILE.KEY.KEY``, the ids of earlier rows,
numbers, + - * /, min and max.
"""

from __future__ import annotations

import ast
import json
import operator
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

from docopt import docopt

OPERATORS: Final[dict[type, Callable[[float, float], float]]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
}
FUNCTIONS: Final[dict[str, Callable[..., float]]] = {"min": min, "max": max}
TABLE_ROW_START: Final = "| "
SIZE_COLUMN: Final = "size"
ARITHMETIC_COLUMN: Final = "arithmetic"
ID_COLUMN: Final = "id"


class PageInvalidError(Exception):
    """The page can't be checked: a row or an expression is invalid, or a name is unknown."""


class Mismatch(NamedTuple):
    """A cell that differs from the computed value; ``line`` counts from 0."""

    line: int
    deployment: str
    printed: str
    computed: str


class Row(NamedTuple):
    """One row of a table with its cells by column name; ``line`` counts from 0."""

    line: int
    cells: dict[str, str]


def check_page(lines: list[str], figures: dict[str, float]) -> list[Mismatch]:
    """Return the cells that differ from the computed value.

    Raise PageInvalidError if a row or an expression is invalid or a name is unknown.
    """
    scopes: dict[str, dict[str, float]] = {}
    mismatches: list[Mismatch] = []
    for row in iterate_rows(lines):
        if SIZE_COLUMN in row.cells:
            _read_sizes(row, scopes, figures)
        elif ARITHMETIC_COLUMN in row.cells:
            mismatches += _check_row(row, scopes)
    return mismatches


def iterate_rows(lines: list[str]) -> Iterator[Row]:
    """Yield the rows of all tables; raise PageInvalidError if a row has missing or extra cells."""
    header: list[str] = []
    for number, line in enumerate(lines):
        if not line.startswith(TABLE_ROW_START):
            header = []
            continue
        cells = split_cells(line)
        if not header:
            header = cells
        elif not set(line) <= set("|-: "):
            if len(cells) != len(header):
                raise PageInvalidError(
                    f"line {number + 1} has {len(cells)} cells, unlike the header of its table"
                )
            yield Row(number, dict(zip(header, cells, strict=True)))


def split_cells(line: str) -> list[str]:
    """Return the stripped cells of one table line."""
    return [cell.strip() for cell in line.strip().strip("|").split("|")]


def evaluate(expression: str, scope: dict[str, float]) -> float:
    """Return the value of an expression; raise PageInvalidError if it can't be computed."""
    try:
        return _evaluate(ast.parse(expression, mode="eval").body, scope)
    except (SyntaxError, KeyError, ZeroDivisionError) as err:
        raise PageInvalidError(f"{expression!r}: {err!r}") from err


def format_figure(value: float) -> str:
    """Return a value with three significant digits, from 100 on as a whole number."""
    magnitude = abs(value)
    if magnitude >= 100:
        return f"{value:,.0f}"
    if magnitude >= 10:
        return f"{value:.1f}"
    return f"{value:.2f}" if magnitude >= 1 else f"{value:.3g}"


def load_figures(folder: Path) -> dict[str, float]:
    """Return every number in the folder's JSON files as ``FILE.KEY.KEY``."""
    figures: dict[str, float] = {}
    for path in sorted(folder.glob("*.json")):
        _add_numbers(path.stem, json.loads(path.read_text()), figures)
    return figures


def write_cells(
    lines: list[str], mismatches: list[Mismatch], columns: dict[int, list[str]]
) -> None:
    """Replace the mismatched cells in ``lines``; ``columns`` has the header of each row."""
    for mismatch in mismatches:
        cells = split_cells(lines[mismatch.line])
        cells[columns[mismatch.line].index(mismatch.deployment)] = mismatch.computed
        lines[mismatch.line] = "| " + " | ".join(cells) + " |"


def main() -> int:
    """Check or rewrite the page; return 1 if it is invalid or has mismatches."""
    args = docopt(__doc__ or "")
    path = Path(args["--page"])
    lines = path.read_text().splitlines()
    try:
        mismatches = check_page(lines, load_figures(Path(args["--figures"])))
    except PageInvalidError as err:
        print(f"{path}: {err}")
        return 1
    if args["--write"]:
        write_cells(lines, mismatches, {row.line: list(row.cells) for row in iterate_rows(lines)})
        path.write_text("\n".join(lines) + "\n")
        return 0
    for m in mismatches:
        print(f"{path}:{m.line + 1}: {m.deployment} has {m.printed}, computed {m.computed}")
    return 1 if mismatches else 0


def _read_sizes(row: Row, scopes: dict[str, dict[str, float]], figures: dict[str, float]) -> None:
    """Add the size of a row to the names that each deployment's expressions may use."""
    name = row.cells[SIZE_COLUMN].strip("`")
    for deployment, cell in row.cells.items():
        if deployment not in (SIZE_COLUMN, "meaning"):
            scope = scopes.setdefault(deployment, dict(figures))
            figure = scope.get(cell.strip("`"))
            scope[name] = float(cell.replace(",", "")) if figure is None else figure


def _check_row(row: Row, scopes: dict[str, dict[str, float]]) -> Iterator[Mismatch]:
    """Compute a row for each deployment, store the values under its id and yield mismatches."""
    expression = row.cells[ARITHMETIC_COLUMN].strip("`")
    for deployment, scope in scopes.items():
        if deployment not in row.cells:
            continue
        value = evaluate(expression, scope)
        scope[row.cells[ID_COLUMN].strip("`")] = value
        printed, computed = row.cells[deployment], format_figure(value)
        if printed != computed:
            yield Mismatch(row.line, deployment, printed, computed)


def _evaluate(node: ast.expr, scope: dict[str, float]) -> float:
    if isinstance(node, ast.Constant) and isinstance(node.value, (int, float)):
        return float(node.value)
    if isinstance(node, (ast.Name, ast.Attribute)):
        return scope[ast.unparse(node)]
    if isinstance(node, ast.BinOp) and type(node.op) in OPERATORS:
        left, right = _evaluate(node.left, scope), _evaluate(node.right, scope)
        return OPERATORS[type(node.op)](left, right)
    if isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
        return FUNCTIONS[node.func.id](*(_evaluate(a, scope) for a in node.args))
    raise KeyError(ast.unparse(node))


def _add_numbers(prefix: str, value: Any, figures: dict[str, float]) -> None:
    """Add the numbers in a JSON value to ``figures``; lists, strings and booleans are skipped."""
    if isinstance(value, dict):
        for key, inner in value.items():
            _add_numbers(f"{prefix}.{key}", inner, figures)
    elif isinstance(value, (int, float)) and not isinstance(value, bool):
        figures[prefix] = float(value)


if __name__ == "__main__":
    sys.exit(main())
