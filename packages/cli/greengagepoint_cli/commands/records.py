"""Commands that read and write steering records."""

import secrets
from typing import Annotated, Any

import typer

from greengagepoint.records.difference import Difference, DifferenceKind
from greengagepoint.records.schemas import RecordKind
from greengagepoint_cli.answers import HistoryAnswer, RecordsAnswer
from greengagepoint_cli.api import Api, run_call
from greengagepoint_cli.const import ExitCode, Output
from greengagepoint_cli.documents import (
    Current,
    async_current,
    change_of,
    changes_of,
    check_alone,
    check_with_current,
    read_documents,
    wanted_differences,
)
from greengagepoint_cli.errors import ClientError
from greengagepoint_cli.fleet import async_wait, behind
from greengagepoint_cli.options import (
    Author,
    OutputOption,
    Servers,
    Timeout,
    Watch,
    WriteId,
    author_name,
    operator_key,
    server_list,
)
from greengagepoint_cli.output import Column, as_time, field, show, show_json
from greengagepoint_cli.survey import async_statuses

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
    Column("changes", lambda row: [_describe_change(one) for one in row["changes"]]),
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
        current = run_call(server_list(server), operator_key(), async_current)
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
    current = run_call(server_list(server), operator_key(), async_current)
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

    async def async_apply(api: Api) -> dict[str, Any]:
        current = await async_current(api)
        differences = wanted_differences(wanted, current, prune=prune)
        removed = [
            f"{one.kind}/{one.name}"
            for one in differences
            if one.change is DifferenceKind.DELETE
        ]
        check_with_current(wanted, current, removed)
        changes = changes_of(differences, wanted, current)
        return await async_write(
            api, current, changes, author, write_id, timeout if watch else None
        )

    _show_written(run_call(server_list(server), operator_key(), async_apply), output)


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

    async def async_remove(api: Api) -> dict[str, Any]:
        current = await async_current(api)
        if f"{kind}/{name}" not in current.generations:
            raise ClientError(
                ExitCode.RECORD_REFUSED, f"{kind}/{name}: there is no such record"
            )
        check_with_current([], current, [f"{kind}/{name}"])
        changes = [change_of(kind, name, None, current)]
        return await async_write(
            api, current, changes, author, write_id, timeout if watch else None
        )

    _show_written(run_call(server_list(server), operator_key(), async_remove), output)


def get(
    kind: Annotated[RecordKind | None, typer.Argument(help="Kind of record.")] = None,
    name: Annotated[str | None, typer.Argument(help="Name of the record.")] = None,
    server: Servers = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Show the records in force."""
    answer = run_call(
        server_list(server),
        operator_key(),
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
        server_list(server),
        operator_key(),
        lambda api: api.async_get("/v1/history", HistoryAnswer, {"limit": str(limit)}),
    )
    show(answer, answer["entries"], HISTORY_COLUMNS, output)


async def async_write(
    api: Api,
    current: Current,
    changes: list[dict[str, Any]],
    author: str | None,
    write_id: str | None,
    wait_seconds: float | None,
) -> dict[str, Any]:
    """Write changes and, where asked, wait until all hosts have them in force."""
    if not changes:
        return {"generation": current.generation, "write_id": None, "changes": []}
    body = {
        "author": author_name(author),
        "write_id": write_id or secrets.token_hex(16),
        "changes": changes,
    }
    answer = await api.async_apply(body)
    if wait_seconds is not None:
        await _async_in_force(api, answer["generation"], wait_seconds)
    return {
        "generation": answer["generation"],
        "write_id": body["write_id"],
        "changes": [_describe_change(change) for change in changes],
    }


async def _async_in_force(api: Api, generation: int, seconds: float) -> None:
    """Wait until every host has a generation."""
    waiting: list[str] = []

    async def async_check() -> bool:
        waiting[:] = behind(await async_statuses(api), generation)
        return not waiting

    try:
        await async_wait(async_check, seconds, f"generation {generation} is in force")
    except ClientError as error:
        raise ClientError(
            error.exit_code, *error.lines, f"waiting for: {', '.join(waiting)}"
        ) from None


def _describe_change(change: dict[str, Any]) -> str:
    """Return one word for a change, with its sign."""
    sign = "-" if change.get("document") is None else "+"
    return f"{sign}{change['kind']}/{change['name']}"


def _show_written(written: dict[str, Any], output: Output) -> None:
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
