"""Options that many commands share."""

import getpass
import os
import re
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Final, NamedTuple
from urllib.parse import urlsplit

import typer

from greengagepoint.records.faults import TIME_ACCEPTED, parse_time
from greengagepoint_cli.const import (
    DEFAULT_SERVER,
    ENV_AUTHOR,
    ENV_KEY,
    ENV_KEY_FILE,
    ENV_SERVER,
    ExitCode,
    Output,
)
from greengagepoint_cli.errors import ClientError

AGO: Final = re.compile(r"(\d{1,9})([smhd])")
AGO_SECONDS: Final = {"s": 1, "m": 60, "h": 3_600, "d": 86_400}

Servers = Annotated[
    list[str] | None,
    typer.Option(
        "--server",
        envvar=ENV_SERVER,
        help="URL of an entry host; may be repeated, tried in order. "
        f"[default: {DEFAULT_SERVER}]",
        show_default=False,
    ),
]
OutputOption = Annotated[
    Output, typer.Option("--output", help="Form of what is printed.")
]
Author = Annotated[
    str | None,
    typer.Option(
        envvar=ENV_AUTHOR,
        help="Who changes the records; the login name by default.",
        show_default=False,
    ),
]
Watch = Annotated[
    bool, typer.Option("--watch", help="Wait until it is done on all hosts.")
]
Timeout = Annotated[
    float, typer.Option("--timeout", min=0.0, help="Longest wait in seconds.")
]
WriteId = Annotated[
    str | None,
    typer.Option(
        help="Id of a write to repeat safely; a new one by default.",
        show_default=False,
    ),
]


class WriteOptions(NamedTuple):
    """Who writes, under which id, and how long to wait until it is in force.

    ``wait_seconds`` None: do not wait.
    """

    author: str | None
    write_id: str | None
    wait_seconds: float | None = None


def server_list(servers: list[str] | None) -> tuple[str, ...]:
    """Return the servers to try, checked."""
    checked = tuple(servers or (DEFAULT_SERVER,))
    for server in checked:
        parts = urlsplit(server)
        if parts.scheme not in ("http", "https") or not parts.netloc:
            raise ClientError(
                ExitCode.USAGE,
                f"--server: {server!r} is not a URL; accepted: as {DEFAULT_SERVER}",
            )
    return checked


def operator_key() -> str | None:
    """Return the key of the operators' API from the environment or its file."""
    key = os.environ.get(ENV_KEY)
    path = os.environ.get(ENV_KEY_FILE)
    if key or not path:
        return key or None
    try:
        return Path(path).read_text(encoding="utf-8").strip()
    except (OSError, ValueError):
        raise ClientError(
            ExitCode.USAGE, f"{ENV_KEY_FILE}: {path!r} cannot be read"
        ) from None


def author_name(author: str | None) -> str:
    """Return who changes the records."""
    if author:
        return author
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        raise ClientError(
            ExitCode.USAGE, f"--author ({ENV_AUTHOR}) is missing"
        ) from None


def parse_moment(text: str | None, flag: str) -> datetime:
    """Return a time: RFC 3339 with an offset, as 5m for ago, or now for None."""
    now = datetime.now(UTC)
    if text is None:
        return now
    if match := AGO.fullmatch(text):
        seconds = int(match[1]) * AGO_SECONDS[match[2]]
        return datetime.fromtimestamp(now.timestamp() - seconds, UTC)
    moment = parse_time(text)
    if moment is None:
        raise ClientError(
            ExitCode.USAGE, f"{flag}: {text!r} is not a time; accepted: {TIME_ACCEPTED}"
        )
    return moment


def as_record_time(moment: datetime) -> str:
    """Return a time as records hold it."""
    return moment.astimezone(UTC).isoformat(timespec="seconds")
