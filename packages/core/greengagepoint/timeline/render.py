"""Render a merged time line as text and as a page for a browser."""

from collections.abc import Iterable, Sequence
from html import escape
from typing import Any, Final

from greengagepoint.events import Occurrence
from greengagepoint.timeline.page import PAGE
from greengagepoint.timeline.ring import (
    FIELD_REQUEST_ID,
    FIELD_SITE,
    FIELD_TEAM,
)
from greengagepoint.timeline.wire import event_level, event_name, time_text

# With more hosts a column for each is too narrow to read; they share one then.
LANES_MAX: Final = 16
FILTERED_FIELDS: Final = (FIELD_REQUEST_ID, FIELD_TEAM, FIELD_SITE)


def render_text(occurrences: Iterable[Occurrence]) -> str:
    """Return one line for each event."""
    return "".join(f"{_text_line(occurrence)}\n" for occurrence in occurrences)


def render_html(
    occurrences: Sequence[Occurrence],
    missing: Sequence[str] = (),
    title: str = "Time line",
) -> str:
    """Return a page that needs nothing else, with a lane a host and filter boxes.

    ``missing`` names hosts that did not answer. All that comes from events is escaped
    and stands in the rows only, never in the script.
    """
    hosts = sorted({occurrence.host for occurrence in occurrences})
    lanes = hosts if len(hosts) <= LANES_MAX else []
    rows = "\n".join(_row(occurrence, lanes) for occurrence in occurrences)
    heads = "".join(f"<th>{escape(host)}</th>" for host in lanes or ["host"])
    gap = f"<p>No answer from: {escape(', '.join(missing))}.</p>" if missing else ""
    return PAGE.substitute(
        title=escape(title),
        count=len(occurrences),
        missing=gap,
        heads=heads,
        rows=rows,
    )


def _text_line(occurrence: Occurrence) -> str:
    """Return an event as one line; control characters can't forge another."""
    fields = "".join(
        f" {_visible(name)}={_visible(value)}"
        for name, value in occurrence.fields.items()
    )
    milliseconds, counter = occurrence.clock
    stamp = f"{time_text(milliseconds)}+{counter}"
    host = _visible(occurrence.host)
    number = int(occurrence.event)
    return f"{stamp} {host} {number} {event_name(occurrence.event)}{fields}"


def _visible(value: Any) -> str:
    """Return a value without characters that a terminal would act on."""
    return "".join(
        character if character.isprintable() else repr(character)[1:-1]
        for character in str(value)
    )


def _row(occurrence: Occurrence, lanes: Sequence[str]) -> str:
    """Return an event as a row of the table."""
    fields = occurrence.fields
    data = {name: fields.get(name, "") for name in FILTERED_FIELDS}
    data["kind"] = f"{int(occurrence.event)} {event_name(occurrence.event)}"
    data["host"] = occurrence.host
    attributes = "".join(
        f' data-{name.replace("_", "-")}="{escape(_visible(value))}"'
        for name, value in data.items()
    )
    milliseconds, counter = occurrence.clock
    time = f"<td class=time>{escape(time_text(milliseconds))}+{counter}</td>"
    cells = _cells(occurrence, lanes)
    level = escape(str(event_level(occurrence.event)))
    return f'<tr class="{level}"{attributes}>{time}{cells}</tr>'


def _cells(occurrence: Occurrence, lanes: Sequence[str]) -> str:
    """Return the cell of the event in the lane of its host."""
    pairs = "".join(
        f" <span>{escape(_visible(name))}=<b>{escape(_visible(value))}</b></span>"
        for name, value in occurrence.fields.items()
    )
    body = f"<i>{escape(event_name(occurrence.event))}</i>{pairs}"
    if not lanes:
        return f"<td>{escape(_visible(occurrence.host))}: {body}</td>"
    return "".join(
        f"<td>{body}</td>" if host == occurrence.host else "<td></td>" for host in lanes
    )
