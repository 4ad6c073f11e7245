"""Measure slopes of cost, and work out what the expected size takes.

``python -m measure.capacity`` prints the tables of docs/CAPACITY.md, with ``--write``
it puts them there. All of it takes about two minutes.
"""

import os
import sys
import time
from pathlib import Path
from typing import Final, NamedTuple

from measure import (
    capacity_hosts,
    capacity_parts,
    capacity_process,
    capacity_records,
    capacity_roles,
    capacity_storm,
    capacity_views,
    configuration,
    peer_links,
    runner_worktree,
)
from measure.capacity_roles import Role
from measure.capacity_slopes import MILLISECONDS, Slope
from measure.figure import Figure
from measure.runner import is_quick

PAGE: Final = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
BEGIN: Final = "<!-- begin: printed by python -m measure.capacity -->\n"
END: Final = "<!-- end -->\n"
ALLOWED_MB: Final = 128.0
ALLOWED_BYTES: Final = 3000.0
ALLOWED_MILLISECONDS: Final = 23.0
VIEW_POINT: Final = 0


class Measured(NamedTuple):
    """All slopes and figures of a run."""

    slopes: list[Slope]
    figures: list[Figure]
    process: list[Figure]
    at: dict[str, float]


def measure() -> Measured:
    """Run everything."""
    slopes = [
        *capacity_records.measure(),
        *capacity_hosts.measure(),
        *capacity_parts.measure(),
    ]
    views = capacity_views.measure()
    links, process = capacity_process.measure()
    slopes += links
    if not is_quick():
        slopes += capacity_storm.measure()
    figures = [*views, capacity_parts.event_microseconds()]
    return Measured(slopes, figures, process, _values(slopes, views, process))


def _values(
    slopes: list[Slope], views: list[Figure], process: list[Figure]
) -> dict[str, float]:
    """Return the values at the expected size by name."""
    at = {slope.name: slope.full for slope in slopes}
    for slope in slopes:
        if slope.over == "hosts in view":
            at[slope.name] = slope.points[VIEW_POINT][1]
        if slope.name in ("caps, processor", "caps, messages sent", "caps, bytes sent"):
            at[slope.name] = dict(slope.points)[capacity_roles.SITES_USED]
        if slope.over == "rows of teams and services":
            at[slope.name] = dict(slope.points)[capacity_roles.USAGE_ROWS]
    one = {figure.name: figure.value for figure in configuration.one_node()}
    node = f"configuration, one node of {configuration.FULL_HOSTS}"
    at["configuration at rest ms"] = one[f"{node}: processor time a second at rest"]
    at["change pushed ms"] = one[f"{node}: processor time a pushed change"]
    at["digest bytes"] = one[f"{node}: bytes of a digest"]
    at["team change bytes"] = one[f"{node}: bytes of a change of one team"]
    links = {figure.name: figure.value for figure in peer_links.run()}
    at["envelope end us"] = links["message alone, by ready descriptor"] / 2
    at["watchers"] = views[0].value
    at["claim writes"] = views[1].value
    resident = {figure.name: figure.value for figure in process}
    name = "capacity: resident after "
    records = resident[f"{name}client block records"]
    table = resident[f"{name}building the client block table"]
    at["client block records MB"] = (
        records - resident[f"{name}records without client blocks"]
    )
    at["client block table MB"] = table - records
    at["process MB"] = resident[f"{name}importing the daemon"]
    at["all tables MB"] = resident[f"{name}filling the other tables"]
    at["peak MB"] = resident[f"{name}the peak of all steps"]
    change = resident["capacity: processor time of a change of 100 blocks"]
    at["a change of 100 blocks ms"] = change * MILLISECONDS
    return at


def run() -> list[Figure]:
    """Return all figures; the sums have the allowances as limits."""
    measured = measure()
    found = [figure for slope in measured.slopes for figure in slope.figures()]
    found += [*measured.figures, *measured.process]
    roles = capacity_roles.roles(measured.at)
    found.append(
        Figure(
            "capacity: processor time of all roles",
            sum(role.milliseconds for role in roles),
            "ms/s",
            limit=ALLOWED_MILLISECONDS,
        )
    )
    found.append(
        Figure(
            "capacity: bytes sent by all roles",
            sum(role.size for role in roles),
            "B/s",
            limit=ALLOWED_BYTES,
        )
    )
    return found


def tables(measured: Measured, load_before: float) -> str:
    """Return the generated part of the page."""
    roles = capacity_roles.roles(measured.at)
    commit = runner_worktree.describe(PAGE.parent)
    head = (
        f"Printed by `python -m measure.capacity` at {commit}, "
        f"{len(os.sched_getaffinity(0))} cores, load average {load_before:.1f} before "
        f"and {os.getloadavg()[0]:.1f} after, {time.strftime('%Y-%m-%d %H:%M')}.\n"
    )
    return "\n".join(
        [
            head,
            "### Roles\n",
            _role_table(roles, measured.at),
            "### Store\n",
            _store_table(measured.at),
            "### A change by its kind\n",
            _change_table(),
            "### Slopes\n",
            _slope_table(measured.slopes),
            "### Partial views\n",
            _figure_table(measured.figures),
            "### One process\n",
            _figure_table(measured.process),
        ]
    )


def _role_table(roles: list[Role], at: dict[str, float]) -> str:
    """Return the table of roles with their sums."""
    lines = [
        "| role | mechanism that carries it | state | messages/s out | in | "
        "bytes/s out | processor ms/s |",
        "|---|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {role.name} | {role.mechanism} | {role.state_mb:.1f} MB | "
        f"{role.messages:.1f} | {role.messages:.1f} | {role.size:,.0f} | "
        f"{role.milliseconds:.2f} |"
        for role in roles
    ]
    state = sum(role.state_mb for role in roles)
    messages = sum(role.messages for role in roles)
    size = sum(role.size for role in roles)
    spent = sum(role.milliseconds for role in roles)
    lines += [
        f"| interpreter and libraries | | {at['process MB']:.1f} MB | | | | |",
        f"| **sum** | | **{state + at['process MB']:.0f} MB** | {messages:.1f} | "
        f"{messages:.1f} | **{size:,.0f}** | **{spent:.1f}** |",
        f"| **allowance** | | {ALLOWED_MB:.0f} MB | | | {ALLOWED_BYTES:,.0f} | "
        f"{ALLOWED_MILLISECONDS:.0f} |",
    ]
    return "\n".join(lines) + "\n"


def _store_table(at: dict[str, float]) -> str:
    """Return the store's calls in an ordinary second."""
    calls = capacity_roles.store_calls(at)
    lines = [
        "| kind | reads/s | writes/s | waiting watches | arithmetic |",
        "|---|---|---|---|---|",
    ]
    lines += [
        f"| {one.name} | {one.reads:.1f} | {one.writes:.1f} | {one.waiting:.0f} | "
        f"{one.arithmetic} |"
        for one in calls
    ]
    lines.append(
        f"| **sum** | **{sum(one.reads for one in calls):.0f}** | "
        f"**{sum(one.writes for one in calls):.0f}** | "
        f"**{sum(one.waiting for one in calls):.0f}** | |"
    )
    return "\n".join(lines) + "\n"


def _change_table() -> str:
    """Return what changes of different records cost each node in bytes."""
    lines = [
        "| changed record | bytes | B/s if all changes were such |",
        "|---|---|---|",
    ]
    rate = capacity_roles.CHANGES_A_SECOND * capacity_roles.PUSHES
    lines += [
        f"| {kind} | {size:,} | {rate * size:,.0f} |"
        for kind, size in capacity_roles.entry_bytes().items()
    ]
    return "\n".join(lines) + "\n"


def _slope_table(slopes: list[Slope]) -> str:
    """Return the points of all slopes."""
    lines = ["| cost | over | points | one more | linear |", "|---|---|---|---|---|"]
    for slope in slopes:
        points = "; ".join(f"{size:,.0f}: {_text(v)}" for size, v in slope.points)
        linear = "yes" if slope.is_linear else "no"
        lines.append(
            f"| {slope.name}, {slope.unit} | {slope.over} | {points} | "
            f"{slope.each:.3g} | {linear} |"
        )
    return "\n".join(lines) + "\n"


def _figure_table(figures: list[Figure]) -> str:
    """Return figures with what they are compared with."""
    lines = ["| figure | value | against |", "|---|---|---|"]
    for one in figures:
        against = ""
        if one.baseline is not None:
            against = f"{_text(one.baseline)} {one.baseline_name}"
        elif one.limit is not None:
            against = f"{_text(one.limit)} allowed"
        name = one.name.removeprefix("capacity: ")
        lines.append(f"| {name} | {_text(one.value)} {one.unit} | {against} |")
    return "\n".join(lines) + "\n"


def _text(value: float) -> str:
    """Return a number with three or four digits that matter."""
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def main() -> None:
    """Print the tables, or put them into the page."""
    load_before = os.getloadavg()[0]
    text = tables(measure(), load_before)
    if "--write" not in sys.argv:
        print(text)
        return
    page = PAGE.read_text()
    first, rest = page.split(BEGIN)
    PAGE.write_text(f"{first}{BEGIN}\n{text}\n{END}{rest.split(END)[1]}")


if __name__ == "__main__":
    main()
