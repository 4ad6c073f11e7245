"""Commands that show the state of the system."""

from typing import Annotated

import typer

from greengagepoint.events import CATALOGUE, Event
from greengagepoint.operator_api import LookupAnswer, UsageAnswer
from greengagepoint.usage.counters import UsageLine, render_csv
from greengagepoint_cli.api import run_call
from greengagepoint_cli.const import ExitCode, Output, UsageOutput
from greengagepoint_cli.fleet import FleetStatus, fleet_status
from greengagepoint_cli.options import (
    OutputOption,
    Servers,
)
from greengagepoint_cli.output import Column, field, show, show_json, show_table
from greengagepoint_cli.survey import async_statuses

HOST_COLUMNS = (
    field("name", "host"),
    field("region"),
    field("zone"),
    field("state"),
    field("generation", right=True),
    field("in_flight", right=True),
    field("fault"),
)
HEADROOM_COLUMNS = (
    field("region"),
    field("capacity", right=True),
    field("owned", right=True),
    field("used", right=True),
    field("headroom", right=True),
)
CAP_COLUMNS = (
    field("site"),
    field("region"),
    field("limit", right=True),
    field("owned", right=True),
    field("in_flight", right=True),
    field("headroom", right=True),
)
SHIFT_COLUMNS = (
    field("name", "shift"),
    field("service"),
    field("from_site", "from"),
    field("to_site", "to"),
    field("fraction", right=True),
    field("target", right=True),
    field("cause"),
)
DRAIN_COLUMNS = (
    field("site"),
    field("backend_server"),
    field("service"),
    field("in_flight", right=True),
    field("remaining_seconds", right=True),
)
LOOKUP_COLUMNS = (
    field("name", "host"),
    field("address"),
    field("region"),
    field("zone"),
    field("priority", right=True),
    field("weight", right=True),
)
USAGE_MEMBERS = tuple(UsageLine.__annotations__)
USAGE_COLUMNS = tuple(
    field(name, right=index > 2) for index, name in enumerate(USAGE_MEMBERS)
)
EVENT_COLUMNS = (
    field("number", right=True),
    field("name"),
    field("level"),
    field("meaning"),
)
STATUS_TABLES: tuple[tuple[str, tuple[Column, ...]], ...] = (
    ("hosts", HOST_COLUMNS),
    ("headroom", HEADROOM_COLUMNS),
    ("caps", CAP_COLUMNS),
    ("shifts", SHIFT_COLUMNS),
    ("drains", DRAIN_COLUMNS),
)


def register(app: typer.Typer) -> None:
    """Add the commands of this module."""
    for command in (status, hosts, usage, prune, events):
        app.command()(command)


def status(server: Servers = None, output: OutputOption = Output.TABLE) -> None:
    """Show hosts, headroom, caps, shifts and drains; exit with 5 if one is missing."""
    answers = run_call(server, async_statuses)
    document = fleet_status(answers)
    if output is Output.JSON:
        show_json(document)
    else:
        _show_status(document)
    if any(answer.document is None for answer in answers):
        raise typer.Exit(ExitCode.UNREACHABLE)


def _show_status(document: FleetStatus) -> None:
    """Print the tables that have rows."""
    parts = [(name, columns) for name, columns in STATUS_TABLES if document[name]]
    for index, (name, columns) in enumerate(parts):
        if index:
            typer.echo()
        show_table(document[name], columns)


def hosts(
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    address: Annotated[
        str | None, typer.Option(help="Answer as for a caller at this IP address.")
    ] = None,
    server: Servers = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Show which entry hosts a caller of a service is told."""
    params = {"service": service} | ({"address": address} if address else {})
    answer = run_call(
        server,
        lambda api: api.async_get("/v1/hosts", LookupAnswer, params),
    )
    show(answer, answer["hosts"], LOOKUP_COLUMNS, output)


def usage(
    since: Annotated[
        str | None, typer.Option(help="First day, as 2026-12-02 in UTC.")
    ] = None,
    until: Annotated[
        str | None, typer.Option(help="Last day, as 2026-12-02 in UTC.")
    ] = None,
    team: Annotated[str | None, typer.Option(help="Only this team.")] = None,
    server: Servers = None,
    output: Annotated[
        UsageOutput, typer.Option(help="Form of what is printed.")
    ] = UsageOutput.TABLE,
) -> None:
    """Show what each team sent."""
    wanted = {"since": since, "until": until}
    days = {name: day for name, day in wanted.items() if day is not None}
    answer = run_call(
        server,
        lambda api: api.async_get("/v1/usage", UsageAnswer, days),
    )
    rows = [
        row
        for row in answer["rows"]
        if (since is None or row["day"] >= since)
        and (until is None or row["day"] <= until)
        and team in (None, row["team"])
    ]
    if output is UsageOutput.CSV:
        typer.echo(render_csv(rows), nl=False)
    else:
        show({"rows": rows}, rows, USAGE_COLUMNS, Output(output.value))


def prune(
    before: Annotated[str, typer.Argument(help="First day that is kept, in UTC.")],
    server: Servers = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Delete usage of days before a day from the store; export it first."""
    answer = run_call(
        server,
        lambda api: api.async_prune_usage(before),
    )
    if output is Output.JSON:
        show_json(answer)
    else:
        typer.echo(f"{answer['deleted']} counters are deleted")


def events(output: OutputOption = Output.TABLE) -> None:
    """Show the catalogue of events."""
    rows = [
        {
            "number": int(event),
            "name": event.name.lower(),
            "level": CATALOGUE[event].level.value,
            "meaning": CATALOGUE[event].meaning,
        }
        for event in sorted(Event)
    ]
    show(rows, rows, EVENT_COLUMNS, output)
