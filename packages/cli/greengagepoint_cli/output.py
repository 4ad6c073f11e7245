"""Print answers as tables or JSON."""

import json
from collections.abc import Callable, Iterable, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any, NamedTuple

import typer

from greengagepoint_cli.const import Output

Row = Mapping[str, Any]


class Column(NamedTuple):
    """One column of a table; ``read`` gives a row's cell."""

    title: str
    read: Callable[[Row], Any]
    right: bool = False


def field(name: str, title: str = "", *, right: bool = False) -> Column:
    """Return a column that shows one member."""
    return Column(title or name.replace("_", " "), lambda row: row.get(name), right)


def show(document: Any, rows: Iterable[Row], columns: Sequence[Column], output: Output):
    """Print a document as JSON, or its rows as a table."""
    if output is Output.JSON:
        show_json(document)
    else:
        show_table(rows, columns)


def show_json(document: Any) -> None:
    """Print a document as JSON, with its members in order."""
    typer.echo(json_text(document), nl=False)


def json_text(document: Any) -> str:
    """Return a document as JSON, with its members in order and a line end."""
    return json.dumps(document, indent=2, ensure_ascii=False) + "\n"


def show_table(rows: Iterable[Row], columns: Sequence[Column]) -> None:
    """Print rows under their titles."""
    for line in table_lines(rows, columns):
        typer.echo(line)


def table_lines(rows: Iterable[Row], columns: Sequence[Column]) -> list[str]:
    """Return the lines of a table, columns as wide as their widest cell."""
    cells = [[_cell(column.read(row)) for column in columns] for row in rows]
    lines = [[column.title.upper() for column in columns], *cells]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return [
        "  ".join(
            cell.rjust(width) if column.right else cell.ljust(width)
            for cell, width, column in zip(line, widths, columns, strict=True)
        ).rstrip()
        for line in lines
    ]


def as_time(milliseconds: int) -> str:
    """Return a time as RFC 3339 in UTC with milliseconds."""
    moment = datetime.fromtimestamp(milliseconds / 1000, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _cell(value: Any) -> str:
    """Return the text of one cell, without characters that move the cursor."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, list | tuple):
        return ", ".join(_cell(item) for item in value) or "-"
    if isinstance(value, dict):
        return json.dumps(value, ensure_ascii=False)
    return "".join(char if char.isprintable() else "\ufffd" for char in str(value))
