"""Commands that read and write steering records."""

from typing import Annotated

import typer

from greengagepoint.operator_api import HistoryAnswer, HistoryChange, RecordsAnswer
from greengagepoint.records.difference import Difference, DifferenceKind
from greengagepoint.records.schemas import RecordKind
from greengagepoint_cli.api import Api, run_call
from greengagepoint_cli.const import ExitCode, Output
from greengagepoint_cli.documents import (
    async_current,
    change_of,
    changes_of,
    check_alone,
    check_with_current,
    read_documents,
    wanted_differences,
)
from greengagepoint_cli.errors import ClientError
from greengagepoint_cli.options import (
    Author,
    OutputOption,
    Servers,
    Timeout,
    Watch,
    WriteId,
    WriteOptions,
)
from greengagepoint_cli.output import Column, as_time, field, show, show_json
from greengagepoint_cli.writing import Written, async_write, describe_change

Paths = Annotated[
    list[str], typer.Argument(help="TOML files, folders of them, or - for input.")
]
Prune = Annotated[
    bool, typer.Option("--prune", help="Also delete records that no file holds.")
]
SIGNS = {
    DifferenceKind.CREATE: "+",
    DifferenceKind.CHANGE: "~",
    DifferenceKind.DELETE: "-",
}
RECORD_COLUMNS = (
    field("kind"),
    field("name"),
    field("schema_version", "schema", right=True),
    field("generation", right=True),
    field("fields"),
)
HISTORY_COLUMNS = (
    field("generation", right=True),
    Column("at", lambda row: as_time(row["at_ms"])),
    field("author"),
    field("write_id"),
    Column("changes", lambda row: [_changed(one) for one in row["changes"]]),
)


def register(app: typer.Typer) -> None:
    """Add the commands of this module."""
    for command in (validate, diff, apply, remove, get, history):
        app.command()(command)


def validate(
    paths: Paths,
    with_current: Annotated[
        bool,
        typer.Option("--with-current", help="Check together with those in force."),
    ] = False,
    server: Servers = None,
) -> None:
    """Check records without changing anything."""
    wanted = read_documents(paths)
    if with_current:
        current = run_call(server, async_current)
        check_with_current(wanted, current)
    else:
        check_alone(wanted)
    typer.echo(f"{len(wanted)} records are acceptable")


def diff(
    paths: Paths,
    prune: Prune = False,
    server: Servers = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Show what applying records would change; exit with 1 if anything."""
    wanted = read_documents(paths)
    current = run_call(server, async_current)
    differences = wanted_differences(wanted, current, prune=prune)
    _show_differences(differences, output)
    if differences:
        raise typer.Exit(ExitCode.DIFFERENT)


def apply(
    paths: Paths,
    prune: Prune = False,
    author: Author = None,
    write_id: WriteId = None,
    watch: Watch = False,
    timeout: Timeout = 30.0,
    server: Servers = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Put records in force, all or none."""
    wanted = read_documents(paths)
    options = WriteOptions(author, write_id, timeout if watch else None)

    async def async_apply(api: Api) -> Written:
        current = await async_current(api)
        differences = wanted_differences(wanted, current, prune=prune)
        removed = [
            f"{one.kind}/{one.name}"
            for one in differences
            if one.change is DifferenceKind.DELETE
        ]
        check_with_current(wanted, current, removed)
        changes = changes_of(differences, wanted, current)
        return await async_write(api, current, changes, options)

    _show_written(run_call(server, async_apply), output)


def remove(
    kind: RecordKind,
    name: Annotated[str, typer.Argument(help="Name of the record.")],
    author: Author = None,
    write_id: WriteId = None,
    watch: Watch = False,
    timeout: Timeout = 30.0,
    server: Servers = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Delete one record."""
    options = WriteOptions(author, write_id, timeout if watch else None)

    async def async_remove(api: Api) -> Written:
        current = await async_current(api)
        if f"{kind}/{name}" not in current.generations:
            raise ClientError(
                ExitCode.RECORD_REFUSED, f"{kind}/{name}: there is no such record"
            )
        check_with_current([], current, [f"{kind}/{name}"])
        changes = [change_of(kind, name, None, current)]
        return await async_write(api, current, changes, options)

    _show_written(run_call(server, async_remove), output)


def get(
    kind: Annotated[RecordKind | None, typer.Argument(help="Kind of record.")] = None,
    name: Annotated[str | None, typer.Argument(help="Name of the record.")] = None,
    server: Servers = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Show the records in force."""
    answer = run_call(
        server,
        lambda api: api.async_get("/v1/records", RecordsAnswer),
    )
    rows = [
        row
        for row in answer["documents"]
        if kind in (None, row["kind"]) and name in (None, row["name"])
    ]
    if name is not None and not rows:
        raise ClientError(
            ExitCode.RECORD_REFUSED, f"{kind}/{name}: there is no such record"
        )
    show(answer | {"documents": rows}, rows, RECORD_COLUMNS, output)


def history(
    limit: Annotated[int, typer.Option(min=1, max=1000, help="Most entries.")] = 20,
    server: Servers = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Show the newest changes."""
    answer = run_call(
        server,
        lambda api: api.async_get("/v1/history", HistoryAnswer, {"limit": str(limit)}),
    )
    show(answer, answer["entries"], HISTORY_COLUMNS, output)


def _changed(change: HistoryChange) -> str:
    """Return one word for a change of the history."""
    deleted = change.get("document") is None
    return describe_change(change["kind"], change["name"], deleted=deleted)


def _show_written(written: Written, output: Output) -> None:
    """Print what a write came to."""
    if output is Output.JSON:
        show_json(written)
    elif not written["changes"]:
        typer.echo(f"nothing to change; generation {written['generation']} is in force")
    else:
        count = len(written["changes"])
        typer.echo(f"generation {written['generation']}: {count} records changed")


def _show_differences(differences: list[Difference], output: Output) -> None:
    """Print differences, one record or field on a line."""
    if output is Output.JSON:
        show_json(
            [
                one._asdict() | {"fields": [part._asdict() for part in one.fields]}
                for one in differences
            ]
        )
        return
    for one in differences:
        typer.echo(f"{SIGNS[one.change]} {one.kind}/{one.name}")
        if one.change is DifferenceKind.CHANGE:
            for part in one.fields:
                typer.echo(f"    {part.path}: {part.current!r} -> {part.wanted!r}")
