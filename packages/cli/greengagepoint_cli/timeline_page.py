"""Render the time line as an HTML page that loads nothing."""

from collections.abc import Sequence
from html import escape
from typing import Final

from greengagepoint.events import CATALOGUE, Event
from greengagepoint_cli.answers import TimelineEvent
from greengagepoint_cli.output import as_time

STYLE: Final = """\
body { font: 14px/1.4 sans-serif; margin: 1.5em; }
table { border-collapse: collapse; }
th, td { padding: 2px 10px 2px 0; text-align: left; vertical-align: top; }
th { border-bottom: 1px solid #888; position: sticky; top: 0; background: #fff; }
td.time, td.fields { font-family: monospace; white-space: pre-wrap; }
tr.warning td.name { color: #a60; }
tr.error td.name { color: #b00; font-weight: bold; }
tr:hover { background: #f2f2f2; }
"""


def render_page(events: Sequence[TimelineEvent], missing: Sequence[str]) -> str:
    """Return the page; ``missing`` names hosts that did not answer."""
    rows = "\n".join(_row(event) for event in events)
    gap = f"<p>No answer from: {escape(', '.join(missing))}.</p>" if missing else ""
    return f"""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>greengagepoint time line</title>
<style>
{STYLE}</style></head><body>
<h1>Time line</h1>
<p>{len(events)} events, ordered by hybrid logical clock.</p>{gap}
<table><thead><tr><th>time</th><th>host</th><th>event</th><th>fields</th></tr></thead>
<tbody>
{rows}
</tbody></table></body></html>
"""


def _row(event: TimelineEvent) -> str:
    """Return the table row of one event; all that came from outside is escaped."""
    milliseconds, counter = event["clock"]
    title, level = _describe(event["number"])
    fields = " ".join(f"{name}={value}" for name, value in event["fields"].items())
    return (
        f'<tr class="{level}"><td class="time">{as_time(milliseconds)}.{counter}</td>'
        f"<td>{escape(str(event['host']))}</td>"
        f'<td class="name" title="{escape(title)}">{event["number"]} '
        f"{escape(str(event['name']).lower())}</td>"
        f'<td class="fields">{escape(fields)}</td></tr>'
    )


def _describe(number: int) -> tuple[str, str]:
    """Return meaning and level of an event, also of one not known here."""
    try:
        row = CATALOGUE[Event(number)]
    except ValueError:
        return "an event of a newer version", "info"
    return row.meaning, row.level.value
