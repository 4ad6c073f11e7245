"""Merge usage counters, and read them as lines of a report."""

import csv
import io
from collections.abc import Iterable
from typing import TypedDict

from greengagepoint.usage.messages import UsageRow

RowKey = tuple[str, str, str]
Rows = dict[RowKey, UsageRow]


class UsageLine(TypedDict):
    """One line of a usage report: all hosts together."""

    day: str
    team: str
    service: str
    requests: int
    answered: int
    failed: int
    not_run: int
    bytes_in: int
    bytes_out: int


def row_key(row: UsageRow) -> RowKey:
    """Return what a row counts."""
    return (row.day, row.team, row.service)


def larger(one: UsageRow, other: UsageRow) -> UsageRow:
    """Return the newer reading of each counter of one run of a host."""
    return UsageRow(
        one.day,
        one.team,
        one.service,
        max(one.answered, other.answered),
        max(one.failed, other.failed),
        max(one.not_run, other.not_run),
        max(one.bytes_in, other.bytes_in),
        max(one.bytes_out, other.bytes_out),
    )


def merge(rows: Rows, others: Iterable[UsageRow]) -> Rows:
    """Merge two readings of one run of a host.

    It is idempotent, commutative and associative, so a reading that arrives twice,
    late or through another host is never billed twice.
    """
    merged = dict(rows)
    for row in others:
        key = row_key(row)
        held = merged.get(key)
        merged[key] = row if held is None else larger(held, row)
    return merged


def add_up(runs: Iterable[Iterable[UsageRow]]) -> list[UsageLine]:
    """Add up the merged rows of different runs, in the order of their keys."""
    lines: dict[RowKey, UsageLine] = {}
    for rows in runs:
        for row in rows:
            line = lines.setdefault(row_key(row), _empty_line(row))
            line["answered"] += row.answered
            line["failed"] += row.failed
            line["not_run"] += row.not_run
            line["requests"] += row.answered + row.failed + row.not_run
            line["bytes_in"] += row.bytes_in
            line["bytes_out"] += row.bytes_out
    return [lines[key] for key in sorted(lines)]


def render_csv(lines: Iterable[UsageLine]) -> str:
    """Return a report as CSV with a header line, without members not known here."""
    text = io.StringIO()
    names = list(UsageLine.__annotations__)
    writer = csv.DictWriter(text, names, extrasaction="ignore", lineterminator="\n")
    writer.writeheader()
    writer.writerows(lines)
    return text.getvalue()


def _empty_line(row: UsageRow) -> UsageLine:
    """Return a line that counts nothing yet."""
    return UsageLine(
        day=row.day,
        team=row.team,
        service=row.service,
        requests=0,
        answered=0,
        failed=0,
        not_run=0,
        bytes_in=0,
        bytes_out=0,
    )
