"""Render the event catalogue as docs/EVENTS.md."""

from typing import Final

from greengagepoint.events import CATALOGUE, Event

GROUP_SIZE: Final = 1000
GROUPS: Final[dict[int, str]] = {
    1: "The process",
    2: "Requests",
    3: "Configuration",
    4: "Membership",
    5: "Caps, region budgets and shifts",
    6: "Backend servers",
    7: "The platform",
    8: "Usage",
    9: "Peers",
}
HEAD: Final = """\
# Events

Every event that a daemon logs and keeps on its time line. A number is never given to
another event. Made from `events.py` by
`python -m greengagepoint.timeline.catalogue > docs/EVENTS.md`.
"""


def render() -> str:
    """Return the whole page."""
    return "\n".join([HEAD, *(_section(group) for group in _groups())])


def _groups() -> list[int]:
    """Return the groups that have events."""
    return sorted({int(event) // GROUP_SIZE for event in Event})


def _section(group: int) -> str:
    """Return the table of one group."""
    title = GROUPS.get(group, "Others")
    lines = [
        f"## {group * GROUP_SIZE}: {title}",
        "",
        "| number | name | level | meaning |",
        "|---|---|---|---|",
    ]
    for event in sorted(Event):
        if int(event) // GROUP_SIZE == group:
            row = CATALOGUE[event]
            name = event.name.lower()
            lines.append(f"| {int(event)} | `{name}` | {row.level} | {row.meaning} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(render(), end="")
