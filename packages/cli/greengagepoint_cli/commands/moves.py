"""Commands that write drain and shift records."""

import re
from collections.abc import Callable, Sequence
from typing import Annotated, Any

import typer

from greengagepoint.operator_api import DrainPart, StatusAnswer
from greengagepoint.records.loading import RecordDocument
from greengagepoint.records.schemas import NEWEST_VERSIONS, DrainTarget, RecordKind
from greengagepoint_cli.api import Api, run_call
from greengagepoint_cli.commands.state import DRAIN_COLUMNS, HOST_COLUMNS
from greengagepoint_cli.const import Output
from greengagepoint_cli.documents import async_current, change_of, check_with_current
from greengagepoint_cli.fleet import HostRow, async_wait, drains, fleet_status
from greengagepoint_cli.options import (
    Author,
    OutputOption,
    Servers,
    Timeout,
    Watch,
    WriteId,
    WriteOptions,
    as_record_time,
    parse_moment,
)
from greengagepoint_cli.output import show_json, show_table
from greengagepoint_cli.survey import HostAnswer, async_statuses
from greengagepoint_cli.writing import Written, async_write

RECORD_NAME = re.compile(r"[^a-z0-9.-]+")
COMMANDS = {
    "backend-server": DrainTarget.BACKEND_SERVER,
    "host": DrainTarget.HOST,
    "site": DrainTarget.SITE,
}
StartAt = Annotated[
    str | None, typer.Option(help="When it begins, RFC 3339; now by default.")
]


class Moved(Written):
    """What a drain came to, and what is still in flight or where its host is."""

    remaining: list[DrainPart] | list[HostRow]


def register(app: typer.Typer) -> None:
    """Add the commands of this module."""
    group = typer.Typer(no_args_is_help=True, help="Empty what is about to leave.")
    for name, target_kind in COMMANDS.items():
        group.command(name, help=f"Drain a {name.replace('-', ' ')}.")(
            _drain_command(target_kind)
        )
    app.add_typer(group, name="drain")
    app.command()(shift)


def _drain_command(target_kind: DrainTarget) -> Callable[..., None]:
    """Return the command that drains one kind of target."""

    def drain(
        target: Annotated[str, typer.Argument(help="Name of what is drained.")],
        start_at: StartAt = None,
        leave_at: Annotated[
            str | None, typer.Option(help="When it leaves, RFC 3339.")
        ] = None,
        name: Annotated[
            str | None, typer.Option(help="Name of the record; made from the target.")
        ] = None,
        author: Author = None,
        write_id: WriteId = None,
        watch: Watch = False,
        timeout: Timeout = 120.0,
        server: Servers = None,
        output: OutputOption = Output.TABLE,
    ) -> None:
        fields = {
            "target_kind": target_kind.value,
            "target": target,
            "start_at": as_record_time(parse_moment(start_at, "--start-at")),
        }
        if leave_at is not None:
            fields["leave_at"] = as_record_time(parse_moment(leave_at, "--leave-at"))
        record = name or record_name(f"drain-{target}")
        document = _document(RecordKind.DRAIN, record, fields)
        options = WriteOptions(author, write_id, timeout if watch else None)

        async def async_drain(api: Api) -> Moved:
            # A host that has not taken the drain over yet names nothing that
            # remains, so "drained" would come too early.
            written = await _async_put(api, document, options)
            if watch:
                await _async_drained(api, target_kind, target, timeout)
            answers = await async_statuses(api)
            return Moved(**written, remaining=remaining(answers, target_kind, target))

        written = run_call(server, async_drain)
        _show_move(written, f"drain/{record}", output)

    return drain


def shift(
    name: Annotated[str, typer.Argument(help="Name of the record.")],
    service: Annotated[str, typer.Option(help="Whose traffic moves.")],
    from_site: Annotated[str, typer.Option(help="Site that it leaves.")],
    to_site: Annotated[str, typer.Option(help="Site that it goes to.")],
    fraction: Annotated[float, typer.Option(help="Part that moves, 0 to 1.")],
    ramp_seconds: Annotated[int, typer.Option(help="Seconds for the whole way.")] = 60,
    start_at: StartAt = None,
    author: Author = None,
    write_id: WriteId = None,
    server: Servers = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Move a fraction of a service's traffic from one site to another."""
    fields = {
        "service": service,
        "from_site": from_site,
        "to_site": to_site,
        "fraction": fraction,
        "start_at": as_record_time(parse_moment(start_at, "--start-at")),
        "ramp_seconds": ramp_seconds,
    }
    document = _document(RecordKind.SHIFT, name, fields)
    options = WriteOptions(author, write_id)
    written = run_call(server, lambda api: _async_put(api, document, options))
    _show_move(written, f"shift/{name}", output)


def record_name(text: str) -> str:
    """Return a text as the name of a record."""
    return RECORD_NAME.sub("-", text.lower())[:63].strip(".-")


def remaining(
    answers: Sequence[HostAnswer[StatusAnswer]], target_kind: DrainTarget, target: str
) -> list[DrainPart] | list[HostRow]:
    """Return what a drain still waits for."""
    known = [answer.document for answer in answers if answer.document is not None]
    if target_kind is DrainTarget.HOST:
        rows = fleet_status(answers)["hosts"]
        return [row for row in rows if row["name"] == target]
    member = "site" if target_kind is DrainTarget.SITE else "backend_server"
    return [row for row in drains(known) if row[member] == target]


async def _async_put(
    api: Api, document: RecordDocument, options: WriteOptions
) -> Written:
    """Write one record over what is in force."""
    current = await async_current(api)
    check_with_current([document], current)
    change = change_of(document.kind, document.name, document, current)
    return await async_write(api, current, [change], options)


async def _async_drained(
    api: Api, target_kind: DrainTarget, target: str, seconds: float
) -> None:
    """Wait until nothing is in flight to what is drained."""

    async def async_check() -> bool:
        answers = await async_statuses(api)
        if any(answer.document is None for answer in answers):
            return False
        rows = remaining(answers, target_kind, target)
        return bool(rows) and all(not row["in_flight"] for row in rows)

    await async_wait(async_check, seconds, f"{target} is drained")


def _document(kind: RecordKind, name: str, fields: dict[str, Any]) -> RecordDocument:
    """Return a record at the newest schema version."""
    return RecordDocument(
        kind=kind.value, name=name, schema_version=NEWEST_VERSIONS[kind], fields=fields
    )


def _show_move(written: Written | Moved, reference: str, output: Output) -> None:
    """Print what was written and what remains."""
    if output is Output.JSON:
        show_json(written)
        return
    typer.echo(f"generation {written['generation']}: {reference} is written")
    rows = written.get("remaining")
    if rows:
        show_table(rows, DRAIN_COLUMNS if "site" in rows[0] else HOST_COLUMNS)
