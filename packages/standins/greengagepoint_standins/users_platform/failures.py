"""Provoke four failed requests and print what their hosts logged of them.

Run as ``python -m greengagepoint_standins.users_platform.failures`` in the checkout.
"""

import asyncio
import sys
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

import msgspec

from greengagepoint_standins.users_platform.backend import Manner
from greengagepoint_standins.users_platform.crash_loop import async_crash_loop
from greengagepoint_standins.users_platform.daemons import Fleet, async_fleet

FAILURES: Final = {
    "rejected: every server sheds": Manner.SHED,
    "out of time: no server answers": Manner.SILENT,
    "broken off: every answer is cut": Manner.TRUNCATED,
}
ENDS_SERVERS: Final = "refused: servers ended beneath it"
FATAL_PATH: Final = "/bays/fatal"
QUARANTINED: Final = "quarantined"
SERVERS: Final = 12
# The log is read from a pipe; a line is there a moment after the answer.
LOG_SECONDS: Final = 0.3


async def _async_fail(fleet: Fleet, title: str, manner: Manner) -> None:
    """Let one request fail and print its story."""
    node = fleet.nodes[0]
    for backend in fleet.backends:
        backend.manner = manner
    status, _, request_id = await fleet.async_call(node, "/bays/", "17")
    await asyncio.sleep(LOG_SECONDS)
    sys.stdout.write(f"# {title}: {request_id} got {status}\n")
    _print(row for row in node.lines if row.get("request_id") == request_id)


async def _async_end_servers(fleet: Fleet) -> None:
    """Let servers end beneath one request until it is refused, and print its story."""
    node = fleet.nodes[0]
    refused: list[dict[str, Any]] = []
    async with async_crash_loop(fleet, SERVERS, {FATAL_PATH}):
        while not refused:
            _, _, request_id = await fleet.async_call(node, FATAL_PATH)
            await asyncio.sleep(LOG_SECONDS)
            refused = [row for row in node.lines if row.get("kind") == QUARANTINED]
    sys.stdout.write(f"# {ENDS_SERVERS}: {request_id}\n")
    content = refused[0]["content"]
    _print(row for row in node.lines if row.get("content") == content)


def _print(rows: Iterable[dict[str, Any]]) -> None:
    """Print lines of a log."""
    for row in rows:
        sys.stdout.write(f"{msgspec.json.encode(row).decode()}\n")


async def _async_main() -> None:
    """Play all failures on one fleet."""
    with tempfile.TemporaryDirectory() as folder:
        async with async_fleet(Path.cwd(), Path(folder)) as fleet:
            for title, manner in FAILURES.items():
                await _async_fail(fleet, title, manner)
            await _async_end_servers(fleet)


if __name__ == "__main__":
    asyncio.run(_async_main())
