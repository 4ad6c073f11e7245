"""The command that merges the events of all hosts."""

from pathlib import Path
from typing import Annotated, NamedTuple

import typer

from greengagepoint.events import Event, Occurrence
from greengagepoint.operator_api import TimelineAnswer
from greengagepoint.records.loading import suggest
from greengagepoint.timeline import from_lines, merge_events, render_html, render_text
from greengagepoint.timeline.ring import order_key
from greengagepoint.timeline.wire import TimelineLine
from greengagepoint_cli.api import run_call
from greengagepoint_cli.const import ExitCode, TimelineOutput
from greengagepoint_cli.errors import ClientError
from greengagepoint_cli.options import (
    Servers,
    parse_moment,
)
from greengagepoint_cli.output import json_text
from greengagepoint_cli.survey import HostAnswer, async_ask_all


class MergedTimeline(NamedTuple):
    """The events of all hosts, in the same order as read and as hosts gave them.

    ``lines`` keep what a newer host tells of an event that this client doesn't know.
    """

    occurrences: list[Occurrence]
    lines: list[TimelineLine]


def register(app: typer.Typer) -> None:
    """Add the command of this module."""
    app.command()(timeline)


def timeline(
    request_id: Annotated[
        str | None, typer.Option(help="Only events of this request.")
    ] = None,
    team: Annotated[str | None, typer.Option(help="Only events of this team.")] = None,
    site: Annotated[str | None, typer.Option(help="Only events of this site.")] = None,
    kind: Annotated[
        str | None, typer.Option(help="Only this event, by number or name.")
    ] = None,
    since: Annotated[
        str | None,
        typer.Option(help="Only later events: RFC 3339, or as 5m for minutes ago."),
    ] = None,
    file: Annotated[
        Path | None, typer.Option(help="Write to this file.", dir_okay=False)
    ] = None,
    server: Servers = None,
    output: Annotated[
        TimelineOutput, typer.Option(help="Form of what is printed.")
    ] = TimelineOutput.TEXT,
) -> None:
    """Show the events of all hosts in order; exit with 5 if one is missing."""
    filters = {"request_id": request_id, "team": team, "site": site}
    filters["kind"] = None if kind is None else _checked_kind(kind)
    params = {name: value for name, value in filters.items() if value is not None}
    if since is not None:
        moment = parse_moment(since, "--since")
        params["since"] = str(max(0, int(moment.timestamp() * 1000)))
    answers = run_call(
        server,
        lambda api: async_ask_all(api, "/v1/timeline", TimelineAnswer, params),
    )
    missing = [answer for answer in answers if answer.document is None]
    if missing and len(missing) == len(answers):
        raise ClientError(ExitCode.SERVER_ERROR, *(one.fault for one in missing))
    _write(merge(answers), [one.host for one in missing], output, file)
    for answer in missing:
        typer.echo(f"no events from {answer.host}: {answer.fault}", err=True)
    if missing:
        raise typer.Exit(ExitCode.UNREACHABLE)


def merge(answers: list[HostAnswer[TimelineAnswer]]) -> MergedTimeline:
    """Return the events of all hosts in the order of their hybrid clocks."""
    rings = []
    lines = {}
    for answer in answers:
        if answer.document is None:
            continue
        rows = answer.document["events"]
        ring = from_lines(rows)
        rings.append(ring)
        lines |= zip(map(order_key, ring), rows, strict=True)
    occurrences = merge_events(rings)
    return MergedTimeline(
        occurrences, [lines[order_key(occurrence)] for occurrence in occurrences]
    )


def _checked_kind(text: str) -> str:
    """Return a kind of event as hosts take it; a newer host may know more numbers."""
    names = [event.name.lower() for event in Event]
    if not text.isdigit() and text.lower() not in names:
        hint = suggest(text.lower(), names)
        raise ClientError(
            ExitCode.USAGE,
            f"--kind: {text!r} is not an event{hint} "
            "(accepted: a number or name that `events` shows)",
        )
    return text


def _write(
    merged: MergedTimeline,
    missing: list[str],
    output: TimelineOutput,
    file: Path | None,
) -> None:
    """Print the events, or write them to a file."""
    if output is TimelineOutput.JSON:
        text = json_text({"events": merged.lines, "missing": missing})
    elif output is TimelineOutput.HTML:
        text = render_html(merged.occurrences, missing)
    else:
        text = render_text(merged.occurrences)
    if file is None:
        typer.echo(text, nl=False)
    else:
        file.write_text(text, encoding="utf-8")
