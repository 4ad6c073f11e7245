"""Write figures as a table, as JSON and as an HTML page with plots."""

from collections.abc import Sequence
from html import escape
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec

from measure.figure import Figure
from measure.runner import Measured, ModuleResult, Status

BAR_WIDTH: Final = 420
BAR_HEIGHT: Final = 14
LABEL_WIDTH: Final = 190
STYLE: Final = """
body{font:14px sans-serif;margin:2em auto;max-width:60em;color:#222}
table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right}
td:first-child,th:first-child,td.text{text-align:left}
tr:nth-child(even){background:#f4f4f4}.broken{color:#b00;font-weight:bold}
svg{display:block;margin:.3em 0 1em}svg text{font:11px sans-serif}
"""
COLOURS: Final = {"value": "#2a6f97", "earlier": "#89a8b8", "baseline": "#bbb"}


class Head(NamedTuple):
    """What is said of a run as a whole; loads are the one-minute averages."""

    command: str
    commit: str
    compare: str
    started: str
    cores: int
    load_before: float
    load_after: float
    quick: bool


def write(folder: Path, head: Head, results: Sequence[ModuleResult]) -> None:
    """Write report.html, report.md and figures.json into a new folder."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "report.html").write_text(render_html(head, results))
    (folder / "report.md").write_text(render_markdown(head, results))
    (folder / "figures.json").write_bytes(render_json(head, results))


def render_json(head: Head, results: Sequence[ModuleResult]) -> bytes:
    """Return all figures as JSON."""
    document = {"run": head._asdict(), "modules": [_module(one) for one in results]}
    return msgspec.json.format(msgspec.json.encode(document))


def render_text(head: Head, results: Sequence[ModuleResult]) -> str:
    """Return the table that is printed."""
    lines = [_title(head), ""]
    for result in results:
        lines.append(f"{result.module}: {_state(result)}")
        rows = [_cells(one, compared=bool(head.compare)) for one in result.measured]
        if rows:
            header = _header(compared=bool(head.compare))
            lines += _aligned([header, *rows])
        lines.append("")
    lines.append(_verdict(results))
    return "\n".join(lines)


def render_html(head: Head, results: Sequence[ModuleResult]) -> str:
    """Return a page that needs nothing else."""
    parts = [
        "<!doctype html><html lang=en><meta charset=utf-8>",
        f"<title>Measurements at {escape(head.commit)}</title><style>{STYLE}</style>",
        f"<h1>Measurements</h1><p>{escape(_title(head))}</p>",
        f"<p>{escape(_verdict(results))}</p>",
    ]
    for result in results:
        parts.append(f"<h2>{escape(result.module)}: {escape(_state(result))}</h2>")
        if result.measured:
            parts.append(_html_table(result, compared=bool(head.compare)))
            parts += [_plot(one) for one in result.measured if _is_plotted(one)]
    return "\n".join([*parts, "</html>"])


def render_markdown(head: Head, results: Sequence[ModuleResult]) -> str:
    """Return the tables for a page of the documentation."""
    lines = [_title(head), "", _verdict(results) + ".", ""]
    for result in results:
        lines += [f"## {result.module}: {_state(result)}", ""]
        if not result.measured:
            continue
        header = _header(compared=bool(head.compare))
        lines += [_row(header), "|" + "---|" * len(header)]
        lines += [
            _row(_cells(one, compared=bool(head.compare))) for one in result.measured
        ]
        lines.append("")
    return "\n".join(lines)


def _row(cells: list[str]) -> str:
    """Return one row of a Markdown table."""
    return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"


def holds_text(figure: Figure) -> str:
    """Return whether the limit holds, as a word."""
    return {True: "holds", False: "BROKEN", None: ""}[figure.holds]


def _module(result: ModuleResult) -> dict[str, Any]:
    """Return one module as JSON members."""
    return {
        "module": result.module,
        "status": result.status,
        "detail": result.detail,
        "earlier_status": result.earlier_status,
        "earlier_detail": result.earlier_detail,
        "figures": [_figure(one) for one in result.measured],
    }


def _figure(measured: Measured) -> dict[str, Any]:
    """Return one figure as JSON members."""
    return {
        **measured.figure._asdict(),
        "ratio": measured.figure.ratio,
        "holds": measured.figure.holds,
        "earlier": measured.earlier,
        "ratio_to_earlier": measured.ratio_to_earlier,
    }


def _title(head: Head) -> str:
    """Return one line about the run."""
    quick = ", quick" if head.quick else ""
    compare = f", compared with {head.compare}" if head.compare else ""
    return (
        f"{head.command.strip()} at {head.commit}{compare}{quick}, {head.started}, "
        f"{head.cores} cores, load average {head.load_before:.1f} before and "
        f"{head.load_after:.1f} after"
    )


def _verdict(results: Sequence[ModuleResult]) -> str:
    """Return one line on limits and modules."""
    limited = [
        one.figure.holds
        for result in results
        for one in result.measured
        if one.figure.holds is not None
    ]
    failed = [one.module for one in results if one.status is not Status.MEASURED]
    text = f"{limited.count(True)} of {len(limited)} limits hold"
    return text + (f"; without figures: {', '.join(failed)}" if failed else "")


def _state(result: ModuleResult) -> str:
    """Return how the runs of a module ended."""
    text = str(result.status)
    if result.status is not Status.MEASURED:
        text += f" ({result.detail})"
    if result.earlier_status not in (None, Status.MEASURED):
        text += f"; earlier commit {result.earlier_status} ({result.earlier_detail})"
    return text


def _header(*, compared: bool) -> list[str]:
    """Return the titles of the columns."""
    titles = ["figure", "value", "unit", "baseline", "ratio", "limit", ""]
    return titles + (["earlier", "ratio to it"] if compared else [])


def _cells(measured: Measured, *, compared: bool) -> list[str]:
    """Return one row of the table."""
    figure = measured.figure
    baseline = _number(figure.baseline)
    if figure.baseline_name:
        baseline += f" ({figure.baseline_name})"
    limit = _number(figure.limit)
    if limit:
        limit = (">= " if figure.at_least else "<= ") + limit
    row = [figure.name, _number(figure.value), figure.unit, baseline]
    row += [_number(figure.ratio), limit, holds_text(figure)]
    if compared:
        row += [_number(measured.earlier), _number(measured.ratio_to_earlier)]
    return row


def _number(value: float | None) -> str:
    """Return a number with three or four digits that matter."""
    if value is None:
        return ""
    return f"{value:.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def _aligned(rows: list[list[str]]) -> list[str]:
    """Return rows as lines with columns below each other."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  "
        + "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _html_table(result: ModuleResult, *, compared: bool) -> str:
    """Return the table of one module."""
    head = "".join(f"<th>{escape(title)}" for title in _header(compared=compared))
    body = []
    for one in result.measured:
        cells = _cells(one, compared=compared)
        mark = " class=broken" if one.figure.holds is False else ""
        row = "".join(f"<td>{escape(cell)}" for cell in cells)
        body.append(f"<tr{mark}>{row}")
    return f"<table><tr>{head}{''.join(body)}</table>"


def _is_plotted(measured: Measured) -> bool:
    """Tell whether a figure has something to be compared with."""
    figure = measured.figure
    others = (figure.baseline, figure.limit, measured.earlier)
    return any(other is not None for other in others)


def _plot(measured: Measured) -> str:
    """Return bars of a figure beside its baseline, with a line at the limit."""
    figure = measured.figure
    bars = [("value", "measured", figure.value)]
    if measured.earlier is not None:
        bars.append(("earlier", "earlier commit", measured.earlier))
    if figure.baseline is not None:
        name = figure.baseline_name or "baseline"
        bars.append(("baseline", name, figure.baseline))
    longest = max([value for _, _, value in bars] + [figure.limit or 0.0]) or 1.0
    rows = [
        _bar(number, COLOURS[colour], label, value, longest)
        for number, (colour, label, value) in enumerate(bars)
    ]
    height = len(bars) * (BAR_HEIGHT + 4) + 4
    if figure.limit is not None:
        x = LABEL_WIDTH + BAR_WIDTH * max(figure.limit, 0.0) / longest
        rows.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="0" y2="{height}" stroke="#b00" '
            'stroke-dasharray="3 2"/>'
        )
    title = escape(f"{figure.name} [{figure.unit}]")
    width = LABEL_WIDTH + BAR_WIDTH + 80
    svg = f'<svg width="{width}" height="{height}">{"".join(rows)}</svg>'
    return f"<div>{title}</div>{svg}"


def _bar(number: int, colour: str, label: str, value: float, longest: float) -> str:
    """Return one bar with its label and value."""
    top = number * (BAR_HEIGHT + 4) + 2
    length = BAR_WIDTH * max(value, 0.0) / longest
    text_y = top + BAR_HEIGHT - 3
    return (
        f'<text x="0" y="{text_y}">{escape(label[:32])}</text>'
        f'<rect x="{LABEL_WIDTH}" y="{top}" width="{length:.1f}" '
        f'height="{BAR_HEIGHT}" fill="{colour}"/>'
        f'<text x="{LABEL_WIDTH + length + 4:.1f}" y="{text_y}">{_number(value)}</text>'
    )
