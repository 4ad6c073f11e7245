"""Print what the demo measured."""

from collections.abc import Iterable, Sequence

from greengagepoint_standins.demo.fleet import Fleet
from greengagepoint_standins.demo.load import Load
from greengagepoint_standins.demo.promises import Check, Run, peak_overlap

PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def table(title: str, heads: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table as text."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(head), *(len(row[index]) for row in cells), 0) if cells else len(head)
        for index, head in enumerate(heads)
    ]
    lines = [title, "  ".join(map(str.ljust, heads, widths))]
    lines += ["  ".join(map(str.ljust, row, widths)).rstrip() for row in cells]
    return "\n".join(lines) + "\n"


def outcomes_table(load: Load) -> str:
    """Return requests by kind and outcome."""
    rows = [(*key, count) for key, count in sorted(load.outcomes.items())]
    return table("Requests", ("service", "kind", "outcome", "count"), rows)


def latency_table(load: Load) -> str:
    """Return latency percentiles of answered requests, in milliseconds."""
    rows = []
    for key, histogram in sorted(load.latencies.items()):
        values = [
            f"{histogram.get_value_at_percentile(percentile) / 1000:.1f}"
            for percentile in PERCENTILES
        ]
        rows.append((*key, histogram.get_total_count(), *values))
    heads = (
        "service",
        "kind",
        "answered",
        *(f"p{value:g} ms" for value in PERCENTILES),
    )
    return table("Latency from the caller's first try to its whole answer", heads, rows)


def headroom_table(fleet: Fleet) -> str:
    """Return the least headroom by region."""
    rows = [
        (region, capacity, fleet.headroom_lows.get(region, capacity))
        for region, capacity in fleet.places.capacities.items()
    ]
    heads = ("region", "capacity", "least headroom")
    return table("Headroom (concurrent requests)", heads, rows)


def caps_table(fleet: Fleet, runs: list[Run]) -> str:
    """Return the use of each site's cap."""
    rows = []
    for site, limit in fleet.places.limits.items():
        peak = peak_overlap(run for run in runs if run.server.site == site)
        rows.append((site, limit, peak, f"{100 * peak / limit:.0f} %"))
    return table("Caps", ("site", "cap", "peak of runs", "use"), rows)


def drains_table(rows: list[tuple[str, float, str]]) -> str:
    """Return how long each planned drain and stop took."""
    shown = [(what, f"{seconds:.2f}", detail) for what, seconds, detail in rows]
    return table("Drains and stops", ("what", "seconds", "detail"), shown)


def promises_table(checks: list[Check]) -> str:
    """Return the eight promises."""
    rows = [(one.promise, one.checked, one.broken, one.detail) for one in checks]
    return table("Promises", ("promise", "checked", "broken", "detail"), rows)
