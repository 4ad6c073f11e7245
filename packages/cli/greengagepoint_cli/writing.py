"""Write changes of records and wait until they are in force."""

import secrets
from collections.abc import Sequence
from typing import Final, TypedDict

from greengagepoint.operator_api import WantedChange, WantedChanges
from greengagepoint_cli.api import Api
from greengagepoint_cli.documents import Current
from greengagepoint_cli.errors import ClientError
from greengagepoint_cli.fleet import async_wait, behind
from greengagepoint_cli.options import WriteOptions, author_name
from greengagepoint_cli.survey import async_statuses

WRITE_ID_BYTES: Final = 16


class Written(TypedDict):
    """What a write came to; without changes there is no write id."""

    generation: int
    write_id: str | None
    changes: list[str]


async def async_write(
    api: Api, current: Current, changes: Sequence[WantedChange], options: WriteOptions
) -> Written:
    """Write changes and, where asked, wait until all hosts have them in force."""
    if not changes:
        return Written(generation=current.generation, write_id=None, changes=[])
    body = WantedChanges(
        author_name(options.author),
        list(changes),
        options.write_id or secrets.token_hex(WRITE_ID_BYTES),
    )
    answer = await api.async_apply(body)
    if options.wait_seconds is not None:
        await _async_in_force(api, answer["generation"], options.wait_seconds)
    return Written(
        generation=answer["generation"],
        write_id=body.write_id,
        changes=[
            describe_change(one.kind, one.name, deleted=one.document is None)
            for one in changes
        ],
    )


def describe_change(kind: str, name: str, *, deleted: bool) -> str:
    """Return one word for a change, with its sign."""
    sign = "-" if deleted else "+"
    return f"{sign}{kind}/{name}"


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
