"""Check the arithmetic of docs/CAPACITY.md against the figures that the benches wrote.

Usage:
  capacity [--write] [--page FILE] [--figures DIR]

Options:
  --write          Put the computed values into the page's cells.
  --page FILE      The page [default: docs/CAPACITY.md].
  --figures DIR    Folder of the benches' JSON [default: docs/figures].

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
ROW_START: Final = "| "
SIZE_COLUMN: Final = "size"
ARITHMETIC_COLUMN: Final = "arithmetic"
ID_COLUMN: Final = "id"


class PageInvalidError(Exception):
    """The page can't be checked: an unknown name or a broken expression."""


class Mismatch(NamedTuple):
    """A cell that is not what the arithmetic gives."""

    line: int
    deployment: str
    printed: str
    computed: str


class Row(NamedTuple):
    """One row of a table, with its cells by column; ``line`` counts from 0."""

    line: int
    cells: dict[str, str]


def check_page(lines: list[str], figures: dict[str, float]) -> list[Mismatch]:
    """Return the cells that differ from what their row's arithmetic gives."""
    scopes: dict[str, dict[str, float]] = {}
    found: list[Mismatch] = []
    for row in iterate_rows(lines):
        if SIZE_COLUMN in row.cells:
            _read_sizes(row, scopes, figures)
        elif ARITHMETIC_COLUMN in row.cells:
            found += _check_row(row, scopes)
    return found


def iterate_rows(lines: list[str]) -> Iterator[Row]:
    """Yield the rows of all tables on the page."""
    header: list[str] = []
    for number, line in enumerate(lines):
        if not line.startswith(ROW_START):
            header = []
            continue
        cells = split_cells(line)
        if not header:
            header = cells
        elif not set(line) <= set("|-: "):
            if len(cells) != len(header):
                raise PageInvalidError(f"line {number + 1} has {len(cells)} cells")
            yield Row(number, dict(zip(header, cells, strict=True)))


def split_cells(line: str) -> list[str]:
    """Return the cells of one line."""
    return [cell.strip() for cell in line.strip().strip("|").split("|")]


def evaluate(expression: str, scope: dict[str, float]) -> float:
    """Return the value of an expression; raises PageInvalidError."""
    try:
        return _evaluate(ast.parse(expression, mode="eval").body, scope)
    except (SyntaxError, KeyError, ZeroDivisionError) as err:
        raise PageInvalidError(f"{expression!r}: {err!r}") from err


def format_figure(value: float) -> str:
    """Return a value with three digits, or whole from a thousand on."""
    size = abs(value)
    if size >= 100:
        return f"{value:,.0f}"
    if size >= 10:
        return f"{value:.1f}"
    return f"{value:.2f}" if size >= 1 else f"{value:.3g}"


def load_figures(folder: Path) -> dict[str, float]:
    """Return every number in the folder's JSON files by its dotted name."""
    figures: dict[str, float] = {}
    for path in sorted(folder.glob("*.json")):
        _flatten(path.stem, json.loads(path.read_text()), figures)
    return figures


def write_cells(
    lines: list[str], mismatches: list[Mismatch], columns: dict[int, list[str]]
) -> None:
    """Put the computed values into the page's lines."""
    for mismatch in mismatches:
        cells = split_cells(lines[mismatch.line])
        cells[columns[mismatch.line].index(mismatch.deployment)] = mismatch.computed
        lines[mismatch.line] = "| " + " | ".join(cells) + " |"


def main() -> int:
    """Check the page and return 1 for a mismatch."""
    args = docopt(__doc__ or "")
    path = Path(args["--page"])
    lines = path.read_text().splitlines()
    try:
        found = check_page(lines, load_figures(Path(args["--figures"])))
    except PageInvalidError as err:
        print(f"{path}: {err}")
        return 1
    if args["--write"]:
        write_cells(lines, found, {row.line: list(row.cells) for row in iterate_rows(lines)})
        path.write_text("\n".join(lines) + "\n")
        return 0
    for m in found:
        print(f"{path}:{m.line + 1}: {m.deployment} says {m.printed}, gives {m.computed}")
    return 1 if found else 0


def _read_sizes(row: Row, scopes: dict[str, dict[str, float]], figures: dict[str, float]) -> None:
    name = row.cells[SIZE_COLUMN].strip("`")
    for deployment, cell in row.cells.items():
        if deployment not in (SIZE_COLUMN, "meaning"):
            scope = scopes.setdefault(deployment, dict(figures))
            known = scope.get(cell.strip("`"))
            scope[name] = float(cell.replace(",", "")) if known is None else known


def _check_row(row: Row, scopes: dict[str, dict[str, float]]) -> Iterator[Mismatch]:
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


def _flatten(prefix: str, value: Any, figures: dict[str, float]) -> None:
    if isinstance(value, dict):
        for key, inner in value.items():
            _flatten(f"{prefix}.{key}", inner, figures)
    elif isinstance(value, (int, float)) and not isinstance(value, bool):
        figures[prefix] = float(value)


if __name__ == "__main__":
    sys.exit(main())
